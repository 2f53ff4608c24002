// Fencing tokens and the check that every receiver of an effect applies to them. No clock, I/O or thread.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace database_proxy::ownership {

// A fencing token: the log index of the grant of a job, so that it increases with each grant of that job. 0
// means that the job was never granted.
using Token = std::uint64_t;

// Tracks the highest token seen for each job and rejects effects with a lower token. A lease holder that was
// suspended between checking its lease and acting on it therefore cannot overwrite the effects of its
// successor. Each node owns one guard and calls it on its event loop.
class FencingTokenGuard {
 public:
  // Returns whether an effect of `job` with `token` is accepted, and records the token if it is.
  bool admit(const std::string& job, Token token) {
    auto& highest = highest_[job];
    if (token < highest) {
      ++rejected_count_;
      return false;
    }
    highest = token;
    return true;
  }
  // Returns the number of effects rejected so far.
  std::uint64_t rejected_count() const { return rejected_count_; }

 private:
  std::map<std::string, Token> highest_;  // by job
  std::uint64_t rejected_count_ = 0;
};

}  // namespace database_proxy::ownership
