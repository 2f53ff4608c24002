// Messages between daemons beside those of consensus, as a node sends them over real connections to peers
// that this test plays; compared with tests/data/peer_messages.txt. One `name json` a line: the message as an
// object whose byte strings stand as {"bytes": "hex"}. Keys are in order and numbers keep their kind, so
// encoding that object gives the frame byte by byte (PeerConnection checks that the node wrote just that).
// What the clock or chance decide is replaced: see normalised(). The file is rewritten by
// `DATABASE_PROXY_REWRITE_GOLDEN=1 stored_and_wire_format_tests
// --gtest_filter='PeerMessages.*'`; only a deliberate change of a message may do so.
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
constexpr std::uint64_t kOwnId = 1001;

// Unix milliseconds, monotonic microseconds and numbers that depend on how often something was asked before.
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
        element = "tool-0";  // a voter numbers its tools by chance
      else
        normalise(&element);
    }
  }
}

std::string normalised(json message) {
  normalise(&message);
  if (message.at("t") == "alive") message["term"] = 0;  // how many elections a slow disk took
  if (message.contains("status")) message["status"]["term"] = 0;
  if (message.at("t") == "facts" && message.contains("facts"))
    for (auto& fact : message["facts"]) {
      EXPECT_GT(fact.at(3).get<std::int64_t>(), 1'600'000'000'000);
      fact[3] = 0;
    }
  return message.dump();
}

json with_byte_strings(const json& value) {
  if (value.is_object() && value.size() == 1 && value.contains("bytes"))
    return peers::bytes_of(from_hex(value.at("bytes").get<std::string>()));
  if (!value.is_structured()) return value;
  auto all = value;
  for (auto& element : all) element = with_byte_strings(element);
  return all;
}

class Messages {
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

json command_of(const ownership::Command& command) { return peers::bytes_of(ownership::encode(command)); }

// A directory whose identity is known beforehand.
void make_directory(const std::string& directory) {
  state::Batch first;
  std::string identity;
  json::to_cbor({{"installation", "golden"}, {"id", kOwnId}, {"name", "a"}}, identity);
  first.changes.emplace_back("identity", identity);
  state::open_store(directory, "group", 1)->commit(first);
}

json wait_for_grant(PeerConnection* follower, const std::vector<std::string>& jobs) {
  for (int number = 1;; ++number) {
    follower->send({{"t", "ask"}, {"n", number}, {"willing", jobs}, {"holds", json::array()}});
    auto told = follower->next("told");
    if (told.at("granted").size() == jobs.size()) return told;
  }
}

// A voter that leads, with tools and followers below it.
void talk_below_a_leader(Messages* messages) {
  TemporaryDirectory directory;
  make_directory(directory.path());
  TestNode voter(lone_voter_options(directory.path()));
  voter.node().start();
  auto stranger = PeerConnection::dial(voter.port());
  messages->add("no", stranger.greet(hello_of("x", "follower", 0, "other")));
  auto operator_link = PeerConnection::dial(voter.port());
  messages->add("welcome", operator_link.greet(hello_of("fleet", "tool")));
  operator_link.send({{"t", "ping"}});
  messages->add("pong", operator_link.next("pong"));
  messages->add("answer.identify", operator_link.run_admin_command({{"do", "identify"}}));
  messages->add("answer.no_leader",
                operator_link.run_admin_command({{"do", "put"}, {"key", "k"}, {"value", "v"}}));
  auto early = dial_as(voter.port(), "early", "follower");
  early.send(
      {{"t", "propose"}, {"ticket", 4}, {"cmd", command_of(ownership::SetConfigurationEntry{"k", "v"})}});
  messages->add("done.no_leader", early.next("done"));
  messages->add("answer.bootstrap",
                operator_link.run_admin_command({{"do", "bootstrap"}, {"voters", {kOwnId}}}));
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
  auto other = dial_as(voter.port(), "q", "follower");
  other.send({{"t", "want"}, {"set", 7}});
  messages->add("want.to_owner", follower.next("want"));
  follower.send(
      {{"t", "propose"}, {"ticket", 5}, {"cmd", command_of(ownership::SetConfigurationEntry{"k2", "v2"})}});
  messages->add("done", follower.next("done"));
  messages->add("answer.owners", operator_link.run_admin_command({{"do", "owners"}}));
  messages->add("answer.status", operator_link.run_admin_command({{"do", "status"}}));
  messages->add("answer.step_down", operator_link.run_admin_command({{"do", "step-down"}}));
}

// A follower below a voter that this test plays.
void talk_above_a_follower(Messages* messages) {
  PeerListener listener;
  auto options = node_options("p", {{"b", listener.address()}});
  options.jobs = {"list", "probe"};
  options.placement = lone_voter_options("").placement;
  TestNode node(options);
  node.node().start();
  auto voter = listener.accept_peer();
  messages->add("hello.follower", voter.next("hello"));
  auto welcome = hello_of("b", "voter", 2);
  welcome["t"] = "welcome";
  voter.send(welcome);
  messages->add("follow", voter.next("follow"));
  ownership::LeaseRegistry ledger;
  ledger.apply(5, ownership::Grant{"list", "p", 0});
  ledger.apply(6, ownership::Publish{"list", 5, 9, kList});
  ledger.apply(7, ownership::Grant{"probe 7", "p", 0});
  voter.send({{"t", "state"}, {"index", 7}, {"ledger", peers::bytes_of(ledger.encode())}});
  voter.send({{"t", "apply"}, {"from", 100}, {"index", 101}, {"entries", json::array()}});
  messages->add("follow.after_a_gap", voter.next("follow"));
  auto of_probes = [](const json& m) { return m.at("willing").size() == 2; };
  auto query = messages->add("ask", voter.next("ask", of_probes));
  auto answer = [&](const json& question, const json& granted, const json& give_up) {
    voter.send({{"t", "told"},
                {"node", "p"},
                {"via", "p"},
                {"n", question.at("n")},
                {"length", 2'000'000},
                {"granted", granted},
                {"give_up", give_up}});
  };
  auto all = json::parse(R"([["list",5],["probe 7",7]])");
  answer(query, all, json::array());
  messages->add("facts.list", voter.next("facts", [](const json& m) { return m.at("job") == "list"; }));
  node.node().subscribe_to_load("s1");
  messages->add("want", voter.next("want"));
  messages->add("facts.probe", voter.next("facts", [](const json& m) { return m.at("job") == "probe 7"; }));
  node.node().submit_observation(observation());
  messages->add("seen", voter.next("seen"));
  auto holding = voter.next("ask", [](const json& m) { return m.at("holds").size() == 2; });
  for (auto& held : holding["holds"]) held[2] = 0;  // work done so far
  messages->add("ask.holding", holding);
  answer(holding, all, {"probe 7"});
  messages->add("propose.release", voter.next("propose"));
  messages->add("ping", voter.next("ping"));
}

json append_of(std::vector<consensus::Entry> entries, std::uint64_t index, std::uint64_t log_term) {
  consensus::Message append;
  append.type = consensus::Message::Type::kAppendEntries;
  append.from = 2;
  append.to = kOwnId;
  append.term = 50;
  append.index = index;
  append.log_term = log_term;
  append.commit = index + entries.size();
  append.round = 1;
  append.entries = std::move(entries);
  return peers::raft_to_json(append);
}

// What a follower says goes on to the leader, and what the leader says goes on to the follower.
void talk_through_a_voter(Messages* messages, int port, PeerConnection* dialed, PeerConnection* leader) {
  auto follower = dial_as(port, "p", "follower");
  follower.send({{"t", "follow"}, {"index", 0}});
  follower.send({{"t", "ask"}, {"n", 4}, {"willing", {"list"}}, {"holds", {{"list", 5, 6}}}});
  messages->add("ask.passed_on", dialed->next("ask"));
  follower.send({{"t", "propose"}, {"ticket", 5}, {"cmd", command_of(ownership::Release{"list", 5})}});
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

// A voter of three that follows the leader, which this test plays.
void talk_between_voters(Messages* messages) {
  TemporaryDirectory directory;
  make_directory(directory.path());
  PeerListener listener;
  auto options = lone_voter_options(directory.path());
  options.nodes = {{"a", "127.0.0.1:1"}, {"b", listener.address()}, {"c", "127.0.0.1:3"}};
  options.election_min = group::Micros(60'000'000);
  options.election_max = group::Micros(100'000'000);
  options.lease = options.placement->keep = group::Micros(200'000'000);
  TestNode node(options);
  node.node().start();
  auto dialed = listener.accept_peer();
  messages->add("hello.voter", dialed.next("hello"));
  auto welcome = hello_of("b", "voter", 2);
  welcome["t"] = "welcome";
  dialed.send(welcome);
  auto leader = dial_as(node.port(), "b", "voter", 2);
  auto operator_link = dial_as(node.port(), "fleet", "tool");
  ASSERT_TRUE(operator_link.run_admin_command({{"do", "bootstrap"}, {"voters", {kOwnId, 2, 3}}}).at("ok"));
  consensus::Entry nothing{50, 2, consensus::EntryType::kNoOp, ""};
  consensus::Entry grant{50, 3, consensus::EntryType::kCommand,
                         ownership::encode(ownership::Grant{"placement", "b", 0})};
  leader.send(append_of({nothing, grant}, 1, 1));
  // Told once what was sent is durable.
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
  talk_through_a_voter(messages, node.port(), &dialed, &leader);
}

// A voter that leads and owns the plan: what its own jobs say.
void talk_of_a_plan(Messages* messages) {
  TemporaryDirectory directory;
  make_directory(directory.path());
  auto options = lone_voter_options(directory.path());
  options.jobs = {"placement"};
  TestNode voter(options);
  voter.node().start();
  auto operator_link = dial_as(voter.port(), "fleet", "tool");
  ASSERT_TRUE(operator_link.run_admin_command({{"do", "bootstrap"}, {"voters", {kOwnId}}}).at("ok"));
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

// For the codec that will read them: each line, with its byte strings put back, is a frame of its kind.
TEST(PeerMessages, EachGoldenLineIsAFrame) {
  auto lines = read_golden(kFile);
  ASSERT_GE(lines.size(), 40u);
  for (auto& [name, text] : lines) {
    auto message = with_byte_strings(json::parse(text));
    auto bytes = peers::frame(message);
    json read;
    std::size_t size = 0;
    ASSERT_EQ(peers::parse_frame(bytes, &read, &size), peers::FrameParse::kOk) << name;
    EXPECT_EQ(read, message) << name;
    EXPECT_EQ(name.substr(0, name.find('.')), read.at("t")) << name;
    bool command_read =
        !read.contains("cmd") || ownership::decode(peers::text_of_bytes(read.at("cmd"))).has_value();
    bool ledger_read = !read.contains("ledger") ||
                       ownership::LeaseRegistry::decode(peers::text_of_bytes(read.at("ledger"))).has_value();
    EXPECT_TRUE(command_read) << name;
    EXPECT_TRUE(ledger_read) << name;
  }
}

TEST(PeerMessages, ANodeSendsWhatItSent) {
  Messages messages;
  talk_below_a_leader(&messages);
  talk_above_a_follower(&messages);
  talk_between_voters(&messages);
  talk_of_a_plan(&messages);
  expect_golden(kFile, kComment, messages.lines());
}

}  // namespace database_proxy::test
