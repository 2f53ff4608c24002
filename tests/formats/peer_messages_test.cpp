// Compares messages between daemons, other than the consensus messages that wire_format_test.cpp covers, with
// tests/data/peer_messages.txt. A real node sends them over real connections to peers that the test
// simulates. Each line of the file is a `name json` pair, with byte strings as {"bytes": "hex"}. Keys are
// sorted and numbers keep their type, so encoding the object gives the frame byte for byte (PeerConnection
// checks that the node wrote exactly these bytes). Values that depend on the clock or on chance are replaced,
// see normalised(). Rewrite the file with `DATABASE_PROXY_REWRITE_GOLDEN=1 stored_and_wire_format_tests
// --gtest_filter='PeerMessages.*'`, and only for a deliberate change of a message.
#include <gtest/gtest.h>

#include <chrono>

#include "formats/golden_file.h"
#include "formats/test_node.h"
#include "placement/placement_codec.h"
#include "state/durable_store.h"

namespace database_proxy::test {
namespace {

constexpr const char* kFile = "peer_messages.txt";
constexpr const char* kComment =
    "Messages between daemons: name, JSON. See tests/formats/peer_messages_test.cpp.";
constexpr std::uint64_t kNodeId = 1001;

// Replaces byte strings by {"bytes": "hex"}, and values that differ between runs by fixed ones: Unix
// milliseconds, monotonic microseconds, durations, and request numbers, which depend on how often a request
// was sent before.
void normalise(json* value) {
  if (value->is_binary()) {
    auto& bytes = value->get_binary();
    *value = {{"bytes", to_hex(std::string(bytes.begin(), bytes.end()))}};
  } else if (value->is_array()) {
    for (auto& element : *value) normalise(&element);
  } else if (value->is_object()) {
    for (auto& [key, element] : value->items()) {
      bool varies =
          key == "at" || key == "clock_us" || key == "state_age_ms" || key == "n" || key == "heard_ms";
      if (varies && element.is_number_integer())
        element = 0;
      else if (key == "node" && element.get<std::string>().starts_with("tool-"))
        element = "tool-0";  // a voter names admin clients with a random number
      else
        normalise(&element);
    }
  }
}

// Returns the message as golden text, without the values that differ between runs.
std::string normalised(json message) {
  normalise(&message);
  if (message.at("t") == "alive") message["term"] = 0;  // a slow disk causes more elections
  if (message.contains("status")) message["status"]["term"] = 0;
  if (message.at("t") == "facts" && message.contains("facts"))
    for (auto& report : message["facts"]) {
      EXPECT_GT(report.at(3).get<std::int64_t>(), 1'600'000'000'000);
      report[3] = 0;
    }
  return message.dump();
}

// Reverses the replacement of byte strings by {"bytes": "hex"}.
json with_byte_strings(const json& value) {
  if (value.is_object() && value.size() == 1 && value.contains("bytes"))
    return peers::bytes_of(from_hex(value.at("bytes").get<std::string>()));
  if (!value.is_structured()) return value;
  auto result = value;
  for (auto& element : result) element = with_byte_strings(element);
  return result;
}

// The messages that a node sent, normalised, by the name of their golden line.
class RecordedMessages {
 public:
  json add(const std::string& name, json message) {
    lines_[name] = normalised(message);
    return message;
  }
  const NamedLines& lines() const { return lines_; }

 private:
  NamedLines lines_;
};

const std::string kList =
    R"({"generation":9,"reset":true,"instances":[{"instanceId":"s1","cell":7,"hostPort":"127.0.0.1:2","zone":"z1"}]})";

placement::Observation observation() {
  placement::Observation observation;
  observation.record("z1", 7, "z2", {11, 2, 3, 4, 5, 6000, 7, 8, 9.5});
  observation.add_demand("z1", 7, 120);
  return observation;
}

json encoded_command(const ownership::Command& command) {
  return peers::bytes_of(ownership::encode(command));
}

// Creates a voter's directory with a fixed identity, so that its id is the same in every run.
void create_voter_directory(const std::string& directory) {
  state::Batch batch;
  std::string identity;
  json::to_cbor({{"installation", "golden"}, {"id", kNodeId}, {"name", "a"}}, identity);
  batch.changes.emplace_back("identity", identity);
  state::open_store(directory, "group", 1)->commit(batch);
}

// Repeats the lease request until all jobs are granted, and returns the response.
json wait_for_grant(PeerConnection* follower, const std::vector<std::string>& jobs) {
  for (int number = 1;; ++number) {
    follower->send({{"t", "ask"}, {"n", number}, {"willing", jobs}, {"holds", json::array()}});
    auto reply = follower->next("told");
    if (reply.at("granted").size() == jobs.size()) return reply;
  }
}

// Records what a leading voter sends to admin clients and followers without a vote.
void record_leader_messages(RecordedMessages* messages) {
  TemporaryDirectory directory;
  create_voter_directory(directory.path());
  TestNode voter(single_voter_options(directory.path()));
  voter.node().start();
  auto foreign_peer = PeerConnection::dial(voter.port());
  messages->add("no", foreign_peer.handshake(hello_message("x", "follower", 0, "other")));
  auto operator_link = PeerConnection::dial(voter.port());
  messages->add("welcome", operator_link.handshake(hello_message("fleet", "tool")));
  operator_link.send({{"t", "ping"}});
  messages->add("pong", operator_link.next("pong"));
  messages->add("answer.identify", operator_link.run_admin_command({{"do", "identify"}}));
  messages->add("answer.no_leader",
                operator_link.run_admin_command({{"do", "put"}, {"key", "k"}, {"value", "v"}}));
  auto early_follower = dial_as(voter.port(), "early", "follower");
  early_follower.send({{"t", "propose"},
                       {"ticket", 4},
                       {"cmd", encoded_command(ownership::SetConfigurationEntry{"k", "v"})}});
  messages->add("done.no_leader", early_follower.next("done"));
  messages->add("answer.bootstrap",
                operator_link.run_admin_command({{"do", "bootstrap"}, {"voters", {kNodeId}}}));
  while (!operator_link.run_admin_command({{"do", "get"}, {"key", "k"}}).at("ok")) {
  }
  messages->add("answer.put", operator_link.run_admin_command({{"do", "put"}, {"key", "k"}, {"value", "v"}}));
  messages->add("answer.get", operator_link.run_admin_command({{"do", "get"}, {"key", "k"}}));
  messages->add("answer.members", operator_link.run_admin_command({{"do", "members"}}));
  messages->add("answer.unknown", operator_link.run_admin_command({{"do", "fly"}}));
  messages->add("answer.placement", operator_link.run_admin_command({{"do", "placement"}, {"what", "show"}}));

  auto follower = dial_as(voter.port(), "p", "follower");
  follower.send({{"t", "follow"}, {"index", 0}});
  messages->add("state", follower.next("state"));
  messages->add("alive", follower.next("alive"));
  messages->add("told.granted", wait_for_grant(&follower, {"probe 7"}));
  messages->add("apply", follower.next("apply"));
  auto second_follower = dial_as(voter.port(), "q", "follower");
  second_follower.send({{"t", "want"}, {"set", 7}});
  messages->add("want.to_owner", follower.next("want"));
  follower.send({{"t", "propose"},
                 {"ticket", 5},
                 {"cmd", encoded_command(ownership::SetConfigurationEntry{"k2", "v2"})}});
  messages->add("done", follower.next("done"));
  messages->add("answer.owners", operator_link.run_admin_command({{"do", "owners"}}));
  messages->add("answer.status", operator_link.run_admin_command({{"do", "status"}}));
  messages->add("answer.step_down", operator_link.run_admin_command({{"do", "step-down"}}));
}

// Records what a follower without a vote sends to its voter, which the test simulates.
void record_follower_messages(RecordedMessages* messages) {
  PeerListener listener;
  auto options = node_options("p", {{"b", listener.address()}});
  options.jobs = {"list", "probe"};
  options.placement = single_voter_options("").placement;
  TestNode node(options);
  node.node().start();
  auto voter = listener.accept_peer();
  messages->add("hello.follower", voter.next("hello"));
  auto welcome = hello_message("b", "voter", 2);
  welcome["t"] = "welcome";
  voter.send(welcome);
  messages->add("follow", voter.next("follow"));
  ownership::LeaseRegistry registry;
  registry.apply(5, ownership::Grant{"list", "p", 0});
  registry.apply(6, ownership::Publish{"list", 5, 9, kList});
  registry.apply(7, ownership::Grant{"probe 7", "p", 0});
  voter.send({{"t", "state"}, {"index", 7}, {"ledger", peers::bytes_of(registry.encode())}});
  voter.send({{"t", "apply"}, {"from", 100}, {"index", 101}, {"entries", json::array()}});
  messages->add("follow.after_a_gap", voter.next("follow"));
  auto requests_both_jobs = [](const json& m) { return m.at("willing").size() == 2; };
  auto first_request = messages->add("ask", voter.next("ask", requests_both_jobs));
  auto answer = [&](const json& request, const json& granted, const json& give_up) {
    voter.send({{"t", "told"},
                {"node", "p"},
                {"via", "p"},
                {"n", request.at("n")},
                {"length", 2'000'000},
                {"granted", granted},
                {"give_up", give_up}});
  };
  auto all_leases = json::parse(R"([["list",5],["probe 7",7]])");
  answer(first_request, all_leases, json::array());
  messages->add("facts.list", voter.next("facts", [](const json& m) { return m.at("job") == "list"; }));
  node.node().subscribe_to_load("s1");
  messages->add("want", voter.next("want"));
  messages->add("facts.probe", voter.next("facts", [](const json& m) { return m.at("job") == "probe 7"; }));
  node.node().submit_observation(observation());
  messages->add("seen", voter.next("seen"));
  auto request_with_leases = voter.next("ask", [](const json& m) { return m.at("holds").size() == 2; });
  for (auto& held_lease : request_with_leases["holds"]) held_lease[2] = 0;  // progress, which varies
  messages->add("ask.holding", request_with_leases);
  answer(request_with_leases, all_leases, {"probe 7"});
  messages->add("propose.release", voter.next("propose"));
  messages->add("ping", voter.next("ping"));
}

// Returns an AppendEntries message of voter 2, the simulated leader.
json append_entries_message(std::vector<consensus::Entry> entries, std::uint64_t index,
                            std::uint64_t log_term) {
  consensus::Message append;
  append.type = consensus::Message::Type::kAppendEntries;
  append.from = 2;
  append.to = kNodeId;
  append.term = 50;
  append.index = index;
  append.log_term = log_term;
  append.commit = index + entries.size();
  append.round = 1;
  append.entries = std::move(entries);
  return peers::raft_to_json(append);
}

// Records the messages that a voter forwards from a follower without a vote to the leader, and back, and its
// exchange of endpoint list copies with the leader.
void record_relayed_messages(RecordedMessages* messages, int port, PeerConnection* dialed,
                             PeerConnection* leader) {
  auto follower = dial_as(port, "p", "follower");
  follower.send({{"t", "follow"}, {"index", 0}});
  follower.send({{"t", "ask"}, {"n", 4}, {"willing", {"list"}}, {"holds", {{"list", 5, 6}}}});
  messages->add("ask.passed_on", dialed->next("ask"));
  follower.send({{"t", "propose"}, {"ticket", 5}, {"cmd", encoded_command(ownership::Release{"list", 5})}});
  messages->add("propose.passed_on", dialed->next("propose"));
  follower.next("state");
  auto now = std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
  leader->send({{"t", "copy-stands"}, {"generation", 9}, {"at", now}});
  messages->add("copy-please", leader->next("copy-please"));
  messages->add("copy-stands", follower.next("copy-stands"));
  leader->send({{"t", "copy"}, {"at", now}, {"installation", "golden"}, {"list", kList}});
  messages->add("copy.passed_on", follower.next("copy"));
  leader->send({{"t", "copy-please"}});
  messages->add("copy", leader->next("copy"));
  leader->send({{"t", "facts"}, {"job", "placement"}, {"token", 3}, {"number", 0}, {"at", now}});
  messages->add("facts.placement.passed_on", follower.next("facts"));
}

// Records what a following voter, one of three, sends to the leader, which the test simulates, and to an
// admin client.
void record_voter_messages(RecordedMessages* messages) {
  TemporaryDirectory directory;
  create_voter_directory(directory.path());
  PeerListener listener;
  auto options = single_voter_options(directory.path());
  options.nodes = {{"a", "127.0.0.1:1"}, {"b", listener.address()}, {"c", "127.0.0.1:3"}};
  options.election_min = group::Micros(60'000'000);
  options.election_max = group::Micros(100'000'000);
  options.lease = options.placement->contact_timeout = group::Micros(200'000'000);
  TestNode node(options);
  node.node().start();
  auto dialed = listener.accept_peer();
  messages->add("hello.voter", dialed.next("hello"));
  auto welcome = hello_message("b", "voter", 2);
  welcome["t"] = "welcome";
  dialed.send(welcome);
  auto leader = dial_as(node.port(), "b", "voter", 2);
  auto operator_link = dial_as(node.port(), "fleet", "tool");
  ASSERT_TRUE(operator_link.run_admin_command({{"do", "bootstrap"}, {"voters", {kNodeId, 2, 3}}}).at("ok"));
  consensus::Entry no_op{50, 2, consensus::EntryType::kNoOp, ""};
  consensus::Entry grant{50, 3, consensus::EntryType::kCommand,
                         ownership::encode(ownership::Grant{"placement", "b", 0})};
  leader.send(append_entries_message({no_op, grant}, 1, 1));
  // The voter acknowledges the entries only once they are durable.
  messages->add("raft.append_reply", dialed.next("raft", [](const json& m) { return m.value("i", 0) == 3; }));
  node.node().submit_observation(observation());
  messages->add("sum", dialed.next("sum", [](const json& m) { return m.at("o").contains("seen"); }));
  operator_link.send(
      {{"t", "tool"}, {"do", "placement"}, {"what", "evacuate"}, {"zone", "z1"}, {"force", false}});
  messages->add("placement", dialed.next("placement"));
  operator_link.send({{"t", "tool"}, {"do", "get"}, {"key", "k"}});
  auto forward = dialed.next("forward");
  auto operator_name = forward.at("node");
  leader.send({{"t", "answer"}, {"ok", true}, {"value", "v"}, {"node", operator_name}, {"via", "a"}});
  auto answer = operator_link.next("answer");
  messages->add("forward.get", forward);
  messages->add("answer.from_leader", answer);
  record_relayed_messages(messages, node.port(), &dialed, &leader);
}

// Records what a leading voter that holds the placement lease sends about its plan.
void record_placement_messages(RecordedMessages* messages) {
  TemporaryDirectory directory;
  create_voter_directory(directory.path());
  auto options = single_voter_options(directory.path());
  options.jobs = {"placement"};
  TestNode voter(options);
  voter.node().start();
  auto operator_link = dial_as(voter.port(), "fleet", "tool");
  ASSERT_TRUE(operator_link.run_admin_command({{"do", "bootstrap"}, {"voters", {kNodeId}}}).at("ok"));
  auto follower = dial_as(voter.port(), "p", "follower");
  follower.send({{"t", "follow"}, {"index", 0}});
  messages->add("facts.placement", follower.next("facts"));
  messages->add("answer.placement.show",
                operator_link.run_admin_command({{"do", "placement"}, {"what", "show"}}));
  messages->add(
      "answer.placement.refused",
      operator_link.run_admin_command({{"do", "placement"}, {"what", "evacuate"}, {"zone", "nowhere"}}));
}

}  // namespace

// Each line, with its byte strings restored, must encode to a frame that the codec decodes to the same
// message, and its type must match the name of the line.
TEST(PeerMessages, EachGoldenLineEncodesToAFrame) {
  auto lines = read_golden(kFile);
  ASSERT_GE(lines.size(), 40u);
  for (auto& [name, text] : lines) {
    auto message = with_byte_strings(json::parse(text));
    auto bytes = peers::frame(message);
    json decoded;
    std::size_t size = 0;
    ASSERT_EQ(peers::parse_frame(bytes, &decoded, &size), peers::FrameParse::kOk) << name;
    EXPECT_EQ(decoded, message) << name;
    EXPECT_EQ(name.substr(0, name.find('.')), decoded.at("t")) << name;
    bool command_decodes =
        !decoded.contains("cmd") || ownership::decode(peers::text_of_bytes(decoded.at("cmd"))).has_value();
    bool registry_decodes =
        !decoded.contains("ledger") ||
        ownership::LeaseRegistry::decode(peers::text_of_bytes(decoded.at("ledger"))).has_value();
    EXPECT_TRUE(command_decodes) << name;
    EXPECT_TRUE(registry_decodes) << name;
  }
}

TEST(PeerMessages, NodeSendsTheGoldenMessages) {
  RecordedMessages messages;
  record_leader_messages(&messages);
  record_follower_messages(&messages);
  record_voter_messages(&messages);
  record_placement_messages(&messages);
  expect_golden(kFile, kComment, messages.lines());
}

}  // namespace database_proxy::test
