// The calling thread's name, as tools such as top -H show it, and the core it runs on.
#pragma once

#include <pthread.h>
#include <sched.h>

#include <string>

namespace database_proxy::workers {

// `cpu` -1: any core. One that the process may not use is passed over: pinning is a wish, not a need.
inline void name_and_pin(const std::string& name, int cpu) {
  pthread_setname_np(pthread_self(), name.substr(0, 15).c_str());
  if (cpu < 0 || cpu >= CPU_SETSIZE) return;
  cpu_set_t set;
  CPU_ZERO(&set);
  CPU_SET(static_cast<std::size_t>(cpu), &set);
  pthread_setaffinity_np(pthread_self(), sizeof set, &set);
}

}  // namespace database_proxy::workers
