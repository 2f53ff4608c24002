// Sets the calling thread's name, which tools such as top -H show, and the core that it runs on.
#pragma once

#include <pthread.h>
#include <sched.h>

#include <string>

namespace database_proxy::workers {

// `cpu` -1: any core. A core that the process may not use is ignored, because pinning is optional.
inline void name_and_pin(const std::string& name, int cpu) {
  pthread_setname_np(pthread_self(), name.substr(0, 15).c_str());
  if (cpu < 0 || cpu >= CPU_SETSIZE) return;
  cpu_set_t set;
  CPU_ZERO(&set);
  CPU_SET(static_cast<std::size_t>(cpu), &set);
  pthread_setaffinity_np(pthread_self(), sizeof set, &set);
}

}  // namespace database_proxy::workers
