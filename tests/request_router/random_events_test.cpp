// Checks the rules of the decision module under random but valid sequences of events, with fixed seeds. The
// test keeps its own record of the router's actions and of the events it delivered. It models neither servers
// nor load.
#include <algorithm>
#include <map>
#include <random>
#include <utility>

#include "request_router/support.h"

namespace request_router::test {
namespace {

constexpr MemberId kMembers = 4;
constexpr Micros kStep = 5ms;          // time between two batches
constexpr Micros kQuietFrom = 24s;     // no new requests or changes from here on
constexpr Micros kClientTimeout = 2s;  // timeout of every request

// An attempt and the time at which it was sent.
struct SentAttempt {
  Send send;
  Micros at{0};
};

// A request, its attempts and its result.
struct RequestRecord {
  Request request;
  std::vector<SentAttempt> sends;
  std::vector<int> in_flight;  // indices into `sends`
  bool may_have_run = false;
  Micros first_ran{0};
  bool answered = false;   // rejected or failed by the router
  bool succeeded = false;  // an attempt succeeded and the router was notified of it

  bool is_final() const { return answered || succeeded; }
};

// The state of a member according to the events delivered to the router.
struct MemberRecord {
  Condition condition = Condition::kReady;
  Micros drain_notified_at{0};
  bool was_primary = false;  // it has claimed to be the primary
  bool denied = false;       // it claimed to be a replica afterwards
  Micros denied_at{0};
  Micros position{0};

  bool may_be_primary() const { return was_primary && !denied; }
};

class RandomEvents : public ::testing::TestWithParam<int> {
 protected:
  RandomEvents()
      : random_(static_cast<unsigned>(GetParam())),
        settings_(draw_settings()),
        router_(settings_, static_cast<std::uint64_t>(GetParam())) {
    events_ = {
        make_list(ListKind::kCached, {make_entry(1, true), make_entry(2), make_entry(3), make_entry(4)})};
    for (MemberId member = 1; member <= kMembers; ++member) members_[member].was_primary = member == 1;
  }

  int pick(int count) { return static_cast<int>(random_() % static_cast<unsigned>(count)); }

  Settings draw_settings() {
    Settings settings = default_settings(pick(2) ? LagCheck::kOff : LagCheck::kReject);
    settings.answers_carry_position = pick(2);
    settings.probes = pick(4) != 0;
    settings.removal_not_binding = pick(4) == 0;
    settings.max_attempts = 1 + pick(6);
    return settings;
  }

  // ---- rules, checked for each action --------------------------------------------------------------------

  void check(const Send& send) {
    ++sent_;
    ASSERT_TRUE(requests_.count(send.id));
    auto& record = requests_[send.id];
    ASSERT_FALSE(record.is_final()) << "attempt after the final answer";
    ASSERT_TRUE(record.in_flight.empty()) << "two attempts in flight";
    ASSERT_LT(static_cast<int>(record.sends.size()), settings_.max_attempts);
    ASSERT_LE(now_ + send.timeout, record.request.expires + 1ms);
    check_effect(record);
    check_drain(members_[send.member]);
    check_freshness(record, members_[send.member]);
    record.in_flight.push_back(static_cast<int>(record.sends.size()));
    record.sends.push_back({send, now_});
  }

  void check_effect(const RequestRecord& record) {
    if (!record.may_have_run) return;
    const auto& request_class = settings_.classes[record.request.request_class];
    ASSERT_NE(request_class.effect, Effect::kUnsafe) << "retry of an unsafe request that may have run";
    if (request_class.effect == Effect::kKeyed) {
      ASSERT_LE(now_ - record.first_ran, request_class.key_window);
    }
  }

  void check_drain(const MemberRecord& member) {
    if (excludes_member(member.condition)) {
      ASSERT_LE(now_ - member.drain_notified_at, settings_.drain_grace)
          << "attempt at a draining member after the grace period";
    }
  }

  void check_freshness(const RequestRecord& record, const MemberRecord& member) {
    const auto& request_class = settings_.classes[record.request.request_class];
    if (settings_.lag_check != LagCheck::kOff || member.may_be_primary()) return;
    if (request_class.level == ReadLevel::kBounded) {
      ASSERT_LE(now_ - member.position, request_class.bound) << "stale bounded read";
    }
    if (request_class.level == ReadLevel::kSession && *record.request.write_age > 0ms) {
      ASSERT_GE(member.position, record.request.expires - kClientTimeout - *record.request.write_age)
          << "stale session read";
    }
  }

  void check(const Reject& reject) {
    auto& record = requests_.at(reject.id);
    ASSERT_FALSE(record.is_final()) << "second final answer";
    ASSERT_TRUE(settings_.classes[record.request.request_class].effect == Effect::kPure ||
                (!record.may_have_run && record.in_flight.empty()));
    record.answered = true;
    ++final_answers_;
  }

  void check(const Fail& fail) {
    auto& record = requests_.at(fail.id);
    ASSERT_FALSE(record.is_final()) << "second final answer";
    record.answered = true;
    ++final_answers_;
  }

  void check(const Probe& probe) {
    ASSERT_TRUE(settings_.probes);
    probes_.push_back(probe.member);
  }

  void check(const SetTimer& timer) { timers_.push_back(now_ + timer.after); }

  void check(const Cancel& cancel) {
    ASSERT_TRUE(requests_.count(cancel.id)) << "cancellation of an unknown request";
    const auto& record = requests_[cancel.id];
    ASSERT_LT(cancel.attempt, static_cast<int>(record.sends.size()));
    ASSERT_NE(settings_.classes[record.request.request_class].effect, Effect::kUnsafe)
        << "cancellation of a request that must not be retried";
  }

  void check(const Subscribe&) {}
  void check(const Log&) {}

  // Returns whether a member in this condition must get no new requests after the grace period.
  bool excludes_member(Condition condition) const {
    return condition == Condition::kDraining ||
           (condition == Condition::kGone && !settings_.removal_not_binding);
  }

  // ---- events --------------------------------------------------------------------------------------------

  void add_request() {
    Request request = make_request(next_id_++, static_cast<Class>(pick(6)), now_ + kClientTimeout);
    if (request.request_class == kSession) {
      int has_written = pick(2);
      request.write_age = Micros(has_written * pick(400000));
    }
    requests_[request.id].request = request;
    events_.emplace_back(request);
  }

  void change_condition() {
    MemberId id = 1 + static_cast<MemberId>(pick(4));
    auto condition = static_cast<Condition>(pick(3));
    auto& member = members_[id];
    bool stays_draining = condition == Condition::kGone && member.condition == Condition::kDraining;
    bool was_excluded = excludes_member(member.condition);
    bool is_excluded = excludes_member(condition) || stays_draining;
    if (stays_draining) condition = Condition::kDraining;
    if (is_excluded && !was_excluded) member.drain_notified_at = now_;
    member.condition = condition;
    Micros started_at = pick(2) ? now_ - 100ms : 0ms;
    events_.emplace_back(make_list(ListKind::kDelta, {make_entry(id, false, condition, started_at)}));
  }

  void answer_probes() {
    for (auto probe = probes_.begin(); probe != probes_.end();) {
      if (pick(4) != 0) {
        ++probe;
        continue;
      }
      answer_probe(*probe);
      probe = probes_.erase(probe);
    }
  }

  void answer_probe(MemberId id) {
    auto& member = members_[id];
    if (pick(6) == 0) {
      ProbeResult lost;
      lost.member = id;
      events_.emplace_back(lost);
      return;
    }
    member.position = std::max(member.position, now_ - Micros(pick(600000)));
    bool primary = pick(4) == 0;
    member.was_primary = member.was_primary || primary;
    if (primary && member.position > member.denied_at) member.denied = false;
    events_.emplace_back(make_probe_result(id, member.position, primary));
  }

  void fire_timers() {
    auto due = std::count_if(timers_.begin(), timers_.end(), [&](Micros time) { return time <= now_; });
    std::erase_if(timers_, [&](Micros time) { return time <= now_; });
    for (; due > 0; --due) events_.emplace_back(TimerFired{1});
  }

  void end_attempts() {
    for (auto& [id, record] : requests_) {
      if (!record.in_flight.empty()) {
        end_attempt(record);
      } else if (!record.is_final()) {
        ASSERT_LE(now_, std::max(record.request.expires, paused_until_) + settings_.answer_slack)
            << "request without a final answer";
      }
    }
  }

  void end_attempt(RequestRecord& record) {
    int attempt = record.in_flight[0];
    const auto& sent = record.sends[static_cast<std::size_t>(attempt)];
    bool due = now_ >= record.request.expires;
    if (!due && pick(20) != 0) return;
    auto status = due ? Status::kTimedOut : static_cast<Status>(pick(9));
    if (status == Status::kTimedOut && !due) status = Status::kBroken;
    Outcome outcome = make_outcome(sent.send, attempt, status);
    outcome.closed = record.answered || status == Status::kSuccess;
    bool states_role = status == Status::kSuccess || status == Status::kDeclined ||
                       status == Status::kOverloaded || status == Status::kFailure;
    if (states_role) outcome.role = draw_role(members_[sent.send.member]);
    bool ran = status == Status::kSuccess || status == Status::kFailure || status == Status::kTimedOut ||
               status == Status::kBroken || status == Status::kCancelled;
    if (ran && !record.may_have_run) record.first_ran = sent.at;
    record.may_have_run = record.may_have_run || ran;
    record.succeeded = record.succeeded || status == Status::kSuccess;
    record.in_flight.clear();
    events_.emplace_back(outcome);
  }

  Role draw_role(MemberRecord& member) {
    Role role = pick(3) ? Role::kReplica : Role::kPrimary;
    member.denied = role == Role::kReplica;
    if (member.denied)
      member.denied_at = now_;
    else
      member.was_primary = true;
    return role;
  }

  void step() {
    if (now_ < kQuietFrom && pick(500) == 0)
      paused_until_ = now_ += 100ms * (1 + pick(20));  // the router is paused
    if (now_ < kQuietFrom && pick(3) == 0) add_request();
    if (now_ < kQuietFrom && pick(100) == 0) change_condition();
    answer_probes();
    fire_timers();
    end_attempts();
    if (HasFatalFailure()) return;
    for (const auto& action : router_.handle(now_, events_)) {
      std::visit([this](const auto& kind) { check(kind); }, action);
      if (HasFatalFailure()) return;
    }
    events_.clear();
  }

  std::mt19937 random_;
  Settings settings_;
  Router router_;
  Micros now_ = 10s;
  Micros paused_until_ = now_;
  std::map<RequestId, RequestRecord> requests_;
  std::map<MemberId, MemberRecord> members_;
  std::vector<MemberId> probes_;
  std::vector<Micros> timers_;
  std::vector<Event> events_;
  RequestId next_id_ = 1;
  std::size_t sent_ = 0;
  std::size_t final_answers_ = 0;
};

TEST_P(RandomEvents, ValidEventSequencesKeepAllRules) {
  for (; now_ < kQuietFrom + 3s; now_ += kStep) {
    step();
    if (HasFatalFailure()) return;
  }
  for (const auto& [id, record] : requests_)
    EXPECT_TRUE(record.is_final()) << "request " << id << " has no final answer";
  EXPECT_GT(sent_, 20U);
  EXPECT_GT(final_answers_, 20U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, ::testing::Range(1, 41));

}  // namespace
}  // namespace request_router::test
