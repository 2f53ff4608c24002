// Consensus and ownership: what the simulator found, each as a table of its own; and the simulator itself, a
// fixed few hundred seeds, the small scope whole, and each mutant found.
#include <gtest/gtest.h>

#include "consensus/raft.h"
#include "ownership/lease.h"
#include "testbench/simulation/model.h"
#include "testbench/simulation/world.h"

namespace database_proxy {
namespace {

using namespace std::chrono_literals;
using consensus::Message;
using consensus::Micros;
using consensus::Raft;
using consensus::Role;

consensus::PersistentState three(consensus::Term term = 1) {
  auto snapshot = std::make_shared<consensus::Snapshot>();
  snapshot->index = snapshot->term = 1;
  snapshot->members.voters = {1, 2, 3};
  consensus::PersistentState stored;
  stored.hard.term = term;
  stored.snapshot = snapshot;
  return stored;
}

Raft node(consensus::NodeId id, consensus::PersistentState stored = three()) {
  consensus::Options o;
  o.self = id;
  return Raft(o, std::move(stored), 0us);
}

Message from(consensus::NodeId id, Message::Type type, consensus::Term term, consensus::Index index = 1,
             consensus::Term log_term = 1) {
  Message m;
  m.from = id;
  m.to = 1;
  m.type = type;
  m.term = term;
  m.index = index;
  m.log_term = log_term;
  return m;
}

// Node 1 leads in term 2, its first entry durable here alone.
Raft leader(Micros* now) {
  auto n = node(1);
  *now = n.due();
  n.step(*now, {consensus::Tick{}});
  auto vote = n.step(*now, {consensus::MessageReceived{from(2, Message::Type::kRequestPreVoteResponse, 2)}});
  n.step(*now, {consensus::WriteCompleted{vote.writes.back().number}});
  auto led = n.step(*now, {consensus::MessageReceived{from(3, Message::Type::kRequestVoteResponse, 2)}});
  EXPECT_EQ(n.role(), Role::kLeader);
  n.step(*now, {consensus::WriteCompleted{led.writes.back().number}});
  return n;
}

Message reply(consensus::NodeId id, consensus::Index match, std::uint64_t round = 0) {
  auto m = from(id, Message::Type::kAppendEntriesResponse, 2, match);
  m.round = round;
  return m;
}

TEST(Votes, GoOutOnlyOnceTheyAreDurable) {
  auto n = node(1);
  auto out = n.step(1s, {consensus::MessageReceived{from(2, Message::Type::kRequestVote, 2)}});
  ASSERT_EQ(out.messages.size(), 1u);
  EXPECT_FALSE(out.messages[0].message.reject);
  ASSERT_EQ(out.writes.size(), 1u);
  EXPECT_EQ(out.writes[0].hard, (consensus::HardState{2, 2}));
  EXPECT_EQ(out.messages[0].after, out.writes[0].number);
  EXPECT_TRUE(n.step(1s, {consensus::MessageReceived{from(3, Message::Type::kRequestVote, 2)}})
                  .messages[0]
                  .message.reject);
}

TEST(Votes, NobodyDisturbsALeaderThatIsHeard) {
  auto n = node(1);
  n.step(1s, {consensus::MessageReceived{from(2, Message::Type::kAppendEntries, 2)}});
  EXPECT_TRUE(n.step(1s + 100ms, {consensus::MessageReceived{from(3, Message::Type::kRequestVote, 9)}})
                  .messages.empty());
  EXPECT_TRUE(n.step(1s + 100ms, {consensus::MessageReceived{from(3, Message::Type::kRequestPreVote, 9)}})
                  .messages.empty());
  EXPECT_EQ(n.term(), 2u);
  auto asked = from(3, Message::Type::kRequestVote, 9);
  asked.forced = true;  // the leader itself has asked for it
  EXPECT_EQ(n.step(1s + 100ms, {consensus::MessageReceived{asked}}).messages.size(), 1u);
  EXPECT_EQ(n.term(), 9u);
}

TEST(Votes, OfItselfCountOnlyOnceRemembered) {
  auto stored = three();
  auto alone = std::make_shared<consensus::Snapshot>(*stored.snapshot);
  alone->members.voters = {1};
  stored.snapshot = alone;
  auto n = node(1, stored);
  auto out = n.step(n.due(), {consensus::Tick{}});
  EXPECT_EQ(n.role(), Role::kCandidate);
  n.step(2s, {consensus::WriteCompleted{out.writes.back().number}});
  EXPECT_EQ(n.role(), Role::kLeader);
}

TEST(Leader, ThatHearsNoMajorityStepsDownAndConfirmsNothing) {
  Micros now;
  auto n = leader(&now);
  n.step(now, {consensus::MessageReceived{reply(2, 2)}});
  EXPECT_TRUE(n.has_committed_in_current_term());
  auto out = n.step(now, {consensus::ReadRequest{7}});
  EXPECT_TRUE(out.reads.empty());
  out = n.step(now + 20s, {consensus::Tick{}});  // as after SIGSTOP
  EXPECT_EQ(n.role(), Role::kFollower);
  ASSERT_EQ(out.reads.size(), 1u);
  EXPECT_FALSE(out.reads[0].confirmed);
}

TEST(Leader, AReadIsConfirmedByARoundThatBeganAfterIt) {
  Micros now;
  auto n = leader(&now);
  n.step(now, {consensus::MessageReceived{reply(2, 2, 1)}});
  auto out = n.step(now, {consensus::ReadRequest{7}});
  std::uint64_t round = 0;
  for (auto& m : out.messages) round = std::max(round, m.message.round);
  EXPECT_TRUE(n.step(now, {consensus::MessageReceived{reply(2, 2, round - 1)}}).reads.empty());
  out = n.step(now, {consensus::MessageReceived{reply(2, 2, round)}});
  ASSERT_EQ(out.reads.size(), 1u);
  EXPECT_TRUE(out.reads[0].confirmed);
}

TEST(Leader, WithASlowDiskCommitsByTheOthers) {
  Micros now;
  auto n = leader(&now);
  n.step(now, {consensus::MessageReceived{reply(2, 2)}});
  auto out = n.step(now, {consensus::Proposal{1, "x"}});
  ASSERT_EQ(out.proposed[0].index, 3u);
  EXPECT_TRUE(
      n.step(now, {consensus::MessageReceived{reply(2, 3)}}).committed.empty());  // its own is not durable
  EXPECT_EQ(n.step(now, {consensus::MessageReceived{reply(3, 3)}}).committed.size(), 1u);
}

TEST(Leader, WhoseDiskFailsPromisesNothingMore) {
  Micros now;
  auto n = leader(&now);
  auto out = n.step(now, {consensus::WriteFailed{}});
  EXPECT_EQ(n.role(), Role::kHalted);
  EXPECT_EQ(out.role_changes.back().reason, consensus::RoleChangeReason::kDiskFailed);
  EXPECT_TRUE(
      n.step(now, {consensus::MessageReceived{from(2, Message::Type::kRequestVote, 9)}}).messages.empty());
}

// Found by seed 189: the removed one alone had the entry that the others needed, and would not campaign.
TEST(Membership, OneWhoseRemovalIsNotCommittedMayStillLead) {
  auto stored = three(2);
  consensus::Membership rest;
  rest.voters = {2, 3};
  stored.entries.push_back({2, 2, consensus::EntryType::kMembers, rest.encode()});
  auto n = node(1, stored);
  EXPECT_NE(n.due(), Micros::max());
  n.step(n.due(), {consensus::Tick{}});
  EXPECT_EQ(n.role(), Role::kPreCandidate);
}

TEST(Membership, NobodyIsTakenOutWhereTooFewWouldBeLeft) {
  Micros now;
  auto n = leader(&now);
  n.step(now, {consensus::MessageReceived{reply(2, 2, 1)}});  // 3 was never heard of in this term
  auto out = n.step(now, {consensus::MembershipChange{1, consensus::MembershipChange::What::kRemove, 2}});
  EXPECT_EQ(out.proposed[0].index, 0u);
  EXPECT_STREQ(out.proposed[0].why, "too few of the voters that would be left are heard of");
  out = n.step(now, {consensus::MembershipChange{2, consensus::MembershipChange::What::kRemove, 3}});
  EXPECT_NE(out.proposed[0].index, 0u);
  out = n.step(now, {consensus::MembershipChange{3, consensus::MembershipChange::What::kAddLearner, 9}});
  EXPECT_STREQ(out.proposed[0].why, "another change of members is under way");
}

// A late snapshot must not take away what was promised behind it.
TEST(Snapshots, AnOldOneKeepsTheEntriesBehindIt) {
  auto n = node(1);
  auto m = from(2, Message::Type::kAppendEntries, 2);
  m.entries = {{2, 2, consensus::EntryType::kCommand, "a"}, {2, 3, consensus::EntryType::kCommand, "b"}};
  auto out = n.step(1s, {consensus::MessageReceived{m}});
  n.step(1s, {consensus::WriteCompleted{out.writes.back().number}});
  auto old = std::make_shared<consensus::Snapshot>();
  old->index = 2;
  old->term = 2;
  old->members.voters = {1, 2, 3};
  auto late = from(2, Message::Type::kInstallSnapshot, 2);
  late.snapshot = old;
  out = n.step(1s, {consensus::MessageReceived{late}});
  EXPECT_EQ(n.last_index(), 3u);
  EXPECT_EQ(n.commit(), 2u);
  EXPECT_FALSE(out.restored);
}

// Found by seed 6853: one that had been given a snapshot which was outdated when it arrived waited 3 s for
// the next.
TEST(Snapshots, AnOutdatedOneIsFollowedByTheNextAtOnce) {
  Micros now;
  consensus::Options o;
  o.self = 1;
  o.trailing = 2;
  Raft n(o, three(), 0us);
  now = n.due();
  n.step(now, {consensus::Tick{}});
  auto vote = n.step(now, {consensus::MessageReceived{from(2, Message::Type::kRequestPreVoteResponse, 2)}});
  n.step(now, {consensus::WriteCompleted{vote.writes.back().number}});
  n.step(now, {consensus::MessageReceived{from(3, Message::Type::kRequestVoteResponse, 2)}});
  ASSERT_TRUE(n.is_leader());
  std::uint64_t writes = 0;
  auto grow = [&](int count) {  // by the other follower's durable replies
    for (int i = 0; i < count; ++i) {
      auto out = n.step(now, {consensus::Proposal{1, "x"}});
      for (auto& w : out.writes) writes = std::max(writes, w.number);
      n.step(now, {consensus::MessageReceived{reply(2, n.last_index())}, consensus::WriteCompleted{writes}});
    }
    n.step(now, {consensus::SnapshotTaken{n.commit(), "state"}});
  };
  grow(10);
  auto refused = from(3, Message::Type::kAppendEntriesResponse, 2, 1);
  refused.reject = true;
  refused.refused = n.first_index();
  auto out = n.step(now, {consensus::MessageReceived{refused}});
  auto snapshots = [](const consensus::Output& o) {
    consensus::Index index = 0;
    for (auto& m : o.messages)
      if (m.message.type == Message::Type::kInstallSnapshot && m.message.to == 3)
        index = m.message.snapshot->index;
    return index;
  };
  auto first = snapshots(out);
  ASSERT_GT(first, 0u);
  grow(10);
  ASSERT_GT(n.first_index(), first + 1);
  EXPECT_EQ(snapshots(n.step(now, {consensus::MessageReceived{reply(3, first)}})), n.snapshot_index());
}

TEST(PersistentState, WhatCannotBeIsToldAtTheStart) {
  auto gap = three(2);
  gap.entries = {{2, 2, consensus::EntryType::kCommand, ""}, {2, 4, consensus::EntryType::kCommand, ""}};
  EXPECT_THROW(node(1, gap), std::invalid_argument);
  auto future = three(1);
  future.entries = {{5, 2, consensus::EntryType::kCommand, ""}};
  EXPECT_THROW(node(1, future), std::invalid_argument);
  EXPECT_FALSE(consensus::Membership::decode("v1 v1 "));
  EXPECT_FALSE(consensus::Membership::decode("v1"));
  EXPECT_FALSE(consensus::Membership::decode("x1 "));
}

// ---- ownership
// ---------------------------------------------------------------------------------------------

ownership::LeaseRenewalRequest asks(const std::string& node, std::uint64_t number,
                                    std::vector<ownership::HeldLease> holds = {}) {
  return {node, number, {"j"}, std::move(holds)};
}

TEST(Leases, AJobIsGrantedAnewOnlyAfterLengthRateAndMargin) {
  ownership::LeaseOptions o;
  ownership::LeaseManager steward(o);
  ownership::LeaseRegistry ledger;
  ledger.apply(5, ownership::Grant{"j", "a", 0});
  steward.on_elected(10s);
  steward.on_renewal_request(10s, asks("b", 1), ledger);
  steward.on_renewal_request(11s, asks("a", 1), ledger);
  EXPECT_EQ(steward.renewal_response("a", 1, ledger).granted.size(), 1u);
  steward.on_renewal_request(11s + o.safe_reassignment_delay() - 1us, asks("b", 2), ledger);
  EXPECT_TRUE(steward.propose(11s + o.safe_reassignment_delay() - 1us, ledger).empty());
  auto commands = steward.propose(11s + o.safe_reassignment_delay(), ledger);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(std::get<ownership::Grant>(commands[0]).owner, "b");
}

// Found by seed 32: a grant that took long to be committed, while its old owner was still being renewed.
TEST(Leases, WhileAGrantIsOnItsWayNobodyIsRenewed) {
  ownership::LeaseOptions o;
  ownership::LeaseManager steward(o);
  ownership::LeaseRegistry ledger;
  ledger.apply(5, ownership::Grant{"j", "a", 0});
  steward.on_elected(10s);
  steward.on_renewal_request(10s, asks("b", 1), ledger);
  steward.propose(10s, ledger);
  steward.on_renewal_request(10s + o.safe_reassignment_delay(), asks("b", 1), ledger);
  ASSERT_EQ(steward.propose(10s + o.safe_reassignment_delay(), ledger).size(), 1u);
  steward.on_renewal_request(10s + o.safe_reassignment_delay() + 1ms, asks("a", 2), ledger);
  EXPECT_TRUE(steward.renewal_response("a", 2, ledger).granted.empty());
  steward.on_proposal_finished("j");  // it came to nothing
  steward.on_renewal_request(10s + o.safe_reassignment_delay() + 2ms, asks("a", 3), ledger);
  EXPECT_EQ(steward.renewal_response("a", 3, ledger).granted.size(), 1u);
}

TEST(Leases, CountFromWhenTheQuestionWasSent) {
  ownership::LeaseOptions o;
  ownership::LeaseClient holder("a", o);
  auto question = holder.make_renewal_request(10s, {"j"});
  ownership::LeaseRenewalResponse told{question.number, o.length, {{"j", 7, 0}}, {}};
  holder.on_renewal_response(10s + o.length - 1ms, told);
  EXPECT_TRUE(holder.holds("j", 10s + o.length - 1us));
  EXPECT_FALSE(holder.holds("j", 10s + o.length));
  holder.on_renewal_response(10s + 1ms, told);  // the same answer again
  EXPECT_EQ(holder.until("j"), 10s + o.length);
  EXPECT_EQ(holder.expire(10s + o.length), std::vector<std::string>{"j"});
}

TEST(Leases, WhoHoldsOneAndDoesNothingIsRelieved) {
  ownership::LeaseOptions o;
  ownership::LeaseManager steward(o);
  ownership::LeaseRegistry ledger;
  ledger.apply(5, ownership::Grant{"j", "a", 0});
  steward.on_elected(10s);
  std::string got;
  Micros now = 10s;
  for (int i = 0; i < 200 && got.empty(); ++i, now += 200ms) {
    steward.on_renewal_request(now, asks("a", static_cast<std::uint64_t>(i), {{"j", 5, 3}}), ledger);
    steward.on_renewal_request(now, asks("b", static_cast<std::uint64_t>(i)), ledger);
    for (auto& c : steward.propose(now, ledger)) got = std::get<ownership::Grant>(c).owner;
  }
  EXPECT_EQ(got, "b");
  EXPECT_GE(now, 10s + o.idle + o.safe_reassignment_delay());
}

TEST(Leases, JobsSpreadEvenlyAndMoveOneByOne) {
  ownership::LeaseOptions o;
  ownership::LeaseManager steward(o);
  ownership::LeaseRegistry ledger;
  std::vector<std::string> jobs{"1", "2", "3", "4", "5", "6"};
  std::uint64_t index = 0;
  for (auto& job : jobs) ledger.apply(++index, ownership::Grant{job, "a", 0});
  steward.on_elected(0s);
  std::map<std::string, int> counts;
  int moves = 0;
  for (Micros now = 0s; now < 20s; now += 100ms) {
    for (std::string node : {"a", "b", "c"}) {
      ownership::LeaseRenewalRequest ask{node, static_cast<std::uint64_t>(now.count() + 1), jobs, {}};
      for (auto& [name, job] : ledger.jobs())
        if (job.owner == node)
          ask.holds.push_back({name, job.token, static_cast<std::uint64_t>(now.count())});
      steward.on_renewal_request(now, ask, ledger);
      for (auto& job : steward.renewal_response(node, 1, ledger).give_up) {
        ledger.apply(++index, ownership::Release{job, ledger.job(job)->token});
        ++moves;
      }
    }
    for (auto& c : steward.propose(now, ledger)) {
      ledger.apply(++index, c);
      steward.on_proposal_finished(std::get<ownership::Grant>(c).job);
    }
  }
  for (auto& [name, job] : ledger.jobs()) ++counts[job.owner];
  EXPECT_EQ(counts, (std::map<std::string, int>{{"a", 2}, {"b", 2}, {"c", 2}}));
  EXPECT_EQ(moves, 4);
}

TEST(LeaseRegistry, TurnsDownOldTokensAndCountsThem) {
  ownership::LeaseRegistry ledger;
  ownership::Token token = 0;
  ledger.apply(5, ownership::Grant{"j", "a", 0}, &token);
  EXPECT_EQ(token, 5u);
  EXPECT_EQ(ledger.apply(6, ownership::Grant{"j", "b", 0}),
            ownership::LeaseRegistry::ApplyResult::kVoid);  // overtaken
  ledger.apply(7, ownership::Grant{"j", "b", 5});
  EXPECT_EQ(ledger.apply(8, ownership::Publish{"j", 5, 1, "old"}),
            ownership::LeaseRegistry::ApplyResult::kStale);
  EXPECT_EQ(ledger.apply(9, ownership::Publish{"j", 9, 1, "never granted"}),
            ownership::LeaseRegistry::ApplyResult::kVoid);
  EXPECT_EQ(ledger.apply(10, ownership::Publish{"j", 7, 2, "new"}),
            ownership::LeaseRegistry::ApplyResult::kDone);
  EXPECT_EQ(ledger.apply(11, ownership::Release{"j", 5}), ownership::LeaseRegistry::ApplyResult::kVoid);
  EXPECT_EQ(ledger.stale(), 1u);
  auto copy = ownership::LeaseRegistry::decode(ledger.encode());
  ASSERT_TRUE(copy);
  EXPECT_EQ(copy->encode(), ledger.encode());
  EXPECT_EQ(copy->job("j")->data, "new");
  EXPECT_FALSE(ownership::LeaseRegistry::decode("noise"));
  EXPECT_FALSE(ownership::decode("noise"));
  ownership::FencingTokenGuard fence;
  EXPECT_TRUE(fence.admit("j", 7));
  EXPECT_FALSE(fence.admit("j", 5));
  EXPECT_TRUE(fence.admit("k", 5));
}

// ---- the simulator
// -----------------------------------------------------------------------------------------

TEST(Simulation, AFixedFewHundredSeedsHold) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    testbench::simulation::WorldOptions o;
    o.seed = seed;
    auto r = testbench::simulation::run_world(o);
    ASSERT_EQ(r.broken, "") << "seed " << seed;
    ASSERT_GT(r.committed, 0u);
  }
}

TEST(Simulation, ASeedRunsTheSameEachTime) {
  testbench::simulation::WorldOptions o;
  o.seed = 17;
  auto a = testbench::simulation::run_world(o), b = testbench::simulation::run_world(o);
  EXPECT_EQ(a.history, b.history);
  EXPECT_EQ(a.events, b.events);
  EXPECT_GT(a.history.size(), 5u);
}

TEST(Simulation, FindsTheMutantsOfLeasesAndDirectories) {
  using testbench::simulation::Mutant;
  for (auto mutant : {Mutant::kNoCheck, Mutant::kTokenNotCompared, Mutant::kLostDirectoryVotes}) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 100 && !found; ++seed) {
      testbench::simulation::WorldOptions o;
      o.seed = seed;
      o.mutant = mutant;
      found = !testbench::simulation::run_world(o).broken.empty();
    }
    EXPECT_TRUE(found) << static_cast<int>(mutant);
  }
}

TEST(SmallScope, HoldsWholeAndFindsMutants) {
  using namespace testbench::simulation;
  ScopeOptions scope;
  scope.elections = 2;
  scope.proposals = 0;
  scope.crashes = 1;
  auto r = explore_log(scope);
  EXPECT_EQ(r.broken, "");
  EXPECT_TRUE(r.exhausted);
  EXPECT_GT(r.states, 10'000u);
  scope.mutant = Mutant::kVoteNotSaved;
  EXPECT_NE(explore_log(scope).broken, "");
  LeaseScope leases;
  leases.steps = 4;
  auto l = explore_leases(leases);
  EXPECT_EQ(l.broken, "");
  leases.mutant = Mutant::kNoMargin;
  EXPECT_EQ(explore_leases(leases).broken, "both owners pass their check");
}

}  // namespace
}  // namespace database_proxy
