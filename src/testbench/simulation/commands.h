// proxy-testbench simulate group|model: prints one JSON object; 0 where all held, 2 where something broke.
#pragma once

#include <string>
#include <vector>

namespace database_proxy::testbench::simulation {

// Throws std::runtime_error for bad arguments.
int run(const std::vector<std::string>& arguments);

}  // namespace database_proxy::testbench::simulation
