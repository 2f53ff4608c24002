// Fencing tokens, and the check that any receiver of effects makes of them. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace database_proxy::ownership {

// Grows with each grant of a job: the log index of the grant. 0 stands for "never granted".
using Token = std::uint64_t;

// Keeps the highest token seen of each job and refuses effects that carry a lower one, so that a holder that
// stopped between checking its lease and acting on it cannot overwrite its successor's effects. Each node
// owns one and calls it on its event loop.
class FencingTokenGuard {
 public:
  // Returns whether an effect of `job` under `token` may take place, and remembers the token if so.
  bool admit(const std::string& job, Token token) {
    auto& highest = highest_[job];
    if (token < highest) {
      ++rejected_count_;
      return false;
    }
    highest = token;
    return true;
  }
  // The number of effects refused so far.
  std::uint64_t rejected_count() const { return rejected_count_; }

 private:
  std::map<std::string, Token> highest_;  // by job
  std::uint64_t rejected_count_ = 0;
};

}  // namespace database_proxy::ownership
