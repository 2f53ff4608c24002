// `database-proxy fleet placement ...` in words: the plan as operators read it. No I/O.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace database_proxy::app {

// Of an answer to `show`: zones with phase, part and reason, closed ways, who follows which plan.
std::string format_plan(const nlohmann::json& answer);
// Of an answer to `explain`: for each zone of clients where the reads of this set go and why.
std::string format_explanation(const nlohmann::json& answer, std::int64_t set);

}  // namespace database_proxy::app
