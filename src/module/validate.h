// Checks the settings that a router is given. No decision is made here.
#pragma once

#include "badgercourse/router.h"

namespace badgercourse {

// Throws std::invalid_argument, which names the first setting that no router can work with.
void validate(const Settings& settings);

}  // namespace badgercourse
