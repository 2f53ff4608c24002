// Events of a run of the fault harness in order of time, and checkers that read them afterwards. The only I/O
// is in History::write() and read_history().
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/loop.h"

namespace database_proxy::testbench::faults {

using net::Micros;

// Thread-safe record of the events of a run.
class History {
 public:
  History() : started_at_(net::monotonic_now()) {}
  // Adds an event with `what` and the current time. May be called from any thread.
  void add(const std::string& what, nlohmann::json event = nlohmann::json::object());
  Micros now() const { return net::monotonic_now() - started_at_; }
  std::vector<nlohmann::json> events() const;
  void write(const std::string& path) const;  // JSON lines

 private:
  Micros started_at_;
  mutable std::mutex mutex_;
  std::vector<nlohmann::json> events_;
};

// One call on one register (a key).
struct Operation {
  Micros called{0}, answered{Micros::max()};  // max: outcome unknown
  bool write = false;
  std::string value;  // written or read
};
// Returns true if some order of all operations explains every value read (linearizability, Herlihy and Wing,
// 1990). Each operation takes effect at one moment between call and answer; a write with an unknown outcome
// may or may not have taken effect. All written values must differ. `max_states` bounds the search: if it is
// reached, the result is false and `*gave_up` is set.
bool linearizable(std::vector<Operation> operations, bool* gave_up = nullptr,
                  std::size_t max_states = 2'000'000);

// Samples of which node passed its own lease check for a job. No node may pass the check after the holder of
// a newer fencing token has passed it.
class LeaseHoldSamples {
 public:
  // Adds a sample that the lease holder's process took at `at`; all samples use one clock.
  void add_sample(Micros at, const std::string& node, const std::string& job, std::uint64_t token);
  std::uint64_t overlapping() const;  // pairs of tokens whose holders overlap
  std::uint64_t samples() const { return samples_; }

 private:
  struct Span {
    Micros first, last;
    std::string node;
  };
  std::map<std::string, std::map<std::uint64_t, Span>> spans_;  // by job, by token
  std::uint64_t samples_ = 0;
};

// Result of checking the events of a run. The events alone are evaluated, so a file from History::write()
// gives the same result. Events that are evaluated:
// - call: client, key, write, value, called_us, answered_us (absent: outcome unknown), last (the final read
//   of a register, after all faults have ended);
// - sample: node, clock_us, holds [[job, token]], leads (the term; absent: the node does not lead), published
//   [[job, fencing token of the state that the node follows]], anew (the node is not compared with its
//   earlier samples).
struct HistoryCheckResult {
  std::uint64_t acknowledged = 0, operations = 0,
                lost = 0;  // lost: a write was acknowledged, and the final read is empty
  std::uint64_t non_linearizable_registers = 0, registers_not_decided = 0;
  std::uint64_t samples = 0, owners_overlapping = 0, two_leaders_in_a_term = 0, stale_effects_accepted = 0;
  bool has_violations() const {
    return lost + non_linearizable_registers + owners_overlapping + two_leaders_in_a_term +
               stale_effects_accepted >
           0;
  }
};
// Throws nlohmann::json::exception if an event lacks a required field.
HistoryCheckResult check_history(const std::vector<nlohmann::json>& events);
nlohmann::json to_json(const HistoryCheckResult& result);
// Throws std::runtime_error if the file cannot be read or a line is not an event.
std::vector<nlohmann::json> read_history(const std::string& path);

}  // namespace database_proxy::testbench::faults
