// Who owns which job of the fleet, as the group's log has it: the replicated half of ownership. Each command
// of the log is applied at every node in the same order, so all agree. No clock, no I/O, no thread.
//
// A grant's fencing token is the index of the entry that made it, so tokens of a job only rise, over all
// leaders and restarts. What an owner publishes carries its token; a lower one than the newest grant's is
// turned down and counted.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace database_proxy::ownership {

using Token = std::uint64_t;

// commands
struct Grant {
  std::string job, owner;
  Token after = 0;  // the newest token that the leader saw: another grant in between voids this one
};
struct Release {
  std::string job;
  Token token = 0;
};
struct Publish {  // a job's result, for all to follow
  std::string job;
  Token token = 0;
  std::uint64_t version = 0;  // the publisher's own count
  std::string data;
};
struct SetConfigurationEntry {  // a setting of the operators, such as a node's name and address
  std::string key, value;       // an empty value removes it
};
using Command = std::variant<Grant, Release, Publish, SetConfigurationEntry>;
std::string encode(const Command& command);
// nullopt: from a newer version, or spoilt. It is skipped alike at every node.
std::optional<Command> decode(const std::string& text);

struct JobState {
  std::string owner;       // empty: nobody
  Token token = 0;         // of the newest grant, also where it was given back
  Token published_by = 0;  // whose `data` this is
  std::uint64_t version = 0;
  std::string data;
};

class LeaseRegistry {
 public:
  enum class ApplyResult { kDone, kStale, kVoid };  // kStale: an old token; kVoid: overtaken, no effect
  ApplyResult apply(std::uint64_t index, const Command& command, Token* granted = nullptr);
  const std::map<std::string, JobState>& jobs() const { return jobs_; }
  const JobState* job(const std::string& name) const;
  const std::map<std::string, std::string>& settings() const { return settings_; }
  std::uint64_t stale() const { return stale_; }  // effects turned down for their old token
  std::string encode() const;
  static std::optional<LeaseRegistry> decode(const std::string& text);

  // Guard taken away, for the simulator's mutants only.
  bool flaw_token_not_compared = false;

 private:
  std::map<std::string, JobState> jobs_;
  std::map<std::string, std::string> settings_;
  std::uint64_t stale_ = 0;
};

// What any receiver of effects keeps: the highest token it saw of each job.
class FencingTokenGuard {
 public:
  bool admit(const std::string& job, Token token) {
    auto& highest = highest_[job];
    if (token < highest) {
      ++refused_;
      return false;
    }
    highest = token;
    return true;
  }
  std::uint64_t refused() const { return refused_; }

 private:
  std::map<std::string, Token> highest_;
  std::uint64_t refused_ = 0;
};

}  // namespace database_proxy::ownership
