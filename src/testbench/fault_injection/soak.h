// The soak test: some dozens of real proxy processes on a few nodes are upgraded in place repeatedly under
// overlapping faults, while clients use their connections until the end. The invariants are the test oracle.
#pragma once

#include <string>
#include <vector>

namespace database_proxy::testbench {

// Runs the subcommand `soak`. Returns 0 if no invariant was violated, 2 otherwise.
int run_soak(const std::vector<std::string>& arguments);

}  // namespace database_proxy::testbench
