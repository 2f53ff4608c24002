// A thread that runs its own event loop, for the testbench.
#pragma once

#include <future>
#include <memory>
#include <thread>

#include "net/task_queue.h"

namespace database_proxy::testbench {

// Pins the calling thread to a CPU. Returns false if the system does not allow it.
bool pin_to_cpu(int cpu);
double thread_cpu_seconds();  // of the calling thread

class LoopThread {
 public:
  // `end_of_turn` runs in the thread after each iteration of the loop. `cpu` -1: not pinned.
  explicit LoopThread(
      int cpu = -1, std::function<void()> end_of_turn = [] {});
  ~LoopThread() { stop(); }
  net::Loop& loop() { return loop_; }
  void start();
  void stop();  // joins the thread; no effect if it is not running
  void post(std::function<void()> call) { tasks_.post(std::move(call)); }
  // Runs `task` in the thread and waits for its end. Called from the thread itself, it runs `task` directly.
  void call(const std::function<void()>& task);

 private:
  net::Loop loop_;
  net::TaskQueue tasks_;
  std::function<void()> end_of_turn_;
  int cpu_;
  std::thread thread_;
  std::thread::id id_;
};

}  // namespace database_proxy::testbench
