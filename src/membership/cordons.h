// The operators' word on data servers, laid over discovery's list before anybody sees it. Pure: no clock, no
// I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "discovery/members.h"

namespace linenwinch::membership {

// The last word on one id. Of two, from whatever process, the one with the higher stamp holds.
struct Mark {
  std::int64_t stamp = 0;  // microseconds of the machine's monotonic clock
  bool out = false;
  std::int64_t since_ms = 0;  // Unix milliseconds: when the id was last taken out, and
  std::int64_t back_ms = 0;   // when it was put back; 0: never
};
using Marks = std::map<std::string, Mark>;

// More ids than any set of servers has; a mistake in a script must not fill the memory.
constexpr std::size_t kMostMarks = 1024;

class Cordons {
 public:
  // The update as all others are to see it.
  discovery::MemberUpdate lay_over(discovery::MemberUpdate update);

  enum class Said { kDone, kAlready, kUnknown, kTooMany };
  // `changed`: what to tell the others, where it is kDone.
  Said set(const std::string& id, bool out, std::int64_t now_us, std::int64_t now_ms,
           discovery::MemberUpdate* changed);
  // Takes over newer marks of another process; nullopt: there was nothing new.
  std::optional<discovery::MemberUpdate> merge(const Marks& marks);

  const Marks& marks() const { return marks_; }
  bool listed(const std::string& id) const { return list_.count(id) > 0; }
  // Whether another member of the id's set takes work.
  bool last_of_its_set(const std::string& id) const;

 private:
  discovery::MemberInfo seen(const discovery::MemberInfo& told) const;

  std::map<std::string, discovery::MemberInfo> list_;  // as discovery has it
  Marks marks_;
  std::int64_t generation_ = 0;
};

}  // namespace linenwinch::membership
