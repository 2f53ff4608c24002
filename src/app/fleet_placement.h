// The text output of `database-proxy fleet placement ...`. No I/O.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace database_proxy::app {

// Formats an answer to `show`: zones with phase, capacity fraction and reason, closed links, and how many
// proxies follow which plan.
std::string format_plan(const nlohmann::json& answer);
// Formats an answer to `explain`: for each zone of clients, where the reads of this set are sent and why.
std::string format_explanation(const nlohmann::json& answer, std::int64_t set);

}  // namespace database_proxy::app
