#include "decision_fingerprint.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

#include "decision_deployment.h"

namespace request_router::test {
namespace {

using namespace std::chrono_literals;

// One seed in this many runs long enough to fill every table.
constexpr std::uint64_t kLongSeedInterval = 100;
constexpr std::uint64_t kLongSeedEvents = 140000;  // of a long run: over 20,000 writes of different sessions
constexpr std::uint64_t kSampleEvery = 64;         // batches between two samples of the public queries

class Fnv1a {
 public:
  explicit Fnv1a(std::ostream* text) : text_(text) {}
  void line(const std::string& content) {
    for (unsigned char byte : content) fold(byte);
    fold('\n');
    if (text_) *text_ << content << '\n';
  }
  std::uint64_t value() const { return value_; }

 private:
  void fold(unsigned char byte) { value_ = (value_ ^ byte) * 0x100000001b3; }
  std::uint64_t value_ = 0xcbf29ce484222325;
  std::ostream* text_;
};

std::string join(std::initializer_list<std::int64_t> fields) {
  std::string joined;
  for (auto field : fields) joined += (joined.empty() ? "" : " ") + std::to_string(field);
  return joined;
}

struct ActionText {
  static std::int64_t number(std::uint64_t value) { return static_cast<std::int64_t>(value); }
  std::string operator()(const Send& action) const {
    return join({0, number(action.id), action.member, action.timeout.count(), action.start_within.count()});
  }
  std::string operator()(const Cancel& action) const { return join({1, number(action.id), action.attempt}); }
  std::string operator()(const Reject& action) const {
    return join({2, number(action.id), action.retry_after.count()});
  }
  std::string operator()(const Fail& action) const { return join({3, number(action.id)}); }
  std::string operator()(const Probe& action) const { return join({4, action.member}); }
  std::string operator()(const SetTimer& action) const {
    return join({5, number(action.key), action.after.count()});
  }
  std::string operator()(const Subscribe&) const { return "6"; }
  std::string operator()(const Log& action) const { return "7 " + action.text; }
};

class Simulation : private SimulatedDeployment {
 public:
  Simulation(std::uint64_t seed, std::ostream* text)
      : SimulatedDeployment(seed * 0x2545f4914f6cdd1d + 1, seed % kLongSeedInterval == 0), hash_(text) {
    result_.seed = seed;
    settings_ = draw_settings(random_);
    if (long_run_) configure_long_run();
    draw_deployment();
  }

  DecisionFingerprint run() {
    Router router(settings_, random_.next());
    router_ = &router;
    schedule(now_, Task::kCreateRequests);
    schedule(now_ + 50ms, Task::kChangeDeployment);
    if (!settings_.poll_discovery || random_.half()) deliver({full_list(ListKind::kCached)});
    std::uint64_t most = long_run_ ? kLongSeedEvents : kMinEvents;
    while (result_.counts.all_events() < most) step();
    sample();
    result_.events = result_.counts.all_events();
    result_.actions = result_.counts.all_actions();
    result_.hash = hash_.value();
    return result_;
  }

 private:
  // Configures a long run: each request belongs to a session of its own, and most are writes, until the
  // router has dropped the positions of sessions.
  void configure_long_run() {
    settings_.client_carries_write_age = false;
    settings_.classes.resize(2);
    settings_.classes[0].level = ReadLevel::kWrite;
    settings_.classes[1].level = ReadLevel::kSession;
    settings_.classes[1].effect = Effect::kPure;
    settings_.classes[0].deadline = settings_.classes[0].latency_objective * 4;
    settings_.max_attempts = 4;
    settings_.routers = 1;
    settings_.answers_carry_position = true;
    settings_.list_role = ListRole::kInitial;
  }

  // ---- simulated time ----------------------------------------------------------------------------------

  // Delivers all due events in batches of random size, possibly several at the same time. After a simulated
  // pause of the router, the accumulated events are delivered at once and timers fire late.
  void step() {
    now_ = std::max(now_, scheduled_.top().at);
    if (random_.permille(2)) now_ += random_.between(20ms, 2500ms);
    if (random_.permille(250)) now_ += random_.between(0ms, 4ms);
    std::vector<Event> batch;
    std::int64_t most = random_.pick({1, 1, 2, 5, 40});
    while (!scheduled_.empty() && scheduled_.top().at <= now_) {
      ScheduledItem next = scheduled_.top();
      scheduled_.pop();
      if (next.task != Task::kNone)
        run_task(next.task, batch);
      else if (prepare_for_delivery(next.event))
        batch.push_back(std::move(next.event));
      if (static_cast<std::int64_t>(batch.size()) >= most) deliver(std::exchange(batch, {}));
    }
    if (!batch.empty() || random_.permille(20)) deliver(batch);
  }

  void deliver(const std::vector<Event>& batch) {
    for (auto& event : batch) {
      ++result_.counts.events[event.index()];
      if (auto* outcome = std::get_if<Outcome>(&event))
        ++result_.counts.statuses[static_cast<std::size_t>(outcome->status)];
      if (auto* request = std::get_if<Request>(&event))
        ++result_.counts.levels[static_cast<std::size_t>(settings_.classes[request->request_class].level)];
      if (auto* list = std::get_if<MemberList>(&event))
        ++result_.counts.lists[static_cast<std::size_t>(list->kind)];
    }
    hash_.line("@ " + join({now_.count(), static_cast<std::int64_t>(batch.size())}));
    for (auto& action : router_->handle(now_, batch)) {
      ++result_.counts.actions[action.index()];
      hash_.line(std::visit(ActionText{}, action));
      std::visit([this](auto& kind) { execute(kind); }, action);
    }
    if (++batches_ % kSampleEvery == 0) sample();
  }

  void sample() {
    std::string line = "# " + std::to_string(router_->member_count());
    for (auto& [id, member] : members_)
      line += " " + std::to_string(std::llround(router_->surplus_capacity(id)));
    hash_.line(line);
  }

  void run_task(Task task, std::vector<Event>& batch) {
    if (task == Task::kCreateRequests) {
      bool burst = random_.permille(8);
      for (auto count = burst ? random_.between(5, 60) : 1; count > 0; --count)
        batch.emplace_back(new_request(false));
      schedule(now_ + Micros(1) +
                   mean_request_interval_ * request_interval_percent_ * random_.between(0, 2000) / 100000,
               Task::kCreateRequests);
    } else if (task == Task::kChangeDeployment) {
      change_deployment(batch);
      schedule(now_ + Micros(1) + mean_change_interval_ * random_.between(100, 1900) / 1000,
               Task::kChangeDeployment);
    } else if (task == Task::kSendList) {
      batch.emplace_back(next_list());
    }
  }

  // ---- clients -----------------------------------------------------------------------------------------

  Request new_request(bool retry) {
    Request request;
    request.id = ++last_request_;
    request.request_class =
        static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(settings_.classes.size())));
    if (long_run_ && random_.permille(800)) request.request_class = 0;
    auto& request_class = settings_.classes[request.request_class];
    request.group = random_.permille(5) ? 999 : random_.below(groups_);
    if (long_run_) request.key = request.id;
    if (!long_run_ && random_.permille(800)) request.key = static_cast<std::uint64_t>(random_.below(40));
    if (random_.permille(700)) request.write_age = random_.half() ? Micros(0) : random_.between(1ms, 400ms);
    request.expires =
        now_ + request_class.deadline * (random_.permille(800) ? 1000 : random_.between(50, 1000)) / 1000;
    request.retry = retry;
    request.tenant =
        static_cast<int>(random_.below(static_cast<std::int64_t>(settings_.tenants.size()) + 1)) - 1;
    requests_[request.id] = {request.request_class, request.group, 0, request.expires, false};
    if (random_.permille(25))
      schedule(now_ + random_.between(Micros(0), request_class.deadline), ClientGone{request.id});
    return request;
  }

  // ---- actions -----------------------------------------------------------------------------------------

  void execute(const Send& action) {
    auto& request = requests_[action.id];
    auto& member = members_[action.member];
    Outcome outcome;
    outcome.id = action.id;
    outcome.attempt = request.attempts++;
    outcome.member = action.member;
    ++member.in_flight;
    attempts_in_flight_[{outcome.id, outcome.attempt}] = {action.member, now_};
    auto [status, after] = answer(member, request, action);
    outcome.status = status;
    // An attempt that exceeds the timeout set by the router ends when that timeout expires.
    if (after >= action.timeout) {
      outcome.status = status == Status::kNotStarted ? status : Status::kTimedOut;
      after = action.timeout;
    }
    if (outcome.status == Status::kSuccess && random_.permille(60))
      schedule(now_ + after / 2, StreamStarted{outcome.id, outcome.attempt});
    schedule(now_ + std::max(after, Micros(1)), outcome);
  }

  std::pair<Status, Micros> answer(SimulatedMember& member, const SimulatedRequest& request,
                                   const Send& action) {
    auto& request_class = settings_.classes[request.request_class];
    Micros short_delay = random_.between(Micros(200), 2ms);
    if (member.health == Health::kRefusing) return {Status::kUnreachable, short_delay};
    if (member.health == Health::kUnresponsive || random_.permille(member.lost_permille))
      return {Status::kTimedOut, action.timeout};
    if (random_.permille(member.not_started_permille))
      return {Status::kNotStarted, std::clamp(action.start_within, short_delay, Micros(1000ms))};
    if (random_.permille(member.broken_permille)) return {Status::kBroken, short_delay * 2};
    if (member.in_flight > member.capacity * 3) return {Status::kOverloaded, short_delay};
    if (random_.permille(member.failure_permille)) return {Status::kFailure, short_delay};
    bool needs_primary = request_class.level == ReadLevel::kWrite ||
                         (request_class.level == ReadLevel::kFresh && members_check_lag());
    if (needs_primary && !member.primary) return {Status::kDeclined, short_delay};
    Micros tail = random_.permille(60) ? member.service_time * random_.between(2, 12) : Micros(0);
    Micros weight = member.service_time *
                    (request_class.latency_objective / settings_.classes[0].latency_objective + 1) / 2;
    Micros duration = weight * random_.between(300, 1700) / 1000 + tail;
    duration = duration * (member.capacity + member.in_flight) / member.capacity;
    if (members_check_lag() && request_class.level == ReadLevel::kBounded && !member.primary &&
        member.lag > request_class.bound) {
      Micros excess_lag = member.lag - request_class.bound;
      if (excess_lag > settings_.catch_up_timeout)
        return {Status::kDeclined, settings_.catch_up_timeout + short_delay};
      duration += excess_lag;
    }
    return {Status::kSuccess, duration};
  }
  bool members_check_lag() const { return settings_.lag_check != LagCheck::kOff; }

  void execute(const Cancel& action) {
    auto found = attempts_in_flight_.find({action.id, action.attempt});
    if (found == attempts_in_flight_.end() || random_.permille(200))
      return;  // too late: the attempt ends as it would have without the cancellation
    Outcome outcome;
    outcome.id = action.id;
    outcome.attempt = action.attempt;
    outcome.member = found->second.member;
    outcome.status = Status::kCancelled;
    schedule(now_ + random_.between(Micros(1), 3ms), outcome);
  }
  void execute(const Reject& action) { schedule_client_retry(action.retry_after); }
  void execute(const Fail&) { schedule_client_retry(0ms); }
  void schedule_client_retry(Micros after) {
    if (!random_.permille(200)) return;
    Request retry = new_request(true);
    schedule(now_ + after + random_.between(1ms, 50ms), retry);
  }
  void execute(const Probe& action) {
    ProbeResult result;
    result.member = action.member;
    Health health = members_[action.member].health;
    result.ok = health == Health::kUp && !random_.permille(15);
    result.taken = random_.between(Micros(200), random_.permille(100) ? Micros(60ms) : Micros(4ms));
    schedule(now_ + (health == Health::kUnresponsive ? 500ms : result.taken), result);
  }
  void execute(const SetTimer& action) {
    Micros late = random_.permille(50) ? random_.between(1ms, 150ms) : Micros(0);
    schedule(now_ + action.after + late, TimerFired{action.key});
  }
  void execute(const Subscribe&) {
    Event reply =
        random_.permille(300) ? Event(MemberList{ListKind::kFailed, {}}) : Event(full_list(ListKind::kFull));
    schedule(now_ + random_.between(5ms, 60ms), std::move(reply));
  }
  void execute(const Log&) {}

  // ---- delivery of events ------------------------------------------------------------------------------

  // Fills in the event from the state at the time of delivery. Returns false if it must no longer be
  // delivered.
  bool prepare_for_delivery(Event& event) {
    if (auto* outcome = std::get_if<Outcome>(&event)) return complete(*outcome);
    if (auto* result = std::get_if<ProbeResult>(&event)) {
      if (result->ok && settings_.report_mode == ReportMode::kOnProbe)
        result->report = report(result->member);
    } else if (auto* gone = std::get_if<ClientGone>(&event)) {
      requests_[gone->id].client_is_gone = true;
    } else if (auto* request = std::get_if<Request>(&event)) {
      request->expires = std::max(request->expires, now_ + 1ms);
    }
    return true;
  }

  bool complete(Outcome& outcome) {
    auto found = attempts_in_flight_.find({outcome.id, outcome.attempt});
    if (found == attempts_in_flight_.end()) return false;  // the attempt was cancelled and has already ended
    auto& member = members_[outcome.member];
    --member.in_flight;
    if (random_.permille(850)) outcome.taken = now_ - found->second.sent_at;
    attempts_in_flight_.erase(found);
    auto& request = requests_[outcome.id];
    outcome.closed = outcome.status == Status::kSuccess
                         ? random_.permille(950)
                         : request.client_is_gone || now_ >= request.expires || random_.permille(10);
    bool answered = outcome.status == Status::kSuccess || outcome.status == Status::kFailure ||
                    outcome.status == Status::kDeclined || outcome.status == Status::kOverloaded;
    if (!answered) return true;
    if (random_.permille(settings_.answers_carry_position ? 900 : 300))
      outcome.role = member.primary ? Role::kPrimary : Role::kReplica;
    if (settings_.answers_carry_position) outcome.position = position(member);
    if (settings_.report_mode == ReportMode::kInline && random_.permille(900))
      outcome.report = report(outcome.member);
    return true;
  }

  Fnv1a hash_;
  DecisionFingerprint result_;
  Router* router_ = nullptr;
  std::uint64_t batches_ = 0;
  std::map<RequestId, SimulatedRequest> requests_;
  std::map<std::pair<RequestId, int>, SimulatedAttempt> attempts_in_flight_;
};

}  // namespace

std::uint64_t DecisionCounts::all_events() const {
  return std::accumulate(events.begin(), events.end(), std::uint64_t{0});
}

std::uint64_t DecisionCounts::all_actions() const {
  return std::accumulate(actions.begin(), actions.end(), std::uint64_t{0});
}

void DecisionCounts::add(const DecisionCounts& other) {
  auto add_all = [](auto& sums, const auto& more) {
    for (std::size_t index = 0; index < sums.size(); ++index) sums[index] += more[index];
  };
  add_all(events, other.events);
  add_all(actions, other.actions);
  add_all(statuses, other.statuses);
  add_all(levels, other.levels);
  add_all(lists, other.lists);
}

DecisionFingerprint decision_fingerprint(std::uint64_t seed, std::ostream* text) {
  return Simulation(seed, text).run();
}

}  // namespace request_router::test
