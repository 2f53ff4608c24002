// The command `proxy-testbench simulate group|model|zones|plan-cost`. Prints its result as JSON. Exit status:
// 0 if all invariants held, 2 if one was violated.
#pragma once

#include <string>
#include <vector>

namespace database_proxy::testbench::simulation {

// Runs the command and returns its exit status. Throws std::runtime_error for bad arguments.
int run(const std::vector<std::string>& arguments);

}  // namespace database_proxy::testbench::simulation
