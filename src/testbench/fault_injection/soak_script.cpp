#include "testbench/fault_injection/soak_script.h"

#include <algorithm>
#include <iterator>
#include <random>

namespace database_proxy::testbench {
namespace {

using nlohmann::json;

// Call faults that a process must survive without losing a request, with their highest rates.
constexpr CallFaultRate kCallFaultChoices[] = {
    {CallFault::kShortRead, 4},      {CallFault::kShortWrite, 4}, {CallFault::kInterrupted, 4},
    {CallFault::kAccept, 4},         {CallFault::kSocket, 8},     {CallFault::kConnect, 20},
    {CallFault::kDelayedWrite, 500}, {CallFault::kDiskFull, 2},   {CallFault::kFileError, 2},
    {CallFault::kTruncatedWrite, 4}, {CallFault::kSlowOpen, 20},
};

constexpr std::int64_t kHourUs = 3'600'000'000, kSecondUs = 1'000'000;

class ScriptGenerator {
 public:
  explicit ScriptGenerator(std::uint64_t seed) : random_(seed) {}

  int between(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }
  bool one_in(int count) { return between(1, count) == 1; }

  ProcessFault process_fault() {
    if (!one_in(3)) return ProcessFault::kNone;
    return one_in(2) ? ProcessFault::kKilled : ProcessFault::kStopped;
  }

  PlannedUpgrade upgrade() {
    PlannedUpgrade plan;
    plan.pause_ms = between(50, 900);
    plan.successor = process_fault();
    plan.successor_fault_after_ms = between(0, 400);
    plan.has_second_successor = one_in(5);
    if (plan.successor == ProcessFault::kNone) plan.old_process = process_fault();
    plan.stopped_ms = between(100, 900);
    plan.sigterms = one_in(4) ? 2 : 1;
    plan.sighups = one_in(3) ? between(1, 8) : 0;
    int faults = between(0, 2);
    for (int i = 0; i < faults; ++i) {
      auto fault = kCallFaultChoices[between(0, static_cast<int>(std::size(kCallFaultChoices)) - 1)];
      fault.one_in *= static_cast<std::uint32_t>(between(1, 4));
      plan.call_faults.push_back(fault);
    }
    if (one_in(4))
      plan.wall_clock_step_us = (one_in(2) ? kHourUs : kSecondUs * between(1, 9)) * (one_in(2) ? 1 : -1);
    return plan;
  }

  // Cordons and uncordons a server repeatedly, sometimes with a duplicate cordon or a cordon of an unknown
  // server.
  void cordons(const std::string& server, int length_ms, std::vector<PlannedCall>* calls) {
    auto add = [&](int at_ms, CallKind kind, const std::string& id, bool is_known) {
      calls->push_back({at_ms, kind, id, is_known, one_in(2)});
    };
    constexpr int kUncordonPropagationMs = 1200;
    for (int at = between(200, 2500); at < length_ms;) {
      add(at, CallKind::kCordon, server, true);
      if (one_in(3)) add(at + between(1, 300), CallKind::kCordon, server, true);
      if (one_in(6)) add(at, CallKind::kCordon, "nobody", false);
      at += between(900, 3000);
      add(at, CallKind::kUncordon, server, true);
      int pause_ms = between(600, 3000);
      if (pause_ms > kUncordonPropagationMs)
        add(at + kUncordonPropagationMs, CallKind::kRepeatUncordon, server, true);
      at += pause_ms;
    }
  }

  // Adds one random fault of a server and the action that ends it.
  void server_fault(const std::string& server, int at_ms, bool may_restart,
                    std::vector<PlannedAction>* actions) {
    int until_ms = at_ms + between(200, 1500);
    auto add = [&](int when, json action) { actions->push_back({when, std::move(action)}); };
    switch (between(0, may_restart ? 3 : 2)) {
      case 3:
        add(at_ms, {{"do", "kill"}, {"server", server}});
        return add(until_ms, {{"do", "start"}, {"server", server}});
      case 0:
        add(at_ms, {{"do", "silence"}, {"server", server}});
        return add(until_ms, {{"do", "speak"}, {"server", server}});
      case 1:
        add(at_ms, {{"do", "slow"}, {"server", server}, {"times", 20}});
        return add(until_ms, {{"do", "slow"}, {"server", server}, {"times", 1}});
      default:
        add(at_ms, {{"do", "fail"}, {"server", server}, {"share", 0.3}});
        return add(until_ms, {{"do", "fail"}, {"server", server}, {"share", 0}});
    }
  }

 private:
  std::mt19937_64 random_;
};

json to_json(const PlannedUpgrade& plan) {
  json faults = json::array();
  for (auto& fault : plan.call_faults) faults.push_back({static_cast<int>(fault.fault), fault.one_in});
  return {{"pause_ms", plan.pause_ms},
          {"successor", static_cast<int>(plan.successor)},
          {"successor_fault_after_ms", plan.successor_fault_after_ms},
          {"has_twin", plan.has_second_successor},
          {"old_process", static_cast<int>(plan.old_process)},
          {"stopped_ms", plan.stopped_ms},
          {"terms", plan.sigterms},
          {"hups", plan.sighups},
          {"call_faults", faults},
          {"wall_clock_step_us", plan.wall_clock_step_us}};
}

PlannedUpgrade upgrade_from(const json& value) {
  PlannedUpgrade plan;
  plan.pause_ms = value.at("pause_ms");
  plan.successor = static_cast<ProcessFault>(value.at("successor").get<int>());
  plan.successor_fault_after_ms = value.at("successor_fault_after_ms");
  plan.has_second_successor = value.at("has_twin");
  plan.old_process = static_cast<ProcessFault>(value.at("old_process").get<int>());
  plan.stopped_ms = value.at("stopped_ms");
  plan.sigterms = value.at("terms");
  plan.sighups = value.at("hups");
  for (auto& fault : value.at("call_faults"))
    plan.call_faults.push_back({static_cast<CallFault>(fault.at(0).get<int>()), fault.at(1)});
  plan.wall_clock_step_us = value.at("wall_clock_step_us");
  return plan;
}

}  // namespace

SoakScript generate_script(std::uint64_t seed, int nodes, int seconds, const std::string& primary,
                           const std::vector<std::string>& replicas) {
  constexpr int kMaxUpgrades = 40;  // of one node: more than fit into the run time
  constexpr int kMillisPerSecond = 1000;
  ScriptGenerator generator(seed);
  SoakScript script;
  script.seed = seed;
  script.seconds = seconds;
  script.has_idle_clients = generator.one_in(4);
  for (int node = 0; node < nodes; ++node) {
    auto& plans = script.nodes.emplace_back();
    for (int i = 0; i < kMaxUpgrades; ++i) plans.push_back(generator.upgrade());
  }
  // A server that restarts while discovery is down may be overloaded by proxies that cannot know that it is
  // warming up. The rules allow that, but the fake servers cannot detect the case. Each seed therefore has
  // either server restarts or discovery outages.
  bool has_outages = generator.one_in(2);
  int length_ms = seconds * kMillisPerSecond;
  // Faults of one server must not overlap: the end of one would also end the other.
  for (auto& server : replicas)
    for (int at = generator.between(300, 3000); at < length_ms - 2500; at += generator.between(2000, 5000))
      generator.server_fault(server, at, !has_outages, &script.actions);
  for (int at = generator.between(500, 4000); has_outages && at < length_ms - 3000;
       at += generator.between(4000, 8000)) {
    script.actions.push_back({at, {{"do", "discovery"}, {"mute", true}}});
    script.actions.push_back({at + generator.between(300, 2500), {{"do", "discovery"}, {"mute", false}}});
  }
  // The first replica is never drained or cordoned, so that reads have a server to go to.
  std::vector<std::string> cordonable{primary};
  cordonable.insert(cordonable.end(), replicas.begin() + 1, replicas.end());
  auto drained =
      cordonable[static_cast<std::size_t>(generator.between(0, static_cast<int>(cordonable.size()) - 1))];
  for (int at = generator.between(300, 3000); at < length_ms - 1500; at += generator.between(800, 3000)) {
    script.actions.push_back({at, {{"do", "drain"}, {"server", drained}}});
    at += generator.between(500, 2500);
    script.actions.push_back({at, {{"do", "list-up"}, {"server", drained}}});
  }
  for (int node = 0; node < nodes; ++node) {
    auto& calls = script.calls.emplace_back();
    for (auto& server : cordonable)
      if (generator.one_in(2)) generator.cordons(server, length_ms, &calls);
    std::stable_sort(calls.begin(), calls.end(),
                     [](auto& left, auto& right) { return left.at_ms < right.at_ms; });
  }
  std::stable_sort(script.actions.begin(), script.actions.end(),
                   [](auto& left, auto& right) { return left.at_ms < right.at_ms; });
  return script;
}

json script_to_json(const SoakScript& script) {
  json nodes = json::array(), actions = json::array();
  for (auto& plans : script.nodes) {
    auto& node = nodes.emplace_back(json::array());
    for (auto& plan : plans) node.push_back(to_json(plan));
  }
  json calls = json::array();
  for (auto& planned : script.calls) {
    auto& node = calls.emplace_back(json::array());
    for (auto& call : planned)
      node.push_back({call.at_ms, static_cast<int>(call.kind), call.server, call.is_known, call.at_newest});
  }
  for (auto& action : script.actions) actions.push_back({{"at_ms", action.at_ms}, {"action", action.action}});
  return {{"seed", script.seed},
          {"seconds", script.seconds},
          {"has_crowd", script.has_idle_clients},
          {"nodes", nodes},
          {"calls", calls},
          {"actions", actions}};
}

SoakScript script_from_json(const json& json) {
  SoakScript script;
  script.seed = json.at("seed");
  script.seconds = json.at("seconds");
  script.has_idle_clients = json.at("has_crowd");
  for (auto& node : json.at("nodes")) {
    auto& plans = script.nodes.emplace_back();
    for (auto& plan : node) plans.push_back(upgrade_from(plan));
  }
  for (auto& planned : json.at("calls")) {
    auto& calls = script.calls.emplace_back();
    for (auto& call : planned)
      calls.push_back(
          {call.at(0), static_cast<CallKind>(call.at(1).get<int>()), call.at(2), call.at(3), call.at(4)});
  }
  for (auto& action : json.at("actions")) script.actions.push_back({action.at("at_ms"), action.at("action")});
  return script;
}

}  // namespace database_proxy::testbench
