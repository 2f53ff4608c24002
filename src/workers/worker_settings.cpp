#include "workers/worker_settings.h"

#include <algorithm>

namespace database_proxy::workers {

request_router::Settings settings_of_worker(request_router::Settings settings, std::size_t worker,
                                            std::size_t count) {
  auto n = static_cast<int>(count);
  settings.ordinal = std::max(0, settings.ordinal) * n + static_cast<int>(worker);
  settings.routers = std::max(1, settings.routers) * n;
  return settings;
}

std::uint64_t seed_of_worker(std::uint64_t seed, std::size_t worker) {
  return worker == 0 ? seed : seed ^ (0x9e3779b97f4a7c15u * worker);
}

}  // namespace database_proxy::workers
