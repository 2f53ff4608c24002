// The line an operator's call is, and the words of its answers. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace linenwinch::operation {

// Ids of data servers are short words; a call that is longer is none.
constexpr std::size_t kLongestCall = 512;

struct Call {
  enum class What { kHealth, kCounters, kCordon, kUncordon, kBad } what = What::kBad;
  std::string id;   // kCordon, kUncordon
  std::string why;  // kBad
};

// `line` is without its end; a carriage return before that belongs to the end.
Call parse_call(std::string_view line);

// What one process has done and holds.
struct Figures {
  struct OfClass {
    std::string name;
    std::uint64_t fulfilled = 0, throttled = 0, faulted = 0;
  };
  std::vector<OfClass> classes;
  std::uint64_t relayed = 0;
  std::size_t open_requests = 0, registry_entries = 0, out_of_rotation = 0;
  // The same process's other worker: what each has of its own adds up, what all see alike does not.
  void add(const Figures& other);
};

std::string text_of(const Figures& figures);  // with its last line, END

std::string yes(std::string_view more = {});
std::string no(std::string_view why);

}  // namespace linenwinch::operation
