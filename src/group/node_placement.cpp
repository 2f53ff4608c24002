// The node's part in the plan of zones: observations on their way to the owner, the plan on its way to the
// proxy, and what operators ask. What is decided is decided in placement/plan.h.
#include <fmt/format.h>

#include <algorithm>

#include "group/node.h"
#include "placement/placement_codec.h"

namespace database_proxy::group {
namespace {

namespace pl = placement;
using namespace std::chrono_literals;
using net::Level;

constexpr const char* kJob = "placement";
constexpr Micros kAliveEvery = 500ms;
constexpr Micros kPublishAgain = 400ms;   // a plan that is not in the ledger yet is proposed again
constexpr std::size_t kMostWaiting = 64;  // operators that wait for their word to be committed

std::int64_t unix_ms() {
  return std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
}

}  // namespace

void Node::observed(pl::Observation seen) {
  auto at = unix_ms();
  mailbox_.post([this, seen = std::move(seen), at] {
    if (!options_.placement) return;
    if (placement_)
      return placement_->heard(options_.name, seen, Micros((unix_ms() - at) * 1000), net::monotonic_now());
    auto up = dialed_.find(upstream_);
    if (up != dialed_.end() && up->second.link)
      up->second.link->send({{"t", "seen"}, {"at", at}, {"o", pl::to_json(seen)}});
  });
}

// From a follower below, or the sum of another voter.
void Node::seen(peers::Link& link, const json& m) {
  if (!placement_) return;
  auto now = net::monotonic_now();
  auto observation = pl::observation_from_json(m.at("o"));
  if (m.at("t") == "sum") {
    if (link.kind == "voter") placement_->collected(link.name, std::move(observation), now);
    return;
  }
  placement_->heard(link.name, std::move(observation),
                    Micros((unix_ms() - m.at("at").get<std::int64_t>()) * 1000), now);
}

// Every half second, at each voter.
void Node::place() {
  place_timer_ = loop_.at(loop_.now() + kObserveEvery, [this] { place(); });
  auto now = net::monotonic_now();
  auto sum = placement_->sum(now);
  auto* job = lease_registry_.job(kJob);
  if (!lease_client_.holds(kJob, now)) {
    placement_->owns_no_more();
    to_plan_.reset();
    for (auto& asked : std::exchange(plan_asked_, {}))
      answer_tool(asked, {{"ok", false}, {"why", "this node owns the job placement no more"}});
    if (!job || job->owner.empty() || job->owner == options_.name) return;
    auto it = dialed_.find(job->owner);
    if (it != dialed_.end() && it->second.link && it->second.link->greeted)
      it->second.link->send({{"t", "sum"}, {"o", pl::to_json(sum)}});
    return;
  }
  placement_->collected(options_.name, std::move(sum), now);
  lease_client_.record_progress(kJob);
  publish_plan();
  if (!to_plan_)
    if (auto next = placement_->next(plan_, known_, now, unix_ms())) {
      to_plan_ = std::move(*next);
      publish_plan();
    }
  for (auto& zone : placement_->unknown())
    if (unknown_zones_.insert(zone).second)
      say(Level::kWarning,
          fmt::format("zone '{}' of data servers is in no region: it counts as far from all", zone));
  json alive = {{"t", "facts"},
                {"job", kJob},
                {"token", lease_client_.token(kJob)},
                {"number", plan_.number},
                {"at", unix_ms()}};
  if (lease_client_.holds(kJob, net::monotonic_now())) facts(alive, nullptr);
}

void Node::publish_plan() {
  if (!to_plan_) {
    if (plan_asked_.empty()) return;
    auto asked = std::move(plan_asked_.front());
    plan_asked_.erase(plan_asked_.begin());
    return placement_asked(asked);
  }
  auto now = net::monotonic_now();
  auto token = lease_client_.token(kJob);
  auto* job = lease_registry_.job(kJob);
  if (plan_.number >= to_plan_->number) {  // it is committed, or overtaken by another owner's
    to_plan_.reset();
    return publish_plan();
  }
  if (now - planned_at_ < kPublishAgain) return;
  planned_at_ = now;
  auto command = peers::bytes_of(
      ownership::encode(ownership::Publish{kJob, token, to_plan_->number, pl::to_json(*to_plan_).dump()}));
  if (!job || !lease_client_.holds(kJob, net::monotonic_now())) return;  // right before it goes
  to_leader(
      {{"t", "propose"}, {"node", options_.name}, {"via", options_.name}, {"ticket", 0}, {"cmd", command}});
}

// The ledger's plan is committed; only now does anybody act on it.
void Node::published_plan() {
  auto* job = lease_registry_.job(kJob);
  if (!options_.placement || !job || job->data.empty()) return;
  try {
    auto plan = pl::plan_from_json(json::parse(job->data));
    if (plan.number == plan_.number && follows_) return;
    for (auto& [zone, state] : plan.zones) {
      auto before = plan_.zones.find(zone);
      auto phase = before == plan_.zones.end() ? pl::Phase::kOpen : before->second.phase;
      if (phase != state.phase)
        say(Level::kInfo, fmt::format("plan {}: zone {} is {}{}", plan.number, zone, pl::text_of(state.phase),
                                      state.reason == pl::PhaseReason::kNone
                                          ? ""
                                          : fmt::format(" ({})", pl::text_of(state.reason))));
    }
    for (auto& [key, state] : plan.links)
      if (state.phase == pl::Phase::kClosed && !plan_.links.count(key))
        say(Level::kInfo,
            fmt::format("plan {}: clients of zone {} do not use zone {} (their way there is ill)",
                        plan.number, key.first, key.second));
    plan_ = std::move(plan);
    plan_heard_ = net::monotonic_now();
    follow(true);
    std::erase_if(plan_waiting_, [&](auto& w) {
      if (plan_.number < w.first) return false;
      answer_tool(w.second,
                  {{"ok", true}, {"plan", plan_.number}, {"takes_ms", w.second.value("takes_ms", 0)}});
      return true;
    });
  } catch (const json::exception& e) {
    say(Level::kError, fmt::format("the published plan cannot be read: {}", e.what()));
  }
}

void Node::follow(bool on) {
  bool first = following_ == 0 && !left_plan_;
  if (on && left_plan_)
    say(Level::kInfo, fmt::format("the group is heard of again: this proxy follows plan {}", plan_.number));
  if (!on && follows_)
    say(Level::kWarning, fmt::format("nothing is heard of plan {}: this proxy goes on alone", plan_.number));
  if (on && first) say(Level::kInfo, fmt::format("this proxy follows plan {}", plan_.number));
  left_plan_ = !on;
  follows_ = on;
  following_ = on ? plan_.number : 0;
  hooks_.plan(on ? std::optional(plan_) : std::nullopt);
}

// Cut off, this proxy keeps the last plan for a while, then goes on alone by its own rule.
void Node::watch_plan() {
  if (!options_.placement || plan_.number == 0) return;
  bool heard = net::monotonic_now() - plan_heard_ <= options_.placement->keep;
  if (heard != follows_) follow(heard);
}

// ---- operating it
// ------------------------------------------------------------------------------------------

// What any voter can tell: the committed plan.
json Node::plan_shown(const json& m) const {
  json answer = {{"t", "answer"}, {"ok", true}, {"plan", pl::to_json(plan_)}};
  auto* job = lease_registry_.job(kJob);
  answer["owner"] = job ? job->owner : "";
  answer["set"] = m.value("set", json());
  return answer;
}

json Node::placement_tool(const json& m) {
  auto what = m.value("what", "");
  json no = {{"t", "answer"}, {"ok", false}};
  if (!placement_) {
    no["why"] = "there is no section group.placement at this node";
    return no;
  }
  auto* job = lease_registry_.job(kJob);
  if (!job || job->owner.empty()) {
    if (what == "show" && plan_.number > 0) return plan_shown(m);
    no["why"] = "nobody owns the job placement now";
    return no;
  }
  if (job->owner == options_.name) return json();  // its own to answer
  auto it = dialed_.find(job->owner);
  if (it != dialed_.end() && it->second.link && it->second.link->greeted && it->second.link->send(m))
    return json(false);
  no["why"] = fmt::format("{}, which owns the job placement, is out of reach of this node", job->owner);
  return no;
}

// At the owner; the answer goes back the way the question came.
void Node::placement_asked(const json& m) {
  auto what = m.value("what", "");
  auto no = [&](const std::string& why) { answer_tool(m, {{"ok", false}, {"why", why}}); };
  if (!placement_ || !lease_client_.holds(kJob, net::monotonic_now()))
    return no("this node owns the job placement no more");
  if (what == "show" || what == "explain") {
    auto answer = plan_shown(m);
    auto& in = placement_->input();
    answer["asked"] = json::array();
    for (auto& [key, rate] : in.asked) answer["asked"].push_back({key.first, key.second, rate});
    answer["bears"] = json::array();
    for (auto& [key, supply] : in.supply) answer["bears"].push_back({key.first, key.second, supply.warm});
    answer["seen"] = pl::to_json(in.seen);
    return answer_tool(m, answer);
  }
  if (to_plan_) {  // another plan is on its way to be committed: after that one
    if (plan_asked_.size() >= kMostWaiting) return no("too many ask at once");
    return plan_asked_.push_back(m);
  }
  std::string why;
  std::optional<pl::Plan> next;
  auto on = m;
  if (what == "evacuate") {
    next = placement_->evacuate(plan_, m.value("zone", ""), m.value("force", false), &why);
    on["takes_ms"] = placement_->takes(false);
  } else if (what == "restore") {
    next = placement_->restore(plan_, m.value("zone", ""), &why);
    on["takes_ms"] = placement_->takes(true);
  } else if (what == "freeze" || what == "resume") {
    if (plan_.frozen == (what == "freeze"))
      return no(plan_.frozen ? "it is frozen already" : "it is not frozen");
    next = plan_;
    next->frozen = what == "freeze";
    ++next->number;
  } else {
    why = fmt::format("'{}' is not known", what);
  }
  if (!next) return no(why);
  if (plan_waiting_.size() >= kMostWaiting) return no("too many ask at once");
  say(Level::kInfo,
      fmt::format("plan {}: {} {}, asked by the operator", next->number, what, m.value("zone", "")));
  plan_waiting_.emplace_back(next->number, on);
  to_plan_ = std::move(*next);
  planned_at_ = Micros(0);
  publish_plan();
}

}  // namespace database_proxy::group
