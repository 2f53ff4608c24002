// linenwinch_lab simulate group|model: prints one JSON object; 0 where all held, 2 where something broke.
#pragma once

#include <string>
#include <vector>

namespace linenwinch::lab::simulate {

// Throws std::runtime_error for bad arguments.
int run(const std::vector<std::string>& arguments);

}  // namespace linenwinch::lab::simulate
