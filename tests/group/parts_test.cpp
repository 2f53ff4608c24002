// Unit tests of the components that the consensus group is built from (store and writer, codec, load reports
// of other processes) and of the checkers of the fault injection harness, which must report every violation.
#include <gtest/gtest.h>

#include <condition_variable>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <mutex>

#include "endpoint_list/endpoint_list_selector.h"
#include "group/options.h"
#include "peers/codec.h"
#include "routing/load_reports.h"
#include "state/durable_store.h"
#include "state/store_writer.h"
#include "testbench/fault_injection/history.h"
#include "testbench/fault_injection/script.h"
#include "testbench/temporary_directory.h"

namespace database_proxy {
namespace {

using namespace std::chrono_literals;
using testbench::TemporaryDirectory;
using Micros = std::chrono::microseconds;

state::Batch put(const std::string& key, const std::string& value) {
  state::Batch b;
  b.changes.emplace_back(key, value);
  return b;
}

state::StoreErrorCode error_code_of(const std::function<void()>& call) {
  try {
    call();
  } catch (const state::StoreError& e) {
    EXPECT_NE(std::string(e.what()), "");
    return e.code;
  }
  ADD_FAILURE() << "no StoreError was thrown";
  return state::StoreErrorCode::kDisk;
}

TEST(Store, KeepsCommittedChangesOnly) {
  TemporaryDirectory folder;
  for (bool durable : {true, false}) {
    auto store = durable ? state::open_store(folder.path(), "t", 1) : state::make_memory_store();
    state::Batch b;
    for (int i = 0; i < 5; ++i) b.changes.emplace_back("k" + std::to_string(i), std::string(1, '\0') + "v");
    store->commit(b);
    state::Batch c;
    c.removals.emplace_back("k1", "k3");
    c.changes.emplace_back("k2", "again");
    c.changes.emplace_back("k4", std::nullopt);
    store->commit(c);
    if (durable) {
      store.reset();
      store = state::open_store(folder.path(), "t", 1);
    }
    EXPECT_EQ(store->read("k0"), std::string(1, '\0') + "v");
    EXPECT_FALSE(store->read("k1"));
    EXPECT_EQ(store->read("k2"), "again");
    EXPECT_FALSE(store->read("k4"));
    EXPECT_EQ(store->scan("k", "l").size(), 3u);
  }
}

TEST(Store, CombinedBatchesEqualSeparateCommits) {
  auto separate = state::make_memory_store(), joined = state::make_memory_store();
  std::uint64_t x = 7;
  auto random_below = [&](std::uint64_t n) {
    x = x * 6364136223846793005ull + 1442695040888963407ull;
    return (x >> 33) % n;
  };
  state::Batch combined;
  for (int i = 0; i < 500; ++i) {
    state::Batch b;
    auto key = [&] { return std::string(1, static_cast<char>('a' + random_below(20))); };
    if (random_below(3) == 0) {
      auto from = key(), to = key();
      if (from < to) b.removals.emplace_back(from, to);
    }
    b.changes.emplace_back(key(), random_below(4) ? std::optional(std::to_string(i)) : std::nullopt);
    separate->commit(b);
    combined.add(b);
  }
  joined->commit(combined);
  EXPECT_EQ(separate->scan("a", "z"), joined->scan("a", "z"));
}

TEST(Store, IsLockedAgainstASecondOpening) {
  TemporaryDirectory folder;
  auto first = state::open_store(folder.path(), "t", 1);
  EXPECT_EQ(error_code_of([&] { state::open_store(folder.path(), "t", 1); }), state::StoreErrorCode::kLocked);
  first.reset();
  EXPECT_NO_THROW(state::open_store(folder.path(), "t", 1));
}

TEST(Store, DistinguishesCorruptForeignAndNewerFiles) {
  TemporaryDirectory folder;
  auto path = folder.path() + "/t.db";
  state::open_store(folder.path(), "t", 2)->commit(put("a", std::string(20000, 'x')));
  EXPECT_EQ(error_code_of([&] { state::open_store(folder.path(), "t", 1); }), state::StoreErrorCode::kNewer);
  auto full_size = std::filesystem::file_size(path);
  std::filesystem::resize_file(path, full_size / 2);
  EXPECT_EQ(error_code_of([&] { state::open_store(folder.path(), "t", 2)->read("a"); }),
            state::StoreErrorCode::kCorrupt);
  auto quarantine = state::quarantine_corrupt_file(folder.path(), "t");
  EXPECT_TRUE(std::filesystem::exists(quarantine + "/t.db"));
  EXPECT_FALSE(state::open_store(folder.path(), "t", 2)->read("a"));
  std::ofstream(folder.path() + "/noise.db")
      << "this was never a database, and it is long enough to be read as one";
  EXPECT_EQ(error_code_of([&] { state::open_store(folder.path(), "noise", 1); }),
            state::StoreErrorCode::kCorrupt);
  EXPECT_EQ(error_code_of([&] { state::open_store("/proc/nowhere", "t", 1); }), state::StoreErrorCode::kDisk);
}

TEST(Store, ChecksumDetectsAFlippedBit) {
  TemporaryDirectory folder;
  auto path = folder.path() + "/t.db";
  state::open_store(folder.path(), "t", 1)->commit(put("key", std::string(3000, 'q')));
  std::string text;
  {
    std::ifstream file(path, std::ios::binary);
    text.assign(std::istreambuf_iterator<char>(file), {});
  }
  auto at = text.find("qqqqqqqq");
  ASSERT_NE(at, std::string::npos);
  text[at + 100] ^= 4;
  std::ofstream(path, std::ios::binary) << text;
  EXPECT_EQ(error_code_of([&] { state::open_store(folder.path(), "t", 1)->read("key"); }),
            state::StoreErrorCode::kCorrupt);
}

TEST(Writer, ReportsInOrderAndNothingIsDurableAfterAFailure) {
  struct Failing : state::DurableStore {
    void commit(const state::Batch& b) override {
      for (auto& [key, value] : b.changes) {
        if (key == "bad") throw state::StoreError(state::StoreErrorCode::kDisk, "no space");
        committed.push_back(key);
      }
    }
    std::optional<std::string> read(const std::string&) override { return {}; }
    std::vector<std::pair<std::string, std::string>> scan(const std::string&, const std::string&) override {
      return {};
    }
    std::vector<std::string>& committed;
    explicit Failing(std::vector<std::string>& k) : committed(k) {}
  };
  std::vector<std::string> committed;
  std::vector<std::pair<std::uint64_t, std::string>> reported;
  {
    std::mutex mutex;
    std::condition_variable report_added;
    state::StoreWriter writer(std::make_unique<Failing>(committed),
                              [&](std::uint64_t n, const std::string& error) {
                                std::lock_guard lock(mutex);
                                reported.emplace_back(n, error);
                                report_added.notify_one();
                              });
    for (std::uint64_t i = 1; i <= 3; ++i) writer.write(i, put("k" + std::to_string(i), ""));
    {
      std::unique_lock lock(mutex);
      report_added.wait(lock, [&] { return !reported.empty() && reported.back().first == 3; });
    }
    writer.write(4, put("bad", ""));
    writer.write(5, put("late", ""));
  }
  EXPECT_EQ(committed, (std::vector<std::string>{"k1", "k2", "k3"}));
  ASSERT_FALSE(reported.empty());
  EXPECT_EQ(reported.back().first, 5u);
  EXPECT_EQ(reported.back().second, "no space");
  for (auto& [n, error] : reported) EXPECT_EQ(error.empty(), n <= 3);
}

TEST(Codec, MessagesRoundTripAndUnknownKeysAreIgnored) {
  consensus::Message m;
  m.type = consensus::Message::Type::kAppendEntries;
  m.from = 1ull << 51;
  m.to = 3;
  m.term = 9;
  m.index = 77;
  m.log_term = 8;
  m.commit = 70;
  m.round = 5;
  m.reject = m.forced = true;
  m.entries = {{9, 78, consensus::EntryType::kCommand, std::string("\0\xff x", 4)}};
  auto snapshot = std::make_shared<consensus::Snapshot>();
  snapshot->index = 4;
  snapshot->members.voters = {1, 2, 3};
  snapshot->data = "state";
  m.snapshot = snapshot;
  auto sent = peers::raft_to_json(m);
  sent["of tomorrow"] = {1, 2};
  nlohmann::json got;
  std::size_t size = 0;
  auto bytes = peers::frame(sent);
  for (std::size_t n = 0; n < bytes.size(); ++n)
    ASSERT_EQ(peers::parse_frame(std::string_view(bytes).substr(0, n), &got, &size),
              peers::FrameParse::kMore);
  ASSERT_EQ(peers::parse_frame(bytes + "next", &got, &size), peers::FrameParse::kOk);
  EXPECT_EQ(size, bytes.size());
  auto back = peers::raft_from_json(got);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->from, m.from);
  EXPECT_EQ(back->entries, m.entries);
  EXPECT_EQ(back->snapshot->data, "state");
  EXPECT_EQ(back->snapshot->members.voters.size(), 3u);
  EXPECT_EQ(peers::raft_to_json(*back), peers::raft_to_json(m));
  got["k"] = 99;  // a message type of a newer version
  EXPECT_FALSE(peers::raft_from_json(got));
  EXPECT_FALSE(peers::decode_entry("noise"));
  EXPECT_FALSE(peers::decode_snapshot("\x82\x01"));
}

TEST(Codec, RejectsNoiseAndOversizedFramesAtOnce) {
  nlohmann::json got;
  std::size_t size = 0;
  EXPECT_EQ(peers::parse_frame(std::string("\x40\0\0\0", 4), &got, &size), peers::FrameParse::kBad);
  EXPECT_EQ(peers::parse_frame(std::string("\0\0\0\0", 4), &got, &size), peers::FrameParse::kBad);
  EXPECT_EQ(peers::parse_frame(std::string("\0\0\0\3xyz", 7), &got, &size), peers::FrameParse::kBad);
  EXPECT_EQ(peers::parse_frame(peers::frame({{"x", 1}}), &got, &size),
            peers::FrameParse::kBad);  // the message type is missing
}

TEST(LoadReportCache, CountsReportedAgeAndPrefersOwnContact) {
  routing::LoadReportCache cache;
  auto probe_result = [](const std::string& load) { return routing::ProbeResult{"s", true, 1ms, load}; };
  EXPECT_TRUE(cache.record(10s, probe_result("new"), 100ms));
  EXPECT_FALSE(cache.record(10s, probe_result("older"), 300ms));  // arrived later, but was measured earlier
  EXPECT_EQ(cache.find_fresh(10s, "s")->load_report, "new");
  EXPECT_FALSE(
      cache.find_fresh(10s + routing::LoadReportCache::kFresh, "s"));  // it was 100 ms old on arrival
  EXPECT_FALSE(cache.record(11s, probe_result("stale"), routing::LoadReportCache::kFresh + 1us));
  EXPECT_TRUE(cache.record(12s, probe_result("good"), 0us));
  cache.on_contact("s", routing::AttemptOutcome::kTimedOut);
  EXPECT_FALSE(cache.find_fresh(12s, "s"));
  EXPECT_FALSE(cache.record(12s, probe_result("unconfirmed"), 0us));
  cache.on_contact("s", routing::AttemptOutcome::kServed);
  EXPECT_TRUE(cache.record(12s, probe_result("accepted"), 0us));
  cache.retain_listed({});
  EXPECT_EQ(cache.size(), 0u);
}

TEST(GroupOptions, InvalidOptionsAreReportedInOneLine) {
  group::Options good;
  good.installation = "lab";
  good.name = "a";
  good.listen = "127.0.0.1:1";
  good.directory = "d";
  good.nodes = {{"a", "127.0.0.1:1"}, {"b", "127.0.0.1:2"}, {"c", "127.0.0.1:3"}};
  EXPECT_NO_THROW(group::check(good));
  auto bad = [&](const std::string& part, const std::function<void(group::Options&)>& change) {
    auto o = good;
    change(o);
    try {
      group::check(o);
      ADD_FAILURE() << part;
    } catch (const std::invalid_argument& e) {
      EXPECT_NE(std::string(e.what()).find(part), std::string::npos) << e.what();
      EXPECT_EQ(std::string(e.what()).find('\n'), std::string::npos);
    }
  };
  bad("names 2 voters", [](auto& o) { o.nodes.pop_back(); });
  bad("twice", [](auto& o) { o.nodes[2].name = "b"; });
  bad("address of another", [](auto& o) { o.nodes[2].address = o.nodes[1].address; });
  bad("is no address", [](auto& o) { o.nodes[2].address = "here"; });
  bad("own, is missing", [](auto& o) { o.name = ""; });
  bad("only voters listen", [](auto& o) { o.name = "x"; });
  bad("directory", [](auto& o) { o.directory = ""; });
  bad("lease_ms", [](auto& o) { o.lease = o.election_max; });
  bad("election_ms", [](auto& o) { o.election_min = o.heartbeat; });
}

using testbench::faults::Operation;

Operation op(bool write, const std::string& value, int called, int answered) {
  Operation o;
  o.write = write;
  o.value = value;
  o.called = Micros(called);
  if (answered >= 0) o.answered = Micros(answered);
  return o;
}

TEST(Checkers, LinearizabilityOfARegister) {
  using testbench::faults::linearizable;
  EXPECT_TRUE(linearizable({}));
  EXPECT_TRUE(linearizable({op(true, "a", 0, 10), op(false, "a", 11, 12)}));
  EXPECT_FALSE(linearizable({op(true, "a", 0, 10), op(false, "", 11, 12)}));  // an acknowledged write is lost
  EXPECT_TRUE(linearizable({op(true, "a", 0, 10), op(false, "", 5, 12)}));    // concurrent
  EXPECT_FALSE(linearizable({op(true, "a", 0, 10), op(true, "b", 11, 20), op(false, "b", 21, 22),
                             op(false, "a", 23, 24)}));  // an older value is read after a newer one
  EXPECT_FALSE(linearizable({op(true, "a", 0, 30), op(false, "a", 1, 5), op(false, "", 6, 9)}));
  // The outcome of an unanswered write is unknown: it may have taken effect, may do so later, or never.
  EXPECT_TRUE(linearizable(
      {op(true, "a", 0, 10), op(true, "b", 11, -1), op(false, "a", 20, 22), op(false, "b", 30, 31)}));
  EXPECT_TRUE(linearizable({op(true, "a", 0, 10), op(true, "b", 11, -1), op(false, "a", 20, 22)}));
  EXPECT_FALSE(linearizable(
      {op(true, "a", 0, 10), op(true, "b", 11, -1), op(false, "b", 20, 22), op(false, "a", 30, 31)}));
  EXPECT_FALSE(linearizable({op(false, "never written", 1, 2)}));
  bool gave_up = false;
  std::vector<Operation> many;
  for (int i = 0; i < 30; ++i) many.push_back(op(true, std::to_string(i), 0, 100));
  many.push_back(op(false, "x", 200, 201));
  EXPECT_FALSE(linearizable(many, &gave_up, 1000));
  EXPECT_TRUE(gave_up);
}

TEST(Checkers, OlderTokenAfterANewerOneIsAnOverlap) {
  testbench::faults::LeaseHoldSamples holds;
  holds.add_sample(1s, "a", "list", 3);
  holds.add_sample(2s, "a", "list", 3);
  holds.add_sample(4s, "b", "list", 7);
  holds.add_sample(5s, "a", "list", 9);
  EXPECT_EQ(holds.overlapping(), 0u);
  holds.add_sample(4500ms, "a", "list", 3);
  EXPECT_EQ(holds.overlapping(), 1u);
  holds.add_sample(4600ms, "c", "probe 1", 1);  // a different job
  EXPECT_EQ(holds.overlapping(), 1u);
}

// A correct run in a few events. Each case adds one violation, and the verdict must report that violation
// only.
TEST(Checkers, EachViolationInAHistoryIsReported) {
  using nlohmann::json;
  auto call = [](const std::string& key, bool write, const std::string& value, int from, int to) {
    json e = {{"what", "call"}, {"client", 0},    {"key", key},
              {"write", write}, {"value", value}, {"called_us", from}};
    if (to >= 0) e["answered_us"] = to;
    return e;
  };
  auto sample = [](const std::string& node, int at, json holds, json published) {
    return json{
        {"what", "sample"}, {"node", node}, {"clock_us", at}, {"holds", holds}, {"published", published}};
  };
  const json list3 = json::array({json::array({"list", 3})}), list7 = json::array({json::array({"list", 7})});
  const std::vector<json> good = {{{"what", "rig"}},
                                  call("r1", true, "a", 0, 10),
                                  call("r1", true, "b", 20, -1),
                                  call("r1", false, "a", 30, 40),
                                  sample("n1", 100, list3, list3),
                                  sample("n2", 200, list7, list7),
                                  sample("n1", 300, json::array(), list7)};
  auto with = [&](std::vector<json> more) {
    auto all = good;
    all.insert(all.end(), more.begin(), more.end());
    return testbench::faults::check_history(all);
  };
  auto last = call("r1", false, "b", 50, 60);
  last["last"] = true;
  auto v = with({last});
  EXPECT_FALSE(v.has_violations());
  EXPECT_EQ(v.acknowledged, 1u);
  EXPECT_EQ(v.operations, 4u);
  EXPECT_EQ(v.samples, 3u);
  auto lost_write = call("r1", false, "", 50, 60);
  lost_write["last"] = true;
  v = with({lost_write});
  EXPECT_EQ(v.lost, 1u);
  EXPECT_EQ(v.non_linearizable_registers, 1u);
  v = with({last, call("r1", false, "a", 70, 80)});
  EXPECT_EQ(v.non_linearizable_registers, 1u);
  EXPECT_EQ(v.lost, 0u);
  EXPECT_EQ(with({sample("n1", 250, list3, list7)}).owners_overlapping, 1u);
  auto leads = [&](const std::string& node) {
    auto e = sample(node, 400, json::array(), json::array());
    e["leads"] = 5;
    return e;
  };
  EXPECT_EQ(with({leads("n1"), leads("n1")}).two_leaders_in_a_term, 0u);
  EXPECT_EQ(with({leads("n1"), leads("n2")}).two_leaders_in_a_term, 1u);
  EXPECT_EQ(with({sample("n2", 500, json::array(), list3)}).stale_effects_accepted, 1u);
  auto restarted = sample("n2", 500, json::array(), list3);
  restarted["anew"] = true;  // the node restarted with an earlier state
  EXPECT_FALSE(with({restarted}).has_violations());
  EXPECT_THROW(with({{{"what", "call"}}}), json::exception);
}

TEST(Script, IsParsedOrRejectedInOneLine) {
  using nlohmann::json;
  auto script = testbench::faults::parse_script(json::parse(R"([
    [{"do": "pause", "node": "leader"}, {"do": "wait", "ms": 200}, {"do": "resume", "node": "victim"}],
    [{"do": "shape", "node": "n1", "to": "n2", "ms": 20, "bytes": 1000, "stall_after": 7}, {"do": "heal"}]])"));
  ASSERT_EQ(script.size(), 2u);
  EXPECT_EQ(script[0][1].ms, 200);
  EXPECT_EQ(script[1][0].to, "n2");
  EXPECT_EQ(script[1][0].stall_after, 7);
  auto bad = [](const char* text, const char* why) {
    try {
      testbench::faults::parse_script(json::parse(text));
      ADD_FAILURE() << text;
    } catch (const std::runtime_error& e) {
      EXPECT_NE(std::string(e.what()).find(why), std::string::npos) << e.what();
    }
  };
  bad("{}", "an array of faults");
  bad("[[]]", "fault 1 is no array of steps");
  bad(R"([[{"do": "heal"}, {"do": "explode"}]])", "fault 1, step 2: 'explode' is not known");
  bad(R"([[{"do": "kill"}]])", "'kill' needs 'node'");
  bad(R"([[{"do": "heal", "node": "n1"}]])", "'heal' has no 'node'");
  bad(R"([[{"do": "wait", "ms": -5}]])", "no whole number from 0");
  bad(R"([[{"do": "wait", "ms": 6000000}]])", "more than 600000 ms");
}

TEST(EndpointListSelector, OnlyTheGroupsLogOrderReplacesANewerList) {
  using endpoint_list::EndpointListSelector, endpoint_list::Source;
  auto list = [](std::int64_t generation, discovery::Lifecycle first = discovery::Lifecycle::kUp) {
    discovery::EndpointListUpdate update;
    update.generation = generation;
    discovery::Endpoint endpoint;
    endpoint.id = "s1";
    endpoint.lifecycle = first;
    update.endpoints = {endpoint};
    return update;
  };
  EndpointListSelector selector("lab");
  EXPECT_FALSE(selector.consider(Source::kPeer, "elsewhere", list(9), 100));
  EXPECT_FALSE(selector.has_list());
  EXPECT_TRUE(selector.consider(Source::kOwnCopy, "lab", list(3), 0));
  EXPECT_TRUE(selector.consider(Source::kService, "lab", list(7, discovery::Lifecycle::kDraining), 500));
  // The peer's copy is a week old and must not end the drain of the server.
  EXPECT_FALSE(selector.consider(Source::kPeer, "lab", list(5), 100));
  EXPECT_EQ(selector.list().endpoints[0].lifecycle, discovery::Lifecycle::kDraining);
  EXPECT_EQ(selector.rejected(), 2u);
  EXPECT_FALSE(selector.consider(Source::kGroup, "lab", list(5), 0));  // the group has not caught up yet
  // The same list again: only its publication time and source change.
  EXPECT_FALSE(selector.consider(Source::kGroup, "lab", list(7, discovery::Lifecycle::kDraining), 900));
  EXPECT_EQ(selector.published_at_ms(), 900);
  EXPECT_EQ(selector.source(), Source::kGroup);
  // The discovery service was reset, and the lease holder published the service's current list.
  EXPECT_TRUE(selector.consider(Source::kGroup, "lab", list(1), 0));
  EXPECT_EQ(selector.list().generation, 1);
  EXPECT_TRUE(selector.list().reset);
}

}  // namespace
}  // namespace database_proxy
