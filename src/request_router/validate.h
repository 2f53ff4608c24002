// Validation of the settings that a router is given. No decision is made here.
#pragma once

#include "request_router/router.h"

namespace request_router {

// Throws std::invalid_argument, which names the first invalid setting, if a router cannot work with them.
void validate(const Settings& settings);

}  // namespace request_router
