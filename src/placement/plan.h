// All of the planner, under the header's earlier name: src/group/placement_job.h still includes it.
#pragma once

#include "placement/planner.h"  // IWYU pragma: export
