// Compares the encoded bytes of everything that is sent over a connection or written to the log with
// tests/data/wire_bytes.txt (one `name hex` pair per line), and decodes those bytes back to values.
// Rewrite the file with `DATABASE_PROXY_REWRITE_GOLDEN=1 stored_and_wire_format_tests
// --gtest_filter='WireFormat.*'`, and only for a deliberate change of a format.
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "formats/golden_file.h"
#include "ownership/lease_registry.h"
#include "peers/codec.h"
#include "pg/message.h"
#include "pg/statement.h"
#include "placement/placement_codec.h"

namespace database_proxy::test {
namespace {

constexpr const char* kFile = "wire_bytes.txt";
constexpr const char* kComment =
    "Bytes on the wires and in the log: name, hex. See tests/formats/wire_format_test.cpp.";

using consensus::Entry;
using consensus::EntryType;
using consensus::Message;

// Bytes that are not valid UTF-8, and a NUL, must be preserved as well.
std::string binary_text() { return std::string("\0\xff\x80 text", 8); }

consensus::Membership members() { return {{3, 70'000, 5'000'000'000}, {9}}; }

consensus::SnapshotPtr snapshot() {
  return std::make_shared<consensus::Snapshot>(consensus::Snapshot{1030, 4, members(), binary_text()});
}

std::vector<Entry> entries() {
  return {{4, 1031, EntryType::kNoOp, ""},
          {5, 1032, EntryType::kMembers, members().encode()},
          {5, 70'000, EntryType::kCommand, binary_text()}};
}

// Returns a message in which every field is set, with distinct values for the numbers. No node sends such a
// message.
Message full_message(Message::Type type) {
  Message message;
  message.type = type;
  message.from = 3;
  message.to = 70'000;
  message.term = 5;
  message.index = 1030;
  message.log_term = 4;
  message.commit = 1029;
  message.rejected_index = 1028;
  message.reject = true;
  message.forced = true;
  message.round = 17;
  message.entries = entries();
  message.snapshot = snapshot();
  return message;
}

// Returns a message with only type, sender, receiver and term set.
Message bare_message(Message::Type type) {
  Message message;
  message.type = type;
  message.from = 3;
  message.to = 4;
  message.term = 5;
  return message;
}

constexpr int kMessageTypes = static_cast<int>(Message::Type::kTimeoutNow) + 1;

std::map<std::string, ownership::Command> commands() {
  return {{"command.grant", ownership::Grant{"probe 7", "node-b", 1031}},
          {"command.release", ownership::Release{"probe 7", 1040}},
          {"command.publish", ownership::Publish{"list", 1041, 9, binary_text()}},
          {"command.put", ownership::SetConfigurationEntry{"key", "value"}}};
}

ownership::LeaseRegistry lease_registry() {
  ownership::LeaseRegistry registry;
  registry.apply(10, ownership::Grant{"list", "node-a", 0});
  registry.apply(11, ownership::Publish{"list", 10, 9, binary_text()});
  registry.apply(12, ownership::Grant{"probe 7", "node-b", 0});
  registry.apply(13, ownership::Release{"probe 7", 12});
  registry.apply(14, ownership::SetConfigurationEntry{"key", "value"});
  registry.apply(15, ownership::Grant{"list", "node-c", 10});
  registry.apply(16, ownership::Publish{"list", 10, 10, "stale"});
  return registry;
}

placement::Observation observation() {
  placement::Observation observation;
  observation.record("z1", 7, "z2", {11, 2, 3, 4, 5, 6000, 7, 8, 9.5});
  observation.add_votes("z1", "z2", {1, 2, 3});
  observation.add_demand("z1", 7, 120);
  observation.add_primary(7, "z2", 4);
  observation.add_followers(12, 5);
  return observation;
}

placement::ZoneState zone_state(placement::Phase phase) {
  return {phase, placement::PhaseReason::kUnhealthy, 1000, 2000, 3000, 4000, 0.25, true};
}

placement::Plan plan() {
  placement::Plan plan;
  plan.number = 12;
  using placement::Phase;
  for (auto phase : {Phase::kOpen, Phase::kClosed, Phase::kOpening, Phase::kEvacuating, Phase::kEvacuated})
    plan.zones[std::string("zone-") + placement::text_of(phase)] = zone_state(phase);
  plan.links[{"z1", "z2"}] = zone_state(Phase::kClosed);
  plan.shares[{7, "z1"}] = {{"z1", 0.75}, {"z2", 0.125}};
  plan.surplus_capacity[{7, "z1"}] = {{"z2", 0.5}};
  plan.changes = {{"z1", 5000}, {"z2", 6000}};
  plan.frozen = true;
  return plan;
}

// Adds the encodings that daemons exchange and store.
void add_peer_bytes(NamedLines* lines) {
  auto put = [&](const std::string& name, const std::string& bytes) { (*lines)[name] = to_hex(bytes); };
  for (int type = 0; type < kMessageTypes; ++type) {
    auto number = std::to_string(type);
    put("raft.full." + number, peers::frame(peers::raft_to_json(full_message(Message::Type(type)))));
    put("raft.bare." + number, peers::frame(peers::raft_to_json(bare_message(Message::Type(type)))));
  }
  int number = 0;
  for (auto& entry : entries()) put("entry." + std::to_string(number++), peers::encode_entry(entry));
  put("snapshot", peers::encode_snapshot(*snapshot()));
  put("members", members().encode());
  for (auto& [name, command] : commands()) put(name, ownership::encode(command));
  put("ledger.empty", ownership::LeaseRegistry().encode());
  put("ledger.full", lease_registry().encode());
  put("observation", placement::to_json(observation()).dump());
  put("observation.empty", placement::to_json(placement::Observation()).dump());
  put("plan", placement::to_json(plan()).dump());
  put("plan.empty", placement::to_json(placement::Plan()).dump());
}

// Adds the PostgreSQL messages that the proxy writes.
void add_pg_bytes(NamedLines* lines) {
  auto put = [&](const std::string& name, const std::string& bytes) {
    (*lines)["pg." + name] = to_hex(bytes);
  };
  put("query_head", pg::query_head(70'000));
  put("startup_message", pg::startup_message("backend", "store"));
  put("simple_query", pg::simple_query("SELECT 1"));
  put("ready_for_query", pg::ready_for_query());
  put("greeting", pg::greeting(0x01020304, 0xfffefdfc));
  put("negotiate_version", pg::negotiate_version());
  put("command_complete", pg::command_complete("INSERT 0 1"));
  put("empty_query_response", pg::empty_query_response());
  put("error_response", pg::error_response("ERROR", "53300", "full"));
  put("error_response.detail", pg::error_response("FATAL", "57P01", "going", "250"));
}

// Returns the bytes of one entry of the golden file.
std::string golden_bytes(const std::string& name) {
  auto lines = read_golden(kFile);
  auto it = lines.find(name);
  EXPECT_NE(it, lines.end()) << name;
  return it == lines.end() ? "" : from_hex(it->second);
}

void expect_same(const Message& got, const Message& expected) {
  EXPECT_EQ(got.type, expected.type);
  EXPECT_EQ(got.from, expected.from);
  EXPECT_EQ(got.to, expected.to);
  EXPECT_EQ(got.term, expected.term);
  EXPECT_EQ(got.index, expected.index);
  EXPECT_EQ(got.log_term, expected.log_term);
  EXPECT_EQ(got.commit, expected.commit);
  EXPECT_EQ(got.rejected_index, expected.rejected_index);
  EXPECT_EQ(got.reject, expected.reject);
  EXPECT_EQ(got.forced, expected.forced);
  EXPECT_EQ(got.round, expected.round);
  EXPECT_EQ(got.entries, expected.entries);
  ASSERT_EQ(got.snapshot != nullptr, expected.snapshot != nullptr);
  if (!got.snapshot) return;
  EXPECT_EQ(got.snapshot->index, expected.snapshot->index);
  EXPECT_EQ(got.snapshot->term, expected.snapshot->term);
  EXPECT_EQ(got.snapshot->members, expected.snapshot->members);
  EXPECT_EQ(got.snapshot->data, expected.snapshot->data);
}

}  // namespace

TEST(WireFormat, EncodersProduceTheGoldenBytes) {
  NamedLines lines;
  add_peer_bytes(&lines);
  add_pg_bytes(&lines);
  expect_golden(kFile, kComment, lines);
}

TEST(WireFormat, GoldenConsensusMessagesDecodeToTheOriginalValues) {
  for (int type = 0; type < kMessageTypes; ++type)
    for (bool full : {true, false}) {
      auto bytes = golden_bytes((full ? "raft.full." : "raft.bare.") + std::to_string(type));
      nlohmann::json json;
      std::size_t size = 0;
      ASSERT_EQ(peers::parse_frame(bytes, &json, &size), peers::FrameParse::kOk) << type;
      EXPECT_EQ(size, bytes.size());
      auto message = peers::raft_from_json(json);
      ASSERT_TRUE(message) << type;
      expect_same(*message, full ? full_message(Message::Type(type)) : bare_message(Message::Type(type)));
    }
}

TEST(WireFormat, GoldenEntriesSnapshotsAndMembersDecodeToTheOriginalValues) {
  int number = 0;
  for (auto& entry : entries())
    EXPECT_EQ(peers::decode_entry(golden_bytes("entry." + std::to_string(number++))), entry);
  auto decoded = peers::decode_snapshot(golden_bytes("snapshot"));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->index, 1030u);
  EXPECT_EQ(decoded->term, 4u);
  EXPECT_EQ(decoded->members, members());
  EXPECT_EQ(decoded->data, binary_text());
  EXPECT_EQ(consensus::Membership::decode(golden_bytes("members")), members());
}

TEST(WireFormat, GoldenCommandsDecodeToTheOriginalValues) {
  auto grant = ownership::decode(golden_bytes("command.grant"));
  ASSERT_TRUE(grant && std::holds_alternative<ownership::Grant>(*grant));
  EXPECT_EQ(std::get<ownership::Grant>(*grant).job, "probe 7");
  EXPECT_EQ(std::get<ownership::Grant>(*grant).lease_holder, "node-b");
  EXPECT_EQ(std::get<ownership::Grant>(*grant).previous_token, 1031u);
  auto release = ownership::decode(golden_bytes("command.release"));
  ASSERT_TRUE(release && std::holds_alternative<ownership::Release>(*release));
  EXPECT_EQ(std::get<ownership::Release>(*release).job, "probe 7");
  EXPECT_EQ(std::get<ownership::Release>(*release).token, 1040u);
  auto publish = ownership::decode(golden_bytes("command.publish"));
  ASSERT_TRUE(publish && std::holds_alternative<ownership::Publish>(*publish));
  EXPECT_EQ(std::get<ownership::Publish>(*publish).job, "list");
  EXPECT_EQ(std::get<ownership::Publish>(*publish).token, 1041u);
  EXPECT_EQ(std::get<ownership::Publish>(*publish).version, 9u);
  EXPECT_EQ(std::get<ownership::Publish>(*publish).data, binary_text());
  auto put = ownership::decode(golden_bytes("command.put"));
  ASSERT_TRUE(put && std::holds_alternative<ownership::SetConfigurationEntry>(*put));
  EXPECT_EQ(std::get<ownership::SetConfigurationEntry>(*put).key, "key");
  EXPECT_EQ(std::get<ownership::SetConfigurationEntry>(*put).value, "value");
}

TEST(WireFormat, GoldenLeaseRegistryDecodesToTheOriginalValues) {
  auto decoded = ownership::LeaseRegistry::decode(golden_bytes("ledger.full"));
  ASSERT_TRUE(decoded);
  ASSERT_EQ(decoded->jobs().size(), 2u);
  auto* list = decoded->job("list");
  ASSERT_TRUE(list);
  EXPECT_EQ(list->lease_holder, "node-c");
  EXPECT_EQ(list->token, 15u);
  EXPECT_EQ(list->publisher_token, 10u);
  EXPECT_EQ(list->version, 9u);
  EXPECT_EQ(list->data, binary_text());
  auto* probe = decoded->job("probe 7");
  ASSERT_TRUE(probe);
  EXPECT_EQ(probe->lease_holder, "");
  EXPECT_EQ(probe->token, 12u);
  EXPECT_EQ(decoded->settings(), (std::map<std::string, std::string>{{"key", "value"}}));
  EXPECT_EQ(decoded->stale_publications(), 1u);
}

TEST(WireFormat, GoldenObservationAndPlanDecodeToTheOriginalValues) {
  EXPECT_EQ(placement::observation_from_json(nlohmann::json::parse(golden_bytes("observation"))),
            observation());
  EXPECT_EQ(placement::observation_from_json(nlohmann::json::parse(golden_bytes("observation.empty"))),
            placement::Observation());
  auto decoded = placement::plan_from_json(nlohmann::json::parse(golden_bytes("plan")));
  EXPECT_EQ(decoded.number, 12u);
  EXPECT_TRUE(decoded.is_equivalent_to(plan()));
  EXPECT_EQ(decoded.zones, plan().zones);
  EXPECT_EQ(decoded.links, plan().links);
  EXPECT_EQ(decoded.shares, plan().shares);
  EXPECT_EQ(decoded.surplus_capacity, plan().surplus_capacity);
  EXPECT_EQ(decoded.changes, plan().changes);
  EXPECT_TRUE(decoded.frozen);
}

TEST(WireFormat, GoldenPgMessagesDecodeToTheOriginalValues) {
  pg::FirstMessage first;
  ASSERT_EQ(pg::parse_first_message(golden_bytes("pg.startup_message"), &first), pg::ParseStatus::kOk);
  EXPECT_EQ(first.kind, pg::FirstMessageKind::kStartup);
  auto query = golden_bytes("pg.simple_query"), error = golden_bytes("pg.error_response.detail");
  pg::Frame frame;
  ASSERT_EQ(pg::parse_frame(query, 1 << 20, &frame), pg::ParseStatus::kOk);
  EXPECT_EQ(frame.type, 'Q');
  EXPECT_EQ(pg::query_text(frame.body), "SELECT 1");
  ASSERT_EQ(pg::parse_frame(error, 1 << 20, &frame), pg::ParseStatus::kOk);
  auto fields = pg::parse_error(frame.body);
  ASSERT_TRUE(fields);
  EXPECT_EQ(fields->code, "57P01");
  EXPECT_EQ(fields->message, "going");
  EXPECT_EQ(fields->detail, "250");
}

// pg/statement only parses, so the golden file does not cover it; this test checks the parsed fields.
TEST(WireFormat, StatementsAreParsedFieldByField) {
  std::string text =
      "SELECT content FROM kv WHERE name = 'k1' /* id=a1,c=browse,d=250,cluster=7,after=99,r=1 */";
  auto read = pg::parse_statement(text);
  EXPECT_EQ(read.kind, pg::StatementKind::kRead);
  EXPECT_EQ(read.key, "k1");
  EXPECT_EQ(read.id, "a1");
  EXPECT_EQ(read.request_class, "browse");
  EXPECT_EQ(read.timeout_ms, 250);
  EXPECT_EQ(text.substr(read.timeout_begin, read.timeout_end - read.timeout_begin), "250");
  EXPECT_EQ(read.shard_group, 7);
  EXPECT_EQ(read.after_unix_ms, 99);
  EXPECT_TRUE(read.is_retry);
  auto write = pg::parse_statement(
      "INSERT INTO kv (name, content) VALUES ('k2', 'it''s') RETURNING content /* "
      "id=a2,c=book,d=9,k=key,cluster=-1 */");
  EXPECT_EQ(write.kind, pg::StatementKind::kWrite);
  EXPECT_EQ(write.idempotency_key, "key");
  EXPECT_EQ(pg::parse_statement(" reset all; ").tag, "RESET");
}

}  // namespace database_proxy::test
