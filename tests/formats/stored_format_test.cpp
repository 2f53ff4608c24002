// Opens a copy of tests/data/stored_group/, a voter's directory as the program wrote it when the data was
// made: with the store and the codec, comparing each field with tests/data/stored_group.txt, and with a node,
// as a daemon does. Rewrite the directory and the file with `DATABASE_PROXY_REWRITE_GOLDEN=1
// stored_and_wire_format_tests --gtest_filter='StoredFormat.*'`, and only for a deliberate change of the
// stored format.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <filesystem>

#include "formats/golden_file.h"
#include "formats/test_node.h"
#include "placement/placement_codec.h"
#include "state/durable_store.h"

namespace database_proxy::test {
namespace {

namespace fs = std::filesystem;

constexpr const char* kDirectory = "stored_group";
constexpr const char* kFile = "stored_group.txt";
constexpr const char* kComment = "What stands in stored_group/. See tests/formats/stored_format_test.cpp.";
constexpr int kStoreVersion = 1;
// Number of put commands. A snapshot is taken after 1024 entries, and the 512 entries before it stay in the
// log; this number exceeds the snapshot interval by a few dozen.
constexpr int kPutCommands = 1060;

const std::string kList =
    R"({"generation":9,"reset":true,"instances":[{"instanceId":"s1","cell":7,"hostPort":"127.0.0.1:2","zone":"z1"}]})";

// The placement plan that the stored directory holds.
placement::Plan stored_plan() {
  placement::Plan plan;
  plan.number = 12;
  plan.zones["z1"] = {
      placement::Phase::kOpen, placement::PhaseReason::kHealthy, 1000, 2000, 0, 4000, 1, false};
  plan.zones["z2"] = {placement::Phase::kEvacuated, placement::PhaseReason::kOperator, 5, 6, 0, 0, 0, true};
  plan.shares[{7, "z1"}] = {{"z1", 0.75}};
  plan.surplus_capacity[{7, "z1"}] = {{"z2", 0.5}};
  plan.changes = {{"z2", 5}};
  return plan;
}

// Repeats the lease request until all jobs are granted, and returns the fencing token of the first one.
std::uint64_t wait_for_lease_token(PeerConnection* follower, const std::vector<std::string>& jobs) {
  for (std::uint64_t number = 1;; ++number) {
    follower->send({{"t", "ask"}, {"n", number}, {"willing", jobs}, {"holds", json::array()}});
    auto reply = follower->next("told");
    if (reply.at("granted").size() == jobs.size()) return reply.at("granted").at(0).at(1);
  }
}

// Proposes a command and expects it to be accepted.
void propose(PeerConnection* follower, const ownership::Command& command) {
  follower->send({{"t", "propose"}, {"ticket", 5}, {"cmd", peers::bytes_of(ownership::encode(command))}});
  auto done = follower->next("done");
  ASSERT_TRUE(done.at("ok")) << done;
}

// Lets a voter write a new directory: settings, leases, published results, a snapshot, and a learner.
void write_directory(const std::string& directory) {
  TestNode voter(single_voter_options(directory));
  voter.node().start();
  auto operator_link = dial_as(voter.port(), "fleet", "tool");
  auto id = operator_link.run_admin_command({{"do", "identify"}}).at("id");
  ASSERT_TRUE(operator_link.run_admin_command({{"do", "bootstrap"}, {"voters", {id}}}).at("ok"));
  while (!operator_link.run_admin_command({{"do", "put"}, {"key", "name"}, {"value", "first"}}).at("ok")) {
  }
  auto list_holder = dial_as(voter.port(), "owner", "follower");
  auto token = wait_for_lease_token(&list_holder, {"list"});
  propose(&list_holder, ownership::Publish{"list", token, 9, kList});
  auto planner = dial_as(voter.port(), "planner", "follower");
  token = wait_for_lease_token(&planner, {"placement"});
  propose(&planner, ownership::Publish{"placement", token, 12, placement::to_json(stored_plan()).dump()});
  auto prober = dial_as(voter.port(), "prober", "follower");
  wait_for_lease_token(&prober, {"probe 7"});  // does not publish: published_by stays 0
  for (int i = 0; i < kPutCommands; ++i)
    ASSERT_TRUE(operator_link
                    .run_admin_command(
                        {{"do", "put"}, {"key", fmt::format("k{}", i % 40)}, {"value", fmt::format("{}", i)}})
                    .at("ok"));
  ASSERT_TRUE(operator_link.run_admin_command({{"do", "add"}, {"name", "learner"}, {"id", 77}}).at("ok"));
  propose(&planner, ownership::Release{"placement", token});
}

// Returns the stored keys and values, with the log, the lease registry and the snapshot both decoded and as
// bytes.
NamedLines content_of(const std::string& directory) {
  NamedLines lines;
  auto store = state::open_store(directory, "group", kStoreVersion);
  auto identity = json::from_cbor(store->read("identity").value());
  lines["identity"] = identity.dump();
  lines["hard"] = json::from_cbor(store->read("raft/hard").value()).dump();
  auto snapshot = peers::decode_snapshot(store->read("raft/snapshot").value());
  EXPECT_TRUE(snapshot);
  lines["snapshot"] = fmt::format("index={} term={} members='{}' data={}", snapshot->index, snapshot->term,
                                  snapshot->members.encode(), to_hex(snapshot->data));
  for (auto& [key, value] : store->scan("raft/log/", "raft/log0")) {
    auto entry = peers::decode_entry(value);
    EXPECT_TRUE(entry);
    lines[fmt::format("entry.{:05}", entry->index)] =
        fmt::format("key={} term={} kind={} data={}", to_hex(key), entry->term, static_cast<int>(entry->type),
                    to_hex(entry->data));
  }
  auto registry = ownership::LeaseRegistry::decode(snapshot->data);
  EXPECT_TRUE(registry);
  for (auto& [name, job] : registry->jobs())
    lines[fmt::format("snapshot.job.{}", name == "probe 7" ? "probe-7" : name)] =
        fmt::format("owner={} token={} published_by={} version={} data={}", job.lease_holder, job.token,
                    job.publisher_token, job.version, job.data);
  lines["snapshot.settings"] = json(registry->settings()).dump();
  lines["keys"] = std::to_string(store->scan("", "\xff").size());
  return lines;
}

// Returns the lease registry that results from the snapshot and the log entries after it.
ownership::LeaseRegistry lease_registry_of(const std::string& directory) {
  auto store = state::open_store(directory, "group", kStoreVersion);
  auto snapshot = peers::decode_snapshot(store->read("raft/snapshot").value());
  auto registry = ownership::LeaseRegistry::decode(snapshot->data).value();
  for (auto& [key, value] : store->scan("raft/log/", "raft/log0")) {
    auto entry = peers::decode_entry(value).value();
    if (entry.index > snapshot->index && entry.type == consensus::EntryType::kCommand)
      registry.apply(entry.index, ownership::decode(entry.data).value());
  }
  return registry;
}

// Starts a node on the directory and checks the state that it recovered. Returns the hard state that it must
// have stored when it stops.
std::string expect_node_recovers(const std::string& directory, const NamedLines& before,
                                 const ownership::LeaseRegistry& registry) {
  auto identity = json::parse(before.at("identity"));
  TestNode voter(single_voter_options(directory));
  voter.node().start();
  auto operator_link = dial_as(voter.port(), "fleet", "tool");
  auto status = operator_link.run_admin_command({{"do", "status"}}).at("status");
  EXPECT_EQ(status.at("id"), identity.at("id"));
  EXPECT_EQ(status.at("name"), "a");
  EXPECT_TRUE(status.at("initialised"));
  EXPECT_EQ(status.at("list_generation"), 9);
  EXPECT_EQ(status.at("list_from"), "the group");
  // The command fails until the node is leader again.
  while (!operator_link.run_admin_command({{"do", "get"}, {"key", "name"}}).at("ok")) {
  }
  EXPECT_EQ(operator_link.run_admin_command({{"do", "get"}, {"key", "name"}}).at("value"), "first");
  EXPECT_EQ(operator_link.run_admin_command({{"do", "get"}, {"key", "k39"}}).at("value"),
            std::to_string(kPutCommands - 21));
  auto owners = operator_link.run_admin_command({{"do", "owners"}}).at("owners");
  EXPECT_EQ(owners.size(), 3u);
  EXPECT_EQ(owners.at(0).at("job"), "list");
  EXPECT_EQ(owners.at(0).at("owner"), "owner");
  EXPECT_EQ(owners.at(0).at("token"), registry.job("list")->token);
  EXPECT_EQ(owners.at(1).at("job"), "placement");
  EXPECT_EQ(owners.at(1).at("token"), registry.job("placement")->token);
  auto members = operator_link.run_admin_command({{"do", "members"}}).at("members");
  EXPECT_EQ(members.size(), 2u);
  EXPECT_EQ(members.at(0).at("id"), identity.at("id"));
  EXPECT_EQ(members.at(0).at("kind"), "voter");
  EXPECT_EQ(members.at(1).at("id"), 77);
  EXPECT_EQ(members.at(1).at("kind"), "learner");
  EXPECT_EQ(voter.node().adopted_plan_number(), 12u);
  // As the only voter, the node wins its first election, in the next term, with its own vote.
  auto term = json::parse(before.at("hard")).at(0).get<std::uint64_t>() + 1;
  EXPECT_EQ(operator_link.run_admin_command({{"do", "status"}}).at("status").at("term"), term);
  voter.node().stop();
  return json::array({term, identity.at("id")}).dump();
}

class StoredFormat : public testing::Test {
 protected:
  static void SetUpTestSuite() {
    if (!should_rewrite_golden_files()) return;
    fs::remove_all(data_path(kDirectory));
    fs::create_directories(data_path(kDirectory));
    TemporaryDirectory source;
    write_directory(source.path());
    state::open_store(source.path(), "group", kStoreVersion).reset();  // the last close empties the -wal file
    fs::copy(fs::path(source.path()) / "group.db", data_path(kDirectory) / "group.db");
  }
  StoredFormat() { fs::copy(data_path(kDirectory), copy_.path(), fs::copy_options::recursive); }
  std::string directory() const { return copy_.path(); }

  TemporaryDirectory copy_;
};

}  // namespace

TEST_F(StoredFormat, EveryKeyHasTheContentThatWasWritten) {
  expect_golden(kFile, kComment, content_of(directory()));
}

TEST_F(StoredFormat, TheLeaseRegistryHoldsWhatWasWritten) {
  auto registry = lease_registry_of(directory());
  auto* list = registry.job("list");
  ASSERT_TRUE(list);
  EXPECT_EQ(list->lease_holder, "owner");
  EXPECT_EQ(list->token, list->publisher_token);
  EXPECT_GT(list->token, 1u);
  EXPECT_EQ(list->version, 9u);
  EXPECT_EQ(list->data, kList);
  auto* placement_job = registry.job("placement");
  ASSERT_TRUE(placement_job);
  EXPECT_EQ(placement_job->lease_holder, "");
  EXPECT_GT(placement_job->token, list->token);
  EXPECT_EQ(placement_job->publisher_token, placement_job->token);
  auto* probe = registry.job("probe 7");
  ASSERT_TRUE(probe);
  EXPECT_EQ(probe->lease_holder, "prober");
  EXPECT_GT(probe->token, placement_job->token);
  EXPECT_EQ(probe->publisher_token, 0u);
  auto plan = placement::plan_from_json(json::parse(placement_job->data));
  EXPECT_EQ(plan.number, 12u);
  EXPECT_TRUE(plan.is_equivalent_to(stored_plan()));
  EXPECT_EQ(registry.settings().size(), 41u);
  EXPECT_EQ(registry.settings().at("name"), "first");
  for (int i = kPutCommands - 40; i < kPutCommands; ++i)
    EXPECT_EQ(registry.settings().at(fmt::format("k{}", i % 40)), std::to_string(i));
  EXPECT_EQ(registry.stale_publications(), 0u);
}

TEST_F(StoredFormat, ANodeRecoversFromTheStoredDirectory) {
  auto before = content_of(directory());
  auto expected_hard_state = expect_node_recovers(directory(), before, lease_registry_of(directory()));
  auto after = content_of(directory());
  EXPECT_EQ(after.at("hard"), expected_hard_state);
  EXPECT_EQ(after.at("identity"), before.at("identity"));
  EXPECT_EQ(after.at("snapshot"), before.at("snapshot"));
}

TEST_F(StoredFormat, ATruncatedLogEntryQuarantinesTheDirectory) {
  {
    auto store = state::open_store(directory(), "group", kStoreVersion);
    auto [key, value] = store->scan("raft/log/", "raft/log0").back();
    state::Batch truncation;
    truncation.changes.emplace_back(key, value.substr(0, value.size() / 2));
    store->commit(truncation);
  }
  TestNode voter(single_voter_options(directory()));
  auto lines = voter.log_lines();
  ASSERT_FALSE(lines.empty());
  std::string quarantine_line;
  for (auto& line : lines)
    if (line.find("corrupt") != std::string::npos) quarantine_line = line;
  auto expected_start = fmt::format(
      "group: its directory is corrupt ({0}: an entry of its log cannot be read) and was set aside as "
      "{0}/set-aside-",
      directory());
  EXPECT_EQ(quarantine_line.substr(0, expected_start.size()), expected_start);
  constexpr std::string_view kExpectedEnd = "; this node starts with a new identity";
  ASSERT_GT(quarantine_line.size(), kExpectedEnd.size());
  EXPECT_EQ(quarantine_line.substr(quarantine_line.size() - kExpectedEnd.size()), kExpectedEnd);
}

TEST_F(StoredFormat, ADirectoryOfAnotherInstallationIsRejected) {
  auto options = single_voter_options(directory());
  options.installation = "other";
  try {
    TestNode voter(options);
    FAIL() << "the directory was opened";
  } catch (const state::StoreError& e) {
    EXPECT_EQ(e.code, state::StoreErrorCode::kForeign);
    EXPECT_EQ(e.what(), fmt::format("group.directory {} belongs to the installation 'golden', not 'other'",
                                    directory()));
  }
}

TEST_F(StoredFormat, ADirectoryOfANewerVersionIsRejected) {
  state::open_store(directory(), "group", kStoreVersion + 1).reset();
  try {
    TestNode voter(single_voter_options(directory()));
    FAIL() << "the directory was opened";
  } catch (const state::StoreError& e) {
    EXPECT_EQ(e.code, state::StoreErrorCode::kNewer);
    EXPECT_EQ(e.what(), fmt::format("{}/group.db has version 2, this program knows 1", directory()));
  }
}

}  // namespace database_proxy::test
