// Guards against unintended changes of decisions: compares the decisions of this build with the committed
// fingerprints (tests/data/decision_fingerprints.txt: seed, events, actions, hash in hexadecimal).
// Options in addition to those of GoogleTest:
//   --write-fingerprints   rewrites the file; only for a change that is intended to change decisions
//   --print-actions SEED   prints the hashed text of one seed, to compare two builds with diff
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "decision_fingerprint.h"

namespace request_router::test {
namespace {

constexpr std::uint64_t kSeeds = 200;
constexpr std::uint64_t kShortSeeds = 10;
constexpr const char* kFingerprintFile = DATABASE_PROXY_TEST_DATA "/decision_fingerprints.txt";

std::string file_line(const DecisionFingerprint& fingerprint) {
  std::ostringstream line;
  line << fingerprint.seed << ' ' << fingerprint.events << ' ' << fingerprint.actions << ' ' << std::hex
       << fingerprint.hash;
  return line.str();
}

template <typename Counts>
void print(const char* title, const Counts& counts) {
  std::cout << title;
  for (auto count : counts) std::cout << ' ' << count;
  std::cout << '\n';
}

// Compares seeds 0 to `seeds` - 1, each with its line of the file. Returns the total counts over all seeds.
DecisionCounts compare(std::uint64_t seeds) {
  DecisionCounts total;
  std::ifstream file(kFingerprintFile);
  EXPECT_TRUE(file.is_open()) << kFingerprintFile;
  for (std::uint64_t seed = 0; seed < seeds; ++seed) {
    std::string expected;
    std::getline(file, expected);
    auto fingerprint = decision_fingerprint(seed);
    EXPECT_GE(fingerprint.events, kMinEvents) << "seed " << seed;
    EXPECT_EQ(file_line(fingerprint), expected) << "seed " << seed;
    total.add(fingerprint.counts);
  }
  return total;
}

TEST(DecisionEquality, SeedsGiveTheCommittedFingerprints) {
  auto total = compare(kSeeds);
  std::cout << "events " << total.all_events() << ", actions " << total.all_actions() << '\n';
  print("events (list, request, outcome, probe result, stream, timer, peer, client gone, plan):",
        total.events);
  print("actions (send, cancel, reject, fail, probe, timer, subscribe, log):", total.actions);
  print(
      "statuses (success, failure, overloaded, timed out, unreachable, broken, cancelled, not started, "
      "declined):",
      total.statuses);
  print("levels (write, fresh, session, bounded, any):", total.levels);
  print("lists (delta, full, cached, failed):", total.lists);
  EXPECT_GE(total.all_events(), 1'000'000u);
  auto all_occurred = [](auto& counts) {
    return std::all_of(counts.begin(), counts.end(), [](auto n) { return n > 0; });
  };
  EXPECT_TRUE(all_occurred(total.events));
  EXPECT_TRUE(all_occurred(total.statuses));
  EXPECT_TRUE(all_occurred(total.levels));
  EXPECT_TRUE(all_occurred(total.lists));
  for (std::size_t kind = 0; kind < total.actions.size(); ++kind) {
    if (kind == Action(Log{}).index())
      EXPECT_EQ(total.actions[kind], 0u) << "the router returned a Log action";
    else
      EXPECT_GT(total.actions[kind], 0u) << "action kind " << kind;
  }
}

TEST(DecisionEqualityShort, SeedsGiveTheCommittedFingerprints) { compare(kShortSeeds); }

int write_fingerprints() {
  std::ofstream file(kFingerprintFile);
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) file << file_line(decision_fingerprint(seed)) << '\n';
  return file.flush() ? 0 : 1;
}

}  // namespace
}  // namespace request_router::test

int main(int argc, char** argv) {
  using namespace request_router::test;
  testing::InitGoogleTest(&argc, argv);
  std::string option = argc > 1 ? argv[1] : "";
  if (option == "--write-fingerprints") return write_fingerprints();
  if (option == "--print-actions" && argc > 2) {
    decision_fingerprint(std::strtoull(argv[2], nullptr, 10), &std::cout);
    return 0;
  }
  return RUN_ALL_TESTS();
}
