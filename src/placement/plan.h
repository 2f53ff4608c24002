// Includes the whole planner. Kept for callers that still include the header under this earlier name, such as
// src/group/node_host.h.
#pragma once

#include "placement/planner.h"  // IWYU pragma: export
