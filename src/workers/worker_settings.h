// The settings that differ between the workers of one process. Pure functions.
#pragma once

#include <cstddef>
#include <cstdint>

#include "request_router/router.h"

namespace database_proxy::workers {

// Returns the decision module's settings for one of `count` workers of this router. The module must count
// each worker as a router of its own, or servers that are warming up would get `count` times their share.
request_router::Settings settings_of_worker(request_router::Settings settings, std::size_t worker,
                                            std::size_t count);
// Returns the seed of one worker's decision module; no two workers have the same.
std::uint64_t seed_of_worker(std::uint64_t seed, std::size_t worker);

}  // namespace database_proxy::workers
