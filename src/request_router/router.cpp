// The router: passes each event of a batch to the module that handles it, decides the groups that the events
// concern, and orders the actions.
//
// Rule: all events of a batch are processed before anything is decided, so that each decision is based on
// everything that is known at its time. All decisions are made in the modules of this folder; the mechanism
// and its exceptions are described in docs/design/decisions.md.
#include "request_router/router.h"

#include <algorithm>
#include <utility>

#include "admission.h"
#include "attempt_lifecycle.h"
#include "group_decision.h"
#include "router_state.h"
#include "validate.h"

namespace request_router {

using internal::Group;
using internal::Member;
using internal::RouterState;

namespace {

// The keys of the timers that the router sets.
constexpr std::uint64_t kTickTimer = 1;  // checks attempts in flight at regular intervals
constexpr std::uint64_t kWakeTimer = 2;  // has postponed requests decided again at a given time

// Schedules the groups with postponed requests for another decision.
void on_timer(RouterState& state, const TimerFired& timer) {
  for (Group* group : std::exchange(state.waiting_groups, {})) {
    group->is_waiting = false;
    state.request_decision(*group);
  }
  if (timer.key != kTickTimer) return;
  state.timers.tick_fired = true;
  state.timers.is_tick_set = false;
}

// Passes an event to the module that handles it.
class EventDispatcher {
 public:
  explicit EventDispatcher(RouterState& state) : state_(state) {}

  void operator()(const MemberList& event) { internal::on_member_list(state_, event); }
  void operator()(const Request& event) { internal::on_request(state_, event); }
  void operator()(const Outcome& event) { internal::on_outcome(state_, event); }
  void operator()(const ProbeResult& event) { internal::on_probe_result(state_, event); }
  void operator()(const TimerFired& event) { on_timer(state_, event); }
  void operator()(const ClientGone& event) { state_.pending.erase(event.id); }
  void operator()(const Plan& event) { internal::on_plan(state_, event); }
  void operator()(const StreamStarted&) {}  // not used by any decision
  void operator()(const PeerMessage&) {}    // this router sends none and expects none

 private:
  RouterState& state_;
};

// Events of the same time may arrive in several calls; the pause before that time is the same for all of
// them.
void begin_batch(RouterState& state, Micros at) {
  internal::TimerState& timers = state.timers;
  if (at > state.now) {
    bool is_late = timers.is_tick_set && at - timers.tick_due_at > state.spans.silence_limit;
    timers.paused = is_late ? at - state.now : Micros(0);
  }
  state.now = std::max(state.now, at);
  state.actions.clear();
  timers.tick_fired = false;
}

// Checks the members with an attempt or a probe in flight, and stops watching those that have none.
void check_watched_members(RouterState& state) {
  auto watched = std::move(state.watched_members);
  state.watched_members.clear();
  for (Member* member : watched) {
    member->is_watched = false;
    internal::cancel_and_retry(state, *member);
    internal::check_responsiveness(state, *member);
    if (member->probing.sent_at != internal::kNever || !member->in_flight.empty()) state.watch(*member);
  }
}

// Iterates by index because a decision may add groups to the list.
void decide_groups(RouterState& state) {
  state.timers.wake_at = state.now + state.spans.tick;
  for (std::size_t i = 0; i < state.groups_to_decide.size(); ++i)
    internal::decide_group(state, *state.groups_to_decide[i]);
  state.groups_to_decide.clear();
}

void set_timers(RouterState& state) {
  internal::TimerState& timers = state.timers;
  Micros next_tick = state.now + state.spans.tick;
  bool has_work = !state.pending.empty() || !state.watched_members.empty();
  if (has_work && !std::exchange(timers.is_tick_set, true)) {
    state.actions.emplace_back(SetTimer{kTickTimer, state.spans.tick});
    timers.tick_due_at = next_tick;
  }
  bool is_wake_pending = timers.wake_due_at > state.now && timers.wake_due_at <= timers.wake_at;
  if (timers.wake_at >= next_tick || is_wake_pending) return;
  state.actions.emplace_back(SetTimer{kWakeTimer, std::max(timers.wake_at - state.now, state.settings.step)});
  timers.wake_due_at = timers.wake_at;
}

}  // namespace

struct Router::State : RouterState {
  using RouterState::RouterState;
};

Router::Router(Settings settings, std::uint64_t seed)
    : state_((validate(settings), std::make_unique<State>(std::move(settings), seed))) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

std::vector<Action> Router::handle(Micros now, const std::vector<Event>& events) {
  RouterState& state = *state_;
  begin_batch(state, now);
  EventDispatcher dispatcher(state);
  for (const Event& event : events) std::visit(dispatcher, event);
  if (state.timers.tick_fired) check_watched_members(state);
  decide_groups(state);
  if (state.settings.poll_discovery && !std::exchange(state.subscribed, true))
    state.actions.emplace_back(Subscribe{});
  set_timers(state);
  return std::move(state.actions);
}

void Router::share_sessions(Micros now, bool is_shared) {
  state_->sessions.set_shared(std::max(now, state_->now), is_shared);
}

std::size_t Router::member_count() const { return state_->members.size(); }

double Router::surplus_capacity(MemberId member) const { return internal::surplus_capacity(*state_, member); }

}  // namespace request_router
