// Fingerprints of the decision module: a closed-loop simulation drives one router from one seed and folds
// every action that it returns into a hash. Two builds that decide alike give the same fingerprints, so a
// refactoring which is meant to change no behaviour can be checked against fingerprints taken before it.
//
// All randomness comes from integers of one generator, never from the distributions of the standard library,
// whose sequences differ between its implementations. The router itself computes in doubles: fingerprints
// hold for one platform (x86-64, IEEE doubles without contraction, the same std::exp2).
#pragma once

#include <array>
#include <cstdint>
#include <ostream>
#include <variant>

#include "request_router/router.h"

namespace request_router::test {

// How often each kind came up. A fingerprint says nothing of a kind that never did.
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

// What one seed came to.
struct DecisionFingerprint {
  std::uint64_t seed = 0;
  std::uint64_t events = 0;
  std::uint64_t actions = 0;
  std::uint64_t hash = 0;  // 64-bit FNV-1a of the text of all actions
  DecisionCounts counts;
};

// Each seed feeds its router at least this many events.
inline constexpr std::uint64_t kMinEvents = 6000;

// Runs the simulation of `seed`. Where `text` is given, it gets what is hashed, one line an item: for a batch
// `@ time events`, and for an action the index of its kind followed by its fields as integers: 0 send,
// 1 cancel, 2 refuse, 3 fail, 4 probe, 5 set timer, 6 subscribe, 7 log. A line `# member_count
// surplus_capacity...` follows each sample of the public queries.
DecisionFingerprint decision_fingerprint(std::uint64_t seed, std::ostream* text = nullptr);

}  // namespace request_router::test
