// What happened in a run of the fault rig, in the order of time, and checkers that read it afterwards. No I/O
// but write().
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

class History {
 public:
  History() : started_at_(net::monotonic_now()) {}
  // From any thread. `what` and the time are added.
  void add(const std::string& what, nlohmann::json event = nlohmann::json::object());
  Micros now() const { return net::monotonic_now() - started_at_; }
  std::vector<nlohmann::json> events() const;
  void write(const std::string& path) const;  // JSON lines

 private:
  Micros started_at_;
  mutable std::mutex mutex_;
  std::vector<nlohmann::json> events_;
};

// One call on one register.
struct Operation {
  Micros called{0}, answered{Micros::max()};  // max: nobody knows how it ended
  bool write = false;
  std::string value;  // written or read
};
// Whether one order of all operations explains what each saw (Herlihy and Wing, 1990), each taking effect at
// one moment between call and answer; writes of unknown end may have taken effect or not. Values written are
// all different. `most_states` bounds the search; false with `*gave_up` set: it ended there.
bool linearizable(std::vector<Operation> operations, bool* gave_up = nullptr,
                  std::size_t max_states = 2'000'000);

// Samples of who passed its own check for a job: nobody may pass it after a holder of a newer token has.
class LeaseHoldSamples {
 public:
  // Sampled by the holder's own process at that moment, of one clock for all.
  void add_sample(Micros at, const std::string& node, const std::string& job, std::uint64_t token);
  std::uint64_t overlapping() const;  // pairs that contradict each other
  std::uint64_t samples() const { return samples_; }

 private:
  struct Span {
    Micros first, last;
    std::string node;
  };
  std::map<std::string, std::map<std::uint64_t, Span>> spans_;  // by job, by token
  std::uint64_t samples_ = 0;
};

// What the events of a run say, read from nothing else; also from a file that write() made. Events looked at:
// - call: client, key, write, value, called_us, answered_us (absent: nobody knows how it ended), last (the
// last
//   word on a register, read when all faults were over);
// - sample: node, clock_us, holds [[job, token]], leads (its term, absent: it does not), published
//   [[job, token of what it follows]], anew (nothing earlier of this node is to be compared).
struct HistoryCheckResult {
  std::uint64_t acknowledged = 0, operations = 0, lost = 0;  // lost: acknowledged, and the last word is empty
  std::uint64_t non_linearizable_registers = 0, registers_not_decided = 0;
  std::uint64_t samples = 0, owners_overlapping = 0, two_leaders_in_a_term = 0, stale_effects_accepted = 0;
  bool has_violations() const {
    return lost + non_linearizable_registers + owners_overlapping + two_leaders_in_a_term +
               stale_effects_accepted >
           0;
  }
};
// Throws nlohmann::json::exception on an event that lacks what it must have.
HistoryCheckResult check_history(const std::vector<nlohmann::json>& events);
nlohmann::json to_json(const HistoryCheckResult& result);
// Throws std::runtime_error: no such file, or a line that is no event.
std::vector<nlohmann::json> read_history(const std::string& path);

}  // namespace database_proxy::testbench::faults
