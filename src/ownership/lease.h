// Both sides of a lease, for callers that use the two: a node may lead and hold leases at once.
#pragma once

#include "ownership/lease_client.h"    // IWYU pragma: export
#include "ownership/lease_manager.h"   // IWYU pragma: export
#include "ownership/lease_messages.h"  // IWYU pragma: export
#include "ownership/lease_options.h"   // IWYU pragma: export
