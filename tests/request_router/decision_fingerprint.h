// Fingerprints of the decision module. A closed-loop simulation drives one router from one seed and hashes
// every action that the router returns. Two builds that make the same decisions have the same fingerprints,
// so a refactoring that must not change behaviour can be checked against fingerprints taken before it.
//
// All randomness comes from integers of one generator. The distributions of the standard library are not
// used, because their sequences differ between its implementations. The router itself computes in doubles, so
// the fingerprints are valid for one platform only (x86-64, IEEE doubles without contraction, the same
// std::exp2).
#pragma once

#include <array>
#include <cstdint>
#include <ostream>
#include <variant>

#include "request_router/router.h"

namespace request_router::test {

// Number of occurrences of each kind. A fingerprint does not cover a kind that never occurred.
struct DecisionCounts {
  std::array<std::uint64_t, std::variant_size_v<Event>> events{};
  std::array<std::uint64_t, std::variant_size_v<Action>> actions{};
  std::array<std::uint64_t, 9> statuses{};
  std::array<std::uint64_t, 5> levels{};
  std::array<std::uint64_t, 4> lists{};
  std::uint64_t all_events() const;
  std::uint64_t all_actions() const;
  void add(const DecisionCounts& other);
};

// The result of one seed.
struct DecisionFingerprint {
  std::uint64_t seed = 0;
  std::uint64_t events = 0;
  std::uint64_t actions = 0;
  std::uint64_t hash = 0;  // 64-bit FNV-1a of the text of all actions
  DecisionCounts counts;
};

// The minimum number of events that each seed delivers to its router.
inline constexpr std::uint64_t kMinEvents = 6000;

// Runs the simulation of `seed`. The hashed text is also written to `text`, if given, one item per line: for
// a batch `@ time events`; for an action the index of its kind followed by its fields as integers: 0 send, 1
// cancel, 2 reject, 3 fail, 4 probe, 5 set timer, 6 subscribe, 7 log; for a sample of the public queries
// `# member_count surplus_capacity...`.
DecisionFingerprint decision_fingerprint(std::uint64_t seed, std::ostream* text = nullptr);

}  // namespace request_router::test
