// What one process tells the other while both serve: a small text, written and checked here. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "membership/cordons.h"
#include "routing/learned.h"

namespace linenwinch::handover {

enum class Stage { kStarting, kServing, kLeaving };

struct Page {
  std::int64_t process = 0;  // its number
  std::int64_t since = 0;    // when it started: microseconds of the machine's monotonic clock
  Stage stage = Stage::kStarting;
  std::size_t descriptors = 0;
  membership::Marks marks;
  routing::Learned learned;
};

// More than any site has; of a larger one the rest is learned anew.
constexpr std::size_t kMostServers = 1024;

// As many marks as there may be, with long ids, or marks and servers with usual ones; where both do not fit,
// servers are left out. What is larger is not of this program.
constexpr std::size_t kLargestPage = 512 * 1024;

std::string text_of(const Page& page);
// nullopt: torn, of another program or of a version not known here; `why` then tells.
std::optional<Page> read_page(std::string_view text, std::string* why);

}  // namespace linenwinch::handover
