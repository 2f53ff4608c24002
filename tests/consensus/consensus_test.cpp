// Tests of Raft and of job leases, one for each rule; several are regression tests for failures that a seed
// of the simulator found. They are followed by tests of the simulator itself: a fixed range of seeds, the
// exhaustive model check of a small scope, and mutants that the two must detect.
#include <gtest/gtest.h>

#include "consensus/raft.h"
#include "ownership/lease.h"
#include "testbench/simulation/model.h"
#include "testbench/simulation/world.h"

namespace database_proxy {
namespace {

using namespace std::chrono_literals;
using consensus::EntryType;
using consensus::Index;
using consensus::Message;
using consensus::MessageReceived;
using consensus::Micros;
using consensus::NodeId;
using consensus::Raft;
using consensus::Role;
using consensus::Term;
using consensus::WriteCompleted;

// Returns the persistent state of nodes 1, 2 and 3 after their group was bootstrapped: a snapshot at index 1
// of term 1.
consensus::PersistentState three_voters(Term term = 1) {
  auto snapshot = std::make_shared<consensus::Snapshot>();
  snapshot->index = snapshot->term = 1;
  snapshot->members.voters = {1, 2, 3};
  consensus::PersistentState stored;
  stored.hard_state.term = term;
  stored.snapshot = snapshot;
  return stored;
}

consensus::Options options_of(NodeId id) {
  consensus::Options options;
  options.self = id;
  return options;
}

Raft make_node(NodeId id, consensus::PersistentState stored = three_voters()) {
  return {options_of(id), std::move(stored), 0us};
}

Message message_from(NodeId id, Message::Type type, Term term, Index index = 1, Term log_term = 1) {
  Message message;
  message.from = id;
  message.to = 1;
  message.type = type;
  message.term = term;
  message.index = index;
  message.log_term = log_term;
  return message;
}

Message append_response(NodeId id, Index match, std::uint64_t round = 0) {
  auto message = message_from(id, Message::Type::kAppendEntriesResponse, 2, match);
  message.round = round;
  return message;
}

// Makes the node the leader of term 2 at its election timeout, and returns that time. The leader's first
// entry is not yet durable.
Micros elect(Raft& node, consensus::Output* elected) {
  const Micros now = node.due();
  node.step(now, {consensus::Tick{}});
  auto candidate =
      node.step(now, {MessageReceived{message_from(2, Message::Type::kRequestPreVoteResponse, 2)}});
  node.step(now, {WriteCompleted{candidate.writes.back().number}});
  *elected = node.step(now, {MessageReceived{message_from(3, Message::Type::kRequestVoteResponse, 2)}});
  EXPECT_EQ(node.role(), Role::kLeader);
  return now;
}

// Returns node 1 as the leader of term 2. Its first entry is durable on node 1 only.
Raft make_leader(Micros* now) {
  auto node = make_node(1);
  consensus::Output elected;
  *now = elect(node, &elected);
  node.step(*now, {WriteCompleted{elected.writes.back().number}});
  return node;
}

TEST(Votes, AreSentOnlyOnceTheyAreDurable) {
  auto node = make_node(1);
  auto output = node.step(1s, {MessageReceived{message_from(2, Message::Type::kRequestVote, 2)}});
  ASSERT_EQ(output.messages.size(), 1u);
  EXPECT_FALSE(output.messages[0].message.reject);
  ASSERT_EQ(output.writes.size(), 1u);
  EXPECT_EQ(output.writes[0].hard_state, (consensus::HardState{2, 2}));
  EXPECT_EQ(output.messages[0].required_write, output.writes[0].number);
  EXPECT_TRUE(node.step(1s, {MessageReceived{message_from(3, Message::Type::kRequestVote, 2)}})
                  .messages[0]
                  .message.reject);
}

TEST(Votes, AreNotGrantedWhileALeaderIsInContactUnlessItRequestsTheElection) {
  auto node = make_node(1);
  node.step(1s, {MessageReceived{message_from(2, Message::Type::kAppendEntries, 2)}});
  EXPECT_TRUE(node.step(1s + 100ms, {MessageReceived{message_from(3, Message::Type::kRequestVote, 9)}})
                  .messages.empty());
  EXPECT_TRUE(node.step(1s + 100ms, {MessageReceived{message_from(3, Message::Type::kRequestPreVote, 9)}})
                  .messages.empty());
  EXPECT_EQ(node.term(), 2u);
  auto forced = message_from(3, Message::Type::kRequestVote, 9);
  forced.forced = true;
  EXPECT_EQ(node.step(1s + 100ms, {MessageReceived{forced}}).messages.size(), 1u);
  EXPECT_EQ(node.term(), 9u);
}

TEST(Votes, OfACandidateForItselfCountOnlyOnceTheyAreDurable) {
  auto stored = three_voters();
  auto single_voter = std::make_shared<consensus::Snapshot>(*stored.snapshot);
  single_voter->members.voters = {1};
  stored.snapshot = single_voter;
  auto node = make_node(1, stored);
  auto output = node.step(node.due(), {consensus::Tick{}});
  EXPECT_EQ(node.role(), Role::kCandidate);
  node.step(2s, {WriteCompleted{output.writes.back().number}});
  EXPECT_EQ(node.role(), Role::kLeader);
}

TEST(Leader, WithoutAMajorityStepsDownAndConfirmsNoRead) {
  Micros now;
  auto node = make_leader(&now);
  node.step(now, {MessageReceived{append_response(2, 2)}});
  EXPECT_TRUE(node.has_committed_in_current_term());
  auto output = node.step(now, {consensus::ReadRequest{7}});
  EXPECT_TRUE(output.read_results.empty());
  output = node.step(now + 20s, {consensus::Tick{}});  // as after a pause of the process by SIGSTOP
  EXPECT_EQ(node.role(), Role::kFollower);
  ASSERT_EQ(output.read_results.size(), 1u);
  EXPECT_FALSE(output.read_results[0].confirmed);
}

TEST(Leader, ConfirmsAReadByARoundThatBeganAfterIt) {
  Micros now;
  auto node = make_leader(&now);
  node.step(now, {MessageReceived{append_response(2, 2, 1)}});
  auto output = node.step(now, {consensus::ReadRequest{7}});
  std::uint64_t round = 0;
  for (const auto& outgoing : output.messages) round = std::max(round, outgoing.message.round);
  EXPECT_TRUE(node.step(now, {MessageReceived{append_response(2, 2, round - 1)}}).read_results.empty());
  output = node.step(now, {MessageReceived{append_response(2, 2, round)}});
  ASSERT_EQ(output.read_results.size(), 1u);
  EXPECT_TRUE(output.read_results[0].confirmed);
}

TEST(Leader, WithASlowDiskCommitsOnceTheOtherVotersHaveTheEntry) {
  Micros now;
  auto node = make_leader(&now);
  node.step(now, {MessageReceived{append_response(2, 2)}});
  auto output = node.step(now, {consensus::Proposal{1, "x"}});
  ASSERT_EQ(output.proposal_results[0].index, 3u);
  // The entry is not yet durable on the leader itself.
  EXPECT_TRUE(node.step(now, {MessageReceived{append_response(2, 3)}}).committed_entries.empty());
  EXPECT_EQ(node.step(now, {MessageReceived{append_response(3, 3)}}).committed_entries.size(), 1u);
}

TEST(Leader, WhoseDiskFailsHaltsAndGrantsNoVote) {
  Micros now;
  auto node = make_leader(&now);
  auto output = node.step(now, {consensus::WriteFailed{}});
  EXPECT_EQ(node.role(), Role::kHalted);
  EXPECT_EQ(output.role_changes.back().reason, consensus::RoleChangeReason::kDiskFailed);
  EXPECT_TRUE(
      node.step(now, {MessageReceived{message_from(2, Message::Type::kRequestVote, 9)}}).messages.empty());
}

// Regression test (simulator seed 189): only the removed node had the entry that the others needed, and it
// did not start an election.
TEST(Membership, ANodeWhoseRemovalIsNotCommittedMayStartAnElection) {
  auto stored = three_voters(2);
  consensus::Membership remaining;
  remaining.voters = {2, 3};
  stored.entries.push_back({2, 2, EntryType::kMembers, remaining.encode()});
  auto node = make_node(1, stored);
  EXPECT_NE(node.due(), Micros::max());
  node.step(node.due(), {consensus::Tick{}});
  EXPECT_EQ(node.role(), Role::kPreCandidate);
}

TEST(Membership, ARemovalThatLeavesTooFewResponsiveVotersIsRejected) {
  using Kind = consensus::MembershipChange::Kind;
  Micros now;
  auto node = make_leader(&now);
  node.step(now, {MessageReceived{append_response(2, 2, 1)}});  // node 3 has not answered in this term
  auto output = node.step(now, {consensus::MembershipChange{1, Kind::kRemove, 2}});
  EXPECT_EQ(output.proposal_results[0].index, 0u);
  EXPECT_STREQ(output.proposal_results[0].rejection_reason, "too few of the remaining voters are responsive");
  output = node.step(now, {consensus::MembershipChange{2, Kind::kRemove, 3}});
  EXPECT_NE(output.proposal_results[0].index, 0u);
  output = node.step(now, {consensus::MembershipChange{3, Kind::kAddLearner, 9}});
  EXPECT_STREQ(output.proposal_results[0].rejection_reason, "another membership change is in progress");
}

TEST(Snapshots, ALateSnapshotKeepsTheAcknowledgedEntriesAfterIt) {
  auto node = make_node(1);
  auto append = message_from(2, Message::Type::kAppendEntries, 2);
  append.entries = {{2, 2, EntryType::kCommand, "a"}, {2, 3, EntryType::kCommand, "b"}};
  auto output = node.step(1s, {MessageReceived{append}});
  node.step(1s, {WriteCompleted{output.writes.back().number}});
  auto snapshot = std::make_shared<consensus::Snapshot>();
  snapshot->index = 2;
  snapshot->term = 2;
  snapshot->members.voters = {1, 2, 3};
  auto install = message_from(2, Message::Type::kInstallSnapshot, 2);
  install.snapshot = snapshot;
  output = node.step(1s, {MessageReceived{install}});
  EXPECT_EQ(node.last_index(), 3u);
  EXPECT_EQ(node.commit_index(), 2u);
  EXPECT_FALSE(output.snapshot_to_restore);
}

// Node 1 as the leader of nodes 1 to 3. Its own writes and the appends to node 2 complete at once, and it
// takes a snapshot after each batch of entries.
class LeaderWithSnapshots {
 public:
  explicit LeaderWithSnapshots(consensus::Options options) : node_(options, three_voters(), 0us) {
    consensus::Output elected;
    now_ = elect(node_, &elected);
  }
  consensus::Output receive(Message message) {
    return node_.step(now_, {MessageReceived{std::move(message)}});
  }
  void append_and_snapshot(int entries) {
    for (int i = 0; i < entries; ++i) {
      auto output = node_.step(now_, {consensus::Proposal{1, "x"}});
      for (const auto& write : output.writes) last_write_ = std::max(last_write_, write.number);
      node_.step(now_,
                 {MessageReceived{append_response(2, node_.last_index())}, WriteCompleted{last_write_}});
    }
    node_.step(now_, {consensus::SnapshotTaken{node_.commit_index(), "state"}});
  }
  const Raft& node() const { return node_; }

 private:
  Raft node_;
  Micros now_{0};
  std::uint64_t last_write_ = 0;
};

// Returns the index of the snapshot that the output sends to the node; 0 if there is none.
Index snapshot_sent_to(NodeId id, const consensus::Output& output) {
  Index index = 0;
  for (const auto& [message, required_write] : output.messages) {
    if (message.type == Message::Type::kInstallSnapshot && message.to == id) index = message.snapshot->index;
  }
  return index;
}

// Regression test (simulator seed 6853): a follower whose snapshot was outdated when it arrived waited 3 s
// for the next one.
TEST(Snapshots, AnOutdatedSnapshotIsFollowedByANewerOneAtOnce) {
  auto options = options_of(1);
  options.trailing_entries = 2;
  LeaderWithSnapshots leader(options);
  ASSERT_TRUE(leader.node().is_leader());
  leader.append_and_snapshot(10);
  auto rejection = message_from(3, Message::Type::kAppendEntriesResponse, 2, 1);
  rejection.reject = true;
  rejection.rejected_index = leader.node().first_index();
  const auto first = snapshot_sent_to(3, leader.receive(rejection));
  ASSERT_GT(first, 0u);
  leader.append_and_snapshot(10);
  ASSERT_GT(leader.node().first_index(), first + 1);
  EXPECT_EQ(snapshot_sent_to(3, leader.receive(append_response(3, first))), leader.node().snapshot_index());
}

TEST(PersistentState, IsRejectedAtTheStartIfItIsInvalid) {
  auto with_gap = three_voters(2);
  with_gap.entries = {{2, 2, EntryType::kCommand, ""}, {2, 4, EntryType::kCommand, ""}};
  EXPECT_THROW(make_node(1, with_gap), std::invalid_argument);
  auto with_later_term = three_voters(1);
  with_later_term.entries = {{5, 2, EntryType::kCommand, ""}};
  EXPECT_THROW(make_node(1, with_later_term), std::invalid_argument);
  EXPECT_FALSE(consensus::Membership::decode("v1 v1 "));
  EXPECT_FALSE(consensus::Membership::decode("v1"));
  EXPECT_FALSE(consensus::Membership::decode("x1 "));
}

// Leases.

ownership::LeaseRenewalRequest renewal_request(const std::string& node, std::uint64_t number,
                                               std::vector<ownership::HeldLease> holds = {}) {
  return {node, number, {"j"}, std::move(holds)};
}

TEST(Leases, AJobIsGrantedToAnotherNodeOnlyAfterTheSafeReassignmentDelay) {
  ownership::LeaseOptions options;
  ownership::LeaseManager manager(options);
  ownership::LeaseRegistry registry;
  registry.apply(5, ownership::Grant{"j", "a", 0});
  manager.on_elected(10s);
  manager.on_renewal_request(10s, renewal_request("b", 1), registry);
  manager.on_renewal_request(11s, renewal_request("a", 1), registry);
  EXPECT_EQ(manager.renewal_response("a", 1, registry).granted.size(), 1u);
  manager.on_renewal_request(11s + options.safe_reassignment_delay() - 1us, renewal_request("b", 2),
                             registry);
  EXPECT_TRUE(manager.propose(11s + options.safe_reassignment_delay() - 1us, registry).empty());
  auto commands = manager.propose(11s + options.safe_reassignment_delay(), registry);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(std::get<ownership::Grant>(commands[0]).lease_holder, "b");
}

// Regression test (simulator seed 32): a grant took long to be committed, and the lease of the previous
// holder was still renewed meanwhile.
TEST(Leases, AreNotRenewedWhileAGrantIsBeingCommitted) {
  ownership::LeaseOptions options;
  ownership::LeaseManager manager(options);
  ownership::LeaseRegistry registry;
  registry.apply(5, ownership::Grant{"j", "a", 0});
  manager.on_elected(10s);
  manager.on_renewal_request(10s, renewal_request("b", 1), registry);
  manager.propose(10s, registry);
  manager.on_renewal_request(10s + options.safe_reassignment_delay(), renewal_request("b", 1), registry);
  ASSERT_EQ(manager.propose(10s + options.safe_reassignment_delay(), registry).size(), 1u);
  manager.on_renewal_request(10s + options.safe_reassignment_delay() + 1ms, renewal_request("a", 2),
                             registry);
  EXPECT_TRUE(manager.renewal_response("a", 2, registry).granted.empty());
  manager.on_proposal_finished("j");  // the grant was not applied
  manager.on_renewal_request(10s + options.safe_reassignment_delay() + 2ms, renewal_request("a", 3),
                             registry);
  EXPECT_EQ(manager.renewal_response("a", 3, registry).granted.size(), 1u);
}

TEST(Leases, AreMeasuredFromTheTimeAtWhichTheRequestWasSent) {
  ownership::LeaseOptions options;
  ownership::LeaseClient client("a", options);
  auto request = client.make_renewal_request(10s, {"j"});
  ownership::LeaseRenewalResponse response{request.number, options.duration, {{"j", 7, 0}}, {}};
  client.on_renewal_response(10s + options.duration - 1ms, response);
  EXPECT_TRUE(client.holds("j", 10s + options.duration - 1us));
  EXPECT_FALSE(client.holds("j", 10s + options.duration));
  client.on_renewal_response(10s + 1ms, response);  // a duplicate of the response
  EXPECT_EQ(client.expires_at("j"), 10s + options.duration);
  EXPECT_EQ(client.expire(10s + options.duration), std::vector<std::string>{"j"});
}

TEST(Leases, ALeaseHolderWithoutProgressLosesItsJob) {
  ownership::LeaseOptions options;
  ownership::LeaseManager manager(options);
  ownership::LeaseRegistry registry;
  registry.apply(5, ownership::Grant{"j", "a", 0});
  manager.on_elected(10s);
  std::string new_holder;
  Micros now = 10s;
  for (int i = 0; i < 200 && new_holder.empty(); ++i, now += 200ms) {
    manager.on_renewal_request(now, renewal_request("a", static_cast<std::uint64_t>(i), {{"j", 5, 3}}),
                               registry);
    manager.on_renewal_request(now, renewal_request("b", static_cast<std::uint64_t>(i)), registry);
    for (const auto& command : manager.propose(now, registry))
      new_holder = std::get<ownership::Grant>(command).lease_holder;
  }
  EXPECT_EQ(new_holder, "b");
  EXPECT_GE(now, 10s + options.progress_timeout + options.safe_reassignment_delay());
}

TEST(Leases, JobsAreDistributedEvenlyWithAsFewMovesAsPossible) {
  ownership::LeaseOptions options;
  ownership::LeaseManager manager(options);
  ownership::LeaseRegistry registry;
  std::vector<std::string> jobs{"1", "2", "3", "4", "5", "6"};
  std::uint64_t index = 0;
  for (auto& job : jobs) registry.apply(++index, ownership::Grant{job, "a", 0});
  manager.on_elected(0s);
  std::map<std::string, int> counts;
  int moves = 0;
  for (Micros now = 0s; now < 20s; now += 100ms) {
    for (std::string node : {"a", "b", "c"}) {
      ownership::LeaseRenewalRequest request{node, static_cast<std::uint64_t>(now.count() + 1), jobs, {}};
      for (auto& [name, job] : registry.jobs())
        if (job.lease_holder == node)
          request.held_leases.push_back({name, job.token, static_cast<std::uint64_t>(now.count())});
      manager.on_renewal_request(now, request, registry);
      for (auto& job : manager.renewal_response(node, 1, registry).jobs_to_release) {
        registry.apply(++index, ownership::Release{job, registry.job(job)->token});
        ++moves;
      }
    }
    for (const auto& command : manager.propose(now, registry)) {
      registry.apply(++index, command);
      manager.on_proposal_finished(std::get<ownership::Grant>(command).job);
    }
  }
  for (auto& [name, job] : registry.jobs()) ++counts[job.lease_holder];
  EXPECT_EQ(counts, (std::map<std::string, int>{{"a", 2}, {"b", 2}, {"c", 2}}));
  EXPECT_EQ(moves, 4);
}

TEST(LeaseRegistry, RejectsOutdatedTokensAndCountsThem) {
  ownership::LeaseRegistry registry;
  ownership::Token token = 0;
  registry.apply(5, ownership::Grant{"j", "a", 0}, &token);
  EXPECT_EQ(token, 5u);
  EXPECT_EQ(registry.apply(6, ownership::Grant{"j", "b", 0}),
            ownership::LeaseRegistry::ApplyResult::kNoEffect);  // the job has another token by now
  registry.apply(7, ownership::Grant{"j", "b", 5});
  EXPECT_EQ(registry.apply(8, ownership::Publish{"j", 5, 1, "old"}),
            ownership::LeaseRegistry::ApplyResult::kStale);
  EXPECT_EQ(registry.apply(9, ownership::Publish{"j", 9, 1, "never granted"}),
            ownership::LeaseRegistry::ApplyResult::kNoEffect);
  EXPECT_EQ(registry.apply(10, ownership::Publish{"j", 7, 2, "new"}),
            ownership::LeaseRegistry::ApplyResult::kApplied);
  EXPECT_EQ(registry.apply(11, ownership::Release{"j", 5}), ownership::LeaseRegistry::ApplyResult::kNoEffect);
  EXPECT_EQ(registry.stale_publications(), 1u);
  auto copy = ownership::LeaseRegistry::decode(registry.encode());
  ASSERT_TRUE(copy);
  EXPECT_EQ(copy->encode(), registry.encode());
  EXPECT_EQ(copy->job("j")->data, "new");
  EXPECT_FALSE(ownership::LeaseRegistry::decode("noise"));
  EXPECT_FALSE(ownership::decode("noise"));
  ownership::FencingTokenGuard guard;
  EXPECT_TRUE(guard.admit("j", 7));
  EXPECT_FALSE(guard.admit("j", 5));
  EXPECT_TRUE(guard.admit("k", 5));
}

// The simulator.

TEST(Simulation, TwoHundredFixedSeedsKeepAllInvariants) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    testbench::simulation::WorldOptions options;
    options.seed = seed;
    auto result = testbench::simulation::run_world(options);
    ASSERT_EQ(result.violation, "") << "seed " << seed;
    ASSERT_GT(result.committed, 0u);
  }
}

TEST(Simulation, ASeedGivesTheSameRunEachTime) {
  testbench::simulation::WorldOptions options;
  options.seed = 17;
  auto first = testbench::simulation::run_world(options);
  auto second = testbench::simulation::run_world(options);
  EXPECT_EQ(first.history, second.history);
  EXPECT_EQ(first.events, second.events);
  EXPECT_GT(first.history.size(), 5u);
}

TEST(Simulation, DetectsTheMutantsOfLeasesAndDirectories) {
  using testbench::simulation::Mutant;
  for (auto mutant : {Mutant::kNoCheck, Mutant::kTokenNotCompared, Mutant::kLostDirectoryVotes}) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 100 && !found; ++seed) {
      testbench::simulation::WorldOptions options;
      options.seed = seed;
      options.mutant = mutant;
      found = !testbench::simulation::run_world(options).violation.empty();
    }
    EXPECT_TRUE(found) << static_cast<int>(mutant);
  }
}

TEST(SmallScope, IsExploredExhaustivelyAndMutantsAreDetected) {
  using namespace testbench::simulation;
  ScopeOptions scope;
  scope.elections = 2;
  scope.proposals = 0;
  scope.crashes = 1;
  auto result = explore_log(scope);
  EXPECT_EQ(result.violation, "");
  EXPECT_TRUE(result.exhausted);
  EXPECT_GT(result.states, 10'000u);
  scope.mutant = Mutant::kVoteNotSaved;
  EXPECT_NE(explore_log(scope).violation, "");
  LeaseScope leases;
  leases.steps = 4;
  auto lease_result = explore_leases(leases);
  EXPECT_EQ(lease_result.violation, "");
  leases.mutant = Mutant::kNoMargin;
  EXPECT_EQ(explore_leases(leases).violation, "both owners pass their check");
}

}  // namespace
}  // namespace database_proxy
