// Compares the runs of `proxy-testbench simulate group` and `simulate zones` for a few seeds with
// tests/data/simulation_fingerprints.txt (one `name value` pair per line). A seed gives the same run each
// time, so a change of any decision in consensus, ownership or placement makes the test fail. Rewrite the
// file with `DATABASE_PROXY_REWRITE_GOLDEN=1 stored_and_wire_format_tests
// --gtest_filter='SimulationFingerprint.*'`, and only for a deliberate change of a decision.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "formats/golden_file.h"
#include "testbench/simulation/placement.h"
#include "testbench/simulation/world.h"

namespace database_proxy::test {
namespace {

namespace simulation = testbench::simulation;

constexpr const char* kFile = "simulation_fingerprints.txt";
constexpr std::uint64_t kSeeds[] = {1, 2, 3, 7, 42, 1000};

// Returns the FNV-1a hash of the lines; unlike std::hash it is the same with every standard library.
std::uint64_t hash_of(const std::vector<std::string>& lines) {
  std::uint64_t hash = 14695981039346656037ull;
  auto add = [&](unsigned char byte) { hash = (hash ^ byte) * 1099511628211ull; };
  for (auto& line : lines) {
    for (char byte : line) add(static_cast<unsigned char>(byte));
    add('\n');
  }
  return hash;
}

std::string fingerprint_of(const simulation::WorldResult& r) {
  return fmt::format(
      "broken='{}' events={} committed={} acknowledged={} reads={} elections={} grants={} effects={} "
      "stale_attempted={} stale_accepted={} faults={} history_lines={} history={:016x}",
      r.violation, r.events, r.committed, r.acknowledged, r.reads, r.elections, r.grants, r.effects,
      r.stale_attempted, r.stale_accepted, r.faults_injected, r.history.size(), hash_of(r.history));
}

std::string fingerprint_of(const simulation::PlacementResult& r) {
  return fmt::format(
      "broken='{}' plans={} changes={} faults={} moved_ms_most={} served={:.9f} served_worst_10s={:.9f} "
      "far_calm={:.9f} history_lines={} history={:016x}",
      r.violation, r.plans, r.changes, r.faults, r.max_move_ms, r.served, r.served_worst_10s,
      r.cross_zone_share_calm, r.history.size(), hash_of(r.history));
}

}  // namespace

TEST(SimulationFingerprint, SimulatedRunsMatchTheGoldenFingerprints) {
  NamedLines lines;
  for (auto seed : kSeeds) {
    simulation::WorldOptions options;
    options.seed = seed;
    lines[fmt::format("group.{}", seed)] = fingerprint_of(simulation::run_world(options));
    lines[fmt::format("zones.{}", seed)] =
        fingerprint_of(simulation::run_placement(seed, simulation::PlanMutant::kNone));
  }
  expect_golden(kFile, "Fingerprints of simulated runs. See tests/formats/simulation_fingerprint_test.cpp.",
                lines);
}

}  // namespace database_proxy::test
