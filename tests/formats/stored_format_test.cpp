// A voter's directory, as the program wrote it when tests/data/stored_group/ was made, is opened from a copy:
// by the store and the codec, field by field (tests/data/stored_group.txt), and by a node, as a daemon does.
// Directory and list are made anew by `DATABASE_PROXY_REWRITE_GOLDEN=1 stored_and_wire_format_tests
// --gtest_filter='StoredFormat.*'`; only a deliberate change of what is stored may do so.
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
// A snapshot is taken after 1024 entries, and 512 stay behind it; these go past it by a few dozen.
constexpr int kSettings = 1060;

const std::string kList =
    R"({"generation":9,"reset":true,"instances":[{"instanceId":"s1","cell":7,"hostPort":"127.0.0.1:2","zone":"z1"}]})";

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

// The token that this job is granted with; asks until it is.
std::uint64_t be_granted(PeerConnection* follower, const std::vector<std::string>& jobs) {
  for (std::uint64_t number = 1;; ++number) {
    follower->send({{"t", "ask"}, {"n", number}, {"willing", jobs}, {"holds", json::array()}});
    auto told = follower->next("told");
    if (told.at("granted").size() == jobs.size()) return told.at("granted").at(0).at(1);
  }
}

void propose(PeerConnection* follower, const ownership::Command& command) {
  follower->send({{"t", "propose"}, {"ticket", 5}, {"cmd", peers::bytes_of(ownership::encode(command))}});
  auto done = follower->next("done");
  ASSERT_TRUE(done.at("ok")) << done;
}

void write_directory(const std::string& directory) {
  TestNode voter(lone_voter_options(directory));
  voter.node().start();
  auto operator_link = dial_as(voter.port(), "fleet", "tool");
  auto id = operator_link.run_admin_command({{"do", "identify"}}).at("id");
  ASSERT_TRUE(operator_link.run_admin_command({{"do", "bootstrap"}, {"voters", {id}}}).at("ok"));
  while (!operator_link.run_admin_command({{"do", "put"}, {"key", "name"}, {"value", "first"}}).at("ok")) {
  }
  auto owner = dial_as(voter.port(), "owner", "follower");
  auto token = be_granted(&owner, {"list"});
  propose(&owner, ownership::Publish{"list", token, 9, kList});
  auto planner = dial_as(voter.port(), "planner", "follower");
  token = be_granted(&planner, {"placement"});
  propose(&planner, ownership::Publish{"placement", token, 12, placement::to_json(stored_plan()).dump()});
  auto prober = dial_as(voter.port(), "prober", "follower");
  be_granted(&prober, {"probe 7"});  // publishes nothing: its token is not that of its data
  for (int i = 0; i < kSettings; ++i)
    ASSERT_TRUE(operator_link
                    .run_admin_command(
                        {{"do", "put"}, {"key", fmt::format("k{}", i % 40)}, {"value", fmt::format("{}", i)}})
                    .at("ok"));
  ASSERT_TRUE(operator_link.run_admin_command({{"do", "add"}, {"name", "learner"}, {"id", 77}}).at("ok"));
  propose(&planner, ownership::Release{"placement", token});
}

// Keys and values as they are; the log's, the ledger's and the snapshot's meaning beside their bytes.
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
  auto ledger = ownership::LeaseRegistry::decode(snapshot->data);
  EXPECT_TRUE(ledger);
  for (auto& [name, job] : ledger->jobs())
    lines[fmt::format("snapshot.job.{}", name == "probe 7" ? "probe-7" : name)] =
        fmt::format("owner={} token={} published_by={} version={} data={}", job.owner, job.token,
                    job.published_by, job.version, job.data);
  lines["snapshot.settings"] = json(ledger->settings()).dump();
  lines["keys"] = std::to_string(store->scan("", "\xff").size());
  return lines;
}

ownership::LeaseRegistry ledger_of(const std::string& directory) {
  auto store = state::open_store(directory, "group", kStoreVersion);
  auto snapshot = peers::decode_snapshot(store->read("raft/snapshot").value());
  auto ledger = ownership::LeaseRegistry::decode(snapshot->data).value();
  for (auto& [key, value] : store->scan("raft/log/", "raft/log0")) {
    auto entry = peers::decode_entry(value).value();
    if (entry.index > snapshot->index && entry.type == consensus::EntryType::kCommand)
      ledger.apply(entry.index, ownership::decode(entry.data).value());
  }
  return ledger;
}

// Starts a node there and asks it for what it found; the hard state that it must leave behind.
std::string expect_node_goes_on(const std::string& directory, const NamedLines& before,
                                const ownership::LeaseRegistry& ledger) {
  auto identity = json::parse(before.at("identity"));
  TestNode voter(lone_voter_options(directory));
  voter.node().start();
  auto operator_link = dial_as(voter.port(), "fleet", "tool");
  auto status = operator_link.run_admin_command({{"do", "status"}}).at("status");
  EXPECT_EQ(status.at("id"), identity.at("id"));
  EXPECT_EQ(status.at("name"), "a");
  EXPECT_TRUE(status.at("initialised"));
  EXPECT_EQ(status.at("list_generation"), 9);
  EXPECT_EQ(status.at("list_from"), "the group");
  while (
      !operator_link.run_admin_command({{"do", "get"}, {"key", "name"}}).at("ok")) {  // until it leads again
  }
  EXPECT_EQ(operator_link.run_admin_command({{"do", "get"}, {"key", "name"}}).at("value"), "first");
  EXPECT_EQ(operator_link.run_admin_command({{"do", "get"}, {"key", "k39"}}).at("value"),
            std::to_string(kSettings - 21));
  auto owners = operator_link.run_admin_command({{"do", "owners"}}).at("owners");
  EXPECT_EQ(owners.size(), 3u);
  EXPECT_EQ(owners.at(0).at("job"), "list");
  EXPECT_EQ(owners.at(0).at("owner"), "owner");
  EXPECT_EQ(owners.at(0).at("token"), ledger.job("list")->token);
  EXPECT_EQ(owners.at(1).at("job"), "placement");
  EXPECT_EQ(owners.at(1).at("token"), ledger.job("placement")->token);
  auto members = operator_link.run_admin_command({{"do", "members"}}).at("members");
  EXPECT_EQ(members.size(), 2u);
  EXPECT_EQ(members.at(0).at("id"), identity.at("id"));
  EXPECT_EQ(members.at(0).at("kind"), "voter");
  EXPECT_EQ(members.at(1).at("id"), 77);
  EXPECT_EQ(members.at(1).at("kind"), "learner");
  EXPECT_EQ(voter.node().adopted_plan_number(), 12u);
  // It was the only voter: its first election, in the next term, goes to itself.
  auto term = json::parse(before.at("hard")).at(0).get<std::uint64_t>() + 1;
  EXPECT_EQ(operator_link.run_admin_command({{"do", "status"}}).at("status").at("term"), term);
  voter.node().stop();
  return json::array({term, identity.at("id")}).dump();
}

class StoredFormat : public testing::Test {
 protected:
  static void SetUpTestSuite() {
    if (!rewrites_golden_files()) return;
    fs::remove_all(data_path(kDirectory));
    fs::create_directories(data_path(kDirectory));
    TemporaryDirectory made;
    write_directory(made.path());
    state::open_store(made.path(), "group", kStoreVersion).reset();  // the last to close it empties its -wal
    fs::copy(fs::path(made.path()) / "group.db", data_path(kDirectory) / "group.db");
  }
  StoredFormat() { fs::copy(data_path(kDirectory), copy_.path(), fs::copy_options::recursive); }
  std::string directory() const { return copy_.path(); }

  TemporaryDirectory copy_;
};

}  // namespace

TEST_F(StoredFormat, EveryKeyHasTheContentThatWasWritten) {
  expect_golden(kFile, kComment, content_of(directory()));
}

TEST_F(StoredFormat, TheLedgerHoldsWhatWasWritten) {
  auto ledger = ledger_of(directory());
  auto* list = ledger.job("list");
  ASSERT_TRUE(list);
  EXPECT_EQ(list->owner, "owner");
  EXPECT_EQ(list->token, list->published_by);
  EXPECT_GT(list->token, 1u);
  EXPECT_EQ(list->version, 9u);
  EXPECT_EQ(list->data, kList);
  auto* placement_job = ledger.job("placement");
  ASSERT_TRUE(placement_job);
  EXPECT_EQ(placement_job->owner, "");
  EXPECT_GT(placement_job->token, list->token);
  EXPECT_EQ(placement_job->published_by, placement_job->token);
  auto* probe = ledger.job("probe 7");
  ASSERT_TRUE(probe);
  EXPECT_EQ(probe->owner, "prober");
  EXPECT_GT(probe->token, placement_job->token);
  EXPECT_EQ(probe->published_by, 0u);
  auto plan = placement::plan_from_json(json::parse(placement_job->data));
  EXPECT_EQ(plan.number, 12u);
  EXPECT_TRUE(plan.is_equivalent_to(stored_plan()));
  EXPECT_EQ(ledger.settings().size(), 41u);
  EXPECT_EQ(ledger.settings().at("name"), "first");
  for (int i = kSettings - 40; i < kSettings; ++i)
    EXPECT_EQ(ledger.settings().at(fmt::format("k{}", i % 40)), std::to_string(i));
  EXPECT_EQ(ledger.stale(), 0u);
}

TEST_F(StoredFormat, ANodeOpensItAndGoesOn) {
  auto before = content_of(directory());
  auto hard = expect_node_goes_on(directory(), before, ledger_of(directory()));
  auto after = content_of(directory());
  EXPECT_EQ(after.at("hard"), hard);
  EXPECT_EQ(after.at("identity"), before.at("identity"));
  EXPECT_EQ(after.at("snapshot"), before.at("snapshot"));
}

TEST_F(StoredFormat, AnEntryCutShortQuarantinesTheDirectory) {
  {
    auto store = state::open_store(directory(), "group", kStoreVersion);
    auto [key, value] = store->scan("raft/log/", "raft/log0").back();
    state::Batch cut;
    cut.changes.emplace_back(key, value.substr(0, value.size() / 2));
    store->commit(cut);
  }
  TestNode voter(lone_voter_options(directory()));
  auto lines = voter.lines();
  ASSERT_FALSE(lines.empty());
  std::string torn;
  for (auto& line : lines)
    if (line.find("torn") != std::string::npos) torn = line;
  auto begin = fmt::format(
      "group: its directory is torn ({0}: an entry of its log cannot be read) and was set aside as "
      "{0}/set-aside-",
      directory());
  EXPECT_EQ(torn.substr(0, begin.size()), begin);
  constexpr std::string_view kEnd = "; this node begins anew";
  ASSERT_GT(torn.size(), kEnd.size());
  EXPECT_EQ(torn.substr(torn.size() - kEnd.size()), kEnd);
}

TEST_F(StoredFormat, ADirectoryOfAnotherInstallationIsRejected) {
  auto options = lone_voter_options(directory());
  options.installation = "other";
  try {
    TestNode voter(options);
    FAIL() << "it was opened";
  } catch (const state::StoreError& e) {
    EXPECT_EQ(e.code, state::StoreErrorCode::kForeign);
    EXPECT_EQ(e.what(), fmt::format("group.directory {} belongs to the installation 'golden', not 'other'",
                                    directory()));
  }
}

TEST_F(StoredFormat, ADirectoryOfANewerVersionIsRejected) {
  state::open_store(directory(), "group", kStoreVersion + 1).reset();
  try {
    TestNode voter(lone_voter_options(directory()));
    FAIL() << "it was opened";
  } catch (const state::StoreError& e) {
    EXPECT_EQ(e.code, state::StoreErrorCode::kNewer);
    EXPECT_EQ(e.what(), fmt::format("{}/group.db has version 2, this program knows 1", directory()));
  }
}

}  // namespace database_proxy::test
