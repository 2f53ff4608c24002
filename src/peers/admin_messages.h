// Commands of operators and their answers, as structs. admin_codec.h gives each its transfer form.
//
// The arguments of a command are decoded by the node that carries it out, not by those that pass it on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "consensus/raft.h"
#include "ownership/lease_registry.h"
#include "peers/messages.h"
#include "placement/plan.h"

namespace database_proxy::peers {

// What an operator may ask; kUnknown is answered with an error by the leader.
enum class AdminCommand {
  kUnknown,
  kStatus,
  kMembers,
  kLeaseHolders,
  kIdentify,
  kBootstrap,
  kRecover,
  kTransferLeadership,  // to a voter that is named, or to any
  kStepDown,
  kAddLearner,
  kPromoteLearner,
  kRemoveMember,
  kPutSetting,
  kGetSetting,
  kPlacement,  // PlacementRequest tells the rest
};

// The first members of a new group, the same at each of them.
struct BootstrapRequest {
  std::vector<consensus::NodeId> voters;
};
// To go on without a majority that is lost for good.
struct RecoverRequest {
  std::string consequence;  // spelled out by the operator
};
// To another voter.
struct LeadershipTransferRequest {
  std::string voter;  // empty: any
};
// The member is named, or given by its id where nobody knows its name.
struct MembershipChangeRequest {
  std::string node;
  consensus::NodeId id = consensus::kNobody;  // kNobody: found by the name
};
// A setting that the group keeps for operators.
struct PutSettingRequest {
  std::string setting, value;
};
// Read from the confirmed leader.
struct GetSettingRequest {
  std::string setting;
};

enum class PlacementAction { kUnknown, kShow, kExplain, kEvacuate, kRestore, kFreeze, kResume };

// Everything that operators ask of the job `placement`.
struct PlacementRequest {
  PlacementAction action = PlacementAction::kUnknown;
  std::string action_name;  // as the operator wrote it
  std::string zone;
  bool force = false;
  std::optional<std::int64_t> shard_group;  // to explain
  // Of evacuation and restoration; known once the plan is made, and returned with the answer.
  placement::Millis expected_duration_ms = 0;
};

// A lease that the node holds at this moment.
struct LeaseStatus {
  std::string job;
  ownership::Token token = 0;
};

// What only a voter knows of itself.
struct VoterStatus {
  consensus::Role role = consensus::Role::kFollower;
  consensus::Term term = 0;
  consensus::Index commit = 0, last = 0;
  bool initialised = false;  // it belongs to a group
  std::string disk_error;    // empty: none
};

// One node, as it sees itself.
struct NodeStatus {
  std::string name, installation;
  PeerRole role = PeerRole::kFollower;
  consensus::NodeId id = consensus::kNobody;
  std::string leader;  // empty: none is known
  consensus::Index applied = 0;
  bool endpoint_list_unavailable = false;      // nothing is heard of the group's endpoint list
  std::int64_t endpoint_list_generation = -1;  // -1: none that the group published
  std::string endpoint_list_source;
  std::uint64_t rejected_effects = 0;     // for an old fencing token
  std::uint64_t complete_list_polls = 0;  // of the list service, by this node
  std::uint64_t adopted_plan = 0;         // 0: none
  std::int64_t state_age_ms = 0;          // of a follower: since it last heard of a leader
  std::string upstream;                   // of a follower: its voter
  std::int64_t followers = 0;
  std::vector<LeaseStatus> leases;
  std::int64_t clock_us = 0;  // monotonic
  std::optional<VoterStatus> voter;
};

// Of a node that may not belong to a group yet.
struct NodeIdentity {
  consensus::NodeId id = consensus::kNobody;
  std::string name;
  bool is_initialised = false;
  bool is_voter = false;
};

// One member of the consensus group.
struct MemberStatus {
  consensus::NodeId id = consensus::kNobody;
  std::string name;
  bool is_learner = false;
  bool is_leader = false;
  // Known to the leader only, and to each member of itself.
  struct Progress {
    consensus::Index match = 0;
    std::int64_t last_contact_ms = 0;  // ago
  };
  std::optional<Progress> progress;
};
// Voters, then learners.
struct MemberList {
  std::vector<MemberStatus> members;
};

// One job of the lease registry.
struct JobLeaseHolder {
  std::string job;
  ownership::JobState state;
};
// All jobs that were ever granted.
struct LeaseHolderList {
  std::vector<JobLeaseHolder> lease_holders;
  std::uint64_t rejected_effects = 0;
};

// Where a command was committed.
struct AppliedIndex {
  consensus::Index index = 0;  // 0: nothing was appended
};
// Empty: there is no such setting.
struct SettingValue {
  std::string value;
};

// Where the committed plan came from; only the lease holder of the job knows `input`.
struct PlanReport {
  placement::Plan plan;
  std::string lease_holder;
  std::optional<std::int64_t> shard_group;
  std::optional<placement::Input> input;
};
// A plan that an operator asked for is committed.
struct PlanChange {
  std::uint64_t plan_number = 0;
  placement::Millis expected_duration_ms = 0;
};

using AdminResult = std::variant<std::monostate, NodeStatus, NodeIdentity, MemberList, LeaseHolderList,
                                 AppliedIndex, SettingValue, PlanReport, PlanChange>;

// One for each command.
struct AdminAnswer {
  bool ok = true;
  std::optional<std::string> reason;
  AdminResult result;
};

}  // namespace database_proxy::peers
