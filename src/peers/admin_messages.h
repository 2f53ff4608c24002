// Commands of operators and their answers, as structs. admin_codec.h decodes the commands and encodes the
// answers.
//
// The arguments of a command are decoded by the node that executes it, not by the nodes that forward it.
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

// The commands of operators. The leader answers kUnknown with an error.
enum class AdminCommand {
  kUnknown,
  kStatus,
  kMembers,
  kLeaseHolders,
  kIdentify,
  kBootstrap,
  kRecover,
  kTransferLeadership,  // to a named voter, or to any
  kStepDown,
  kAddLearner,
  kPromoteLearner,
  kRemoveMember,
  kPutSetting,
  kGetSetting,
  kPlacement,  // PlacementRequest::action selects what is done
};

// Bootstraps a new group with these voters as its first members. Each of them must be given the same voters.
struct BootstrapRequest {
  std::vector<consensus::NodeId> voters;
};
// Makes the node continue as the only voter after a majority of the voters is permanently lost.
struct RecoverRequest {
  std::string consequence;  // written out in full by the operator as a confirmation
};
// Transfers the leadership to another voter.
struct LeadershipTransferRequest {
  std::string voter;  // empty: any
};
// Adds, promotes or removes a member. It is given by its name, or by its id if no node knows its name.
struct MembershipChangeRequest {
  std::string node;
  consensus::NodeId id = consensus::kNoNode;  // kNoNode: looked up by the name
};
// Stores a setting that the group keeps for operators.
struct PutSettingRequest {
  std::string setting, value;
};
// Reads such a setting at the leader, once it has confirmed its leadership.
struct GetSettingRequest {
  std::string setting;
};

enum class PlacementAction { kUnknown, kShow, kExplain, kEvacuate, kRestore, kFreeze, kResume };

// A command of an operator that concerns the job `placement`.
struct PlacementRequest {
  PlacementAction action = PlacementAction::kUnknown;
  std::string action_name;  // as the operator wrote it
  std::string zone;
  bool force = false;
  std::optional<std::int64_t> shard_group;  // for kExplain
  // Of an evacuation or a restoration. Set once the plan is made, and returned with the answer.
  placement::Millis expected_duration_ms = 0;
};

// A lease that the node currently holds.
struct LeaseStatus {
  std::string job;
  ownership::Token token = 0;
};

// The part of a node's status that only voters have.
struct VoterStatus {
  consensus::Role role = consensus::Role::kFollower;
  consensus::Term term = 0;
  consensus::Index commit = 0, last = 0;
  bool initialised = false;  // the node belongs to a group
  std::string disk_error;    // empty: none
};

// Status of one node, as the node itself reports it.
struct NodeStatus {
  std::string name, installation;
  PeerRole role = PeerRole::kFollower;
  consensus::NodeId id = consensus::kNoNode;
  std::string leader;  // empty: unknown
  consensus::Index applied = 0;
  bool endpoint_list_unavailable = false;  // no recent contact with the group's source of the endpoint list
  std::int64_t endpoint_list_generation = -1;  // -1: no list that the group published
  std::string endpoint_list_source;
  std::uint64_t rejected_effects = 0;     // for an outdated fencing token
  std::uint64_t complete_list_polls = 0;  // by this node, at the discovery service
  std::uint64_t adopted_plan = 0;         // 0: none
  std::int64_t state_age_ms = 0;          // of a follower: time since its last contact with a leader
  std::string upstream;                   // of a follower: the voter that it follows
  std::int64_t followers = 0;
  std::vector<LeaseStatus> leases;
  std::int64_t clock_us = 0;  // monotonic clock
  std::optional<VoterStatus> voter;
};

// Identity of a node, which may not belong to a group yet.
struct NodeIdentity {
  consensus::NodeId id = consensus::kNoNode;
  std::string name;
  bool is_initialised = false;
  bool is_voter = false;
};

// One member of the consensus group.
struct MemberStatus {
  consensus::NodeId id = consensus::kNoNode;
  std::string name;
  bool is_learner = false;
  bool is_leader = false;
  // Replication progress. The leader knows it of all members, every other member only of itself.
  struct Progress {
    consensus::Index match = 0;
    std::int64_t last_contact_ms = 0;  // time since the last message of the member
  };
  std::optional<Progress> progress;
};
// All members of the consensus group: voters, then learners.
struct MemberList {
  std::vector<MemberStatus> members;
};

// One job of the lease registry, with its lease holder.
struct JobLeaseHolder {
  std::string job;
  ownership::JobState state;
};
// All jobs whose lease was ever granted.
struct LeaseHolderList {
  std::vector<JobLeaseHolder> lease_holders;
  std::uint64_t rejected_effects = 0;
};

// The log index at which a command was committed.
struct AppliedIndex {
  consensus::Index index = 0;  // 0: nothing was appended
};
// Value of a setting. Empty: there is no such setting.
struct SettingValue {
  std::string value;
};

// The committed plan, and the planner's input, which only the lease holder of the job `placement` has.
struct PlanReport {
  placement::Plan plan;
  std::string lease_holder;
  std::optional<std::int64_t> shard_group;
  std::optional<placement::Input> input;
};
// Reports that a plan requested by an operator has been committed.
struct PlanChange {
  std::uint64_t plan_number = 0;
  placement::Millis expected_duration_ms = 0;
};

using AdminResult = std::variant<std::monostate, NodeStatus, NodeIdentity, MemberList, LeaseHolderList,
                                 AppliedIndex, SettingValue, PlanReport, PlanChange>;

// The answer to one command.
struct AdminAnswer {
  bool ok = true;
  std::optional<std::string> reason;
  AdminResult result;
};

}  // namespace database_proxy::peers
