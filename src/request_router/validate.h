// Checks the settings that a router is given. No decision is made here.
#pragma once

#include "request_router/router.h"

namespace request_router {

// Throws std::invalid_argument, which names the first setting that no router can work with.
void validate(const Settings& settings);

}  // namespace request_router
