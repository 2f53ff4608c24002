// A thread with a loop of its own, for the lab.
#pragma once

#include <future>
#include <memory>
#include <thread>

#include "net/task_queue.h"

namespace database_proxy::testbench {

// Pins the calling thread; false where the system does not let it.
bool pin_to_cpu(int cpu);
double thread_cpu_seconds();  // of the calling thread

class LoopThread {
 public:
  // `end_of_turn` runs after each turn, in the thread. `cpu` -1: not pinned.
  explicit LoopThread(
      int cpu = -1, std::function<void()> end_of_turn = [] {});
  ~LoopThread() { stop(); }
  net::Loop& loop() { return loop_; }
  void start();
  void stop();  // and joins; harmless when it has stopped
  void post(std::function<void()> call) { tasks_.post(std::move(call)); }
  // Runs it in the thread and waits for it; in the thread itself, at once.
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
