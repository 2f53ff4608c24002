#include "testbench/loop_thread.h"

#include <pthread.h>
#include <sched.h>
#include <time.h>

namespace database_proxy::testbench {

bool pin_to_cpu(int cpu) {
  cpu_set_t set;
  CPU_ZERO(&set);
  CPU_SET(static_cast<std::size_t>(cpu), &set);
  return pthread_setaffinity_np(pthread_self(), sizeof set, &set) == 0;
}

double thread_cpu_seconds() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

LoopThread::LoopThread(int cpu, std::function<void()> end_of_turn)
    : tasks_(loop_), end_of_turn_(std::move(end_of_turn)), cpu_(cpu) {
  loop_.set_precise_sleep(true);
}

void LoopThread::start() {
  std::promise<void> started;
  thread_ = std::thread([this, &started] {
    if (cpu_ >= 0) pin_to_cpu(cpu_);
    id_ = std::this_thread::get_id();
    started.set_value();
    loop_.run([this] {
      tasks_.run_pending();
      end_of_turn_();
    });
  });
  started.get_future().wait();
}

void LoopThread::stop() {
  if (!thread_.joinable()) return;
  post([this] { loop_.stop(); });
  thread_.join();
}

void LoopThread::call(const std::function<void()>& task) {
  if (std::this_thread::get_id() == id_ || !thread_.joinable()) return task();
  std::promise<void> done;
  post([&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

}  // namespace database_proxy::testbench
