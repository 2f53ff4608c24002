// Includes both sides of a lease, for callers that use both: a node may be the leader and hold leases at the
// same time.
#pragma once

#include "ownership/lease_client.h"    // IWYU pragma: export
#include "ownership/lease_manager.h"   // IWYU pragma: export
#include "ownership/lease_messages.h"  // IWYU pragma: export
#include "ownership/lease_options.h"   // IWYU pragma: export
