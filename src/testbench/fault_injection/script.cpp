#include "testbench/fault_injection/script.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <set>
#include <stdexcept>
#include <thread>

#include "testbench/fault_injection/rig.h"

namespace database_proxy::testbench::faults {
namespace {

// Parameters of each step besides `do`: n node, t other end of a link, m milliseconds, b bytes, s command for
// the fake servers. An upper-case letter stands for the same parameter as its lower-case form, but
// optional; S is stall_after.
const std::map<std::string, std::string> kStepParameters = {
    {"wait", "m"},        {"kill", "n"},  {"start", "n"},  {"pause", "n"},        {"resume", "n"},
    {"terminate", "n"},   {"empty", "n"}, {"tear", "n"},   {"limit-files", "nb"}, {"slow-disk", "nm"},
    {"cut", "nt"},        {"mute", "n"},  {"deafen", "n"}, {"isolate", "n"},      {"shape", "ntMBS"},
    {"reset-links", "n"}, {"heal", ""},   {"steer", "s"},  {"settle", ""}};
constexpr std::int64_t kMaxStepMs = 600'000;  // of one step, so that a script cannot hang forever

const std::map<char, const char*> kParameterKeys = {{'n', "node"},  {'t', "to"},    {'m', "ms"},
                                                    {'b', "bytes"}, {'s', "steer"}, {'S', "stall_after"}};

}  // namespace

Script parse_script(const nlohmann::json& text) {
  if (!text.is_array()) throw std::runtime_error("a script is an array of faults, each an array of steps");
  Script script;
  for (std::size_t f = 0; f < text.size(); ++f) {
    if (!text[f].is_array() || text[f].empty())
      throw std::runtime_error(fmt::format("script: fault {} is no array of steps", f + 1));
    Fault fault;
    for (std::size_t i = 0; i < text[f].size(); ++i) {
      auto& j = text[f][i];
      auto fail = [&](const std::string& why) {
        throw std::runtime_error(fmt::format("script: fault {}, step {}: {}", f + 1, i + 1, why));
      };
      if (!j.is_object() || !j.contains("do") || !j.at("do").is_string()) fail("not an object with 'do'");
      Step step;
      step.action = j.at("do").get<std::string>();
      auto kind = kStepParameters.find(step.action);
      if (kind == kStepParameters.end()) fail(fmt::format("'{}' is not known", step.action));
      std::set<std::string> allowed{"do"};
      for (char c : kind->second) {
        auto known = kParameterKeys.find(c);
        bool is_required = c >= 'a' && c <= 'z';
        auto* key = known != kParameterKeys.end() ? known->second
                                                  : kParameterKeys.at(static_cast<char>(c - 'A' + 'a'));
        allowed.insert(key);
        if (!j.contains(key)) {
          if (is_required) fail(fmt::format("'{}' needs '{}'", step.action, key));
          continue;
        }
        auto& value = j.at(key);
        auto number = [&] {
          if (!value.is_number_integer() || value.get<std::int64_t>() < 0)
            fail(fmt::format("'{}' is no whole number from 0", key));
          return value.get<std::int64_t>();
        };
        auto name = [&] {
          if (!value.is_string() || value.get<std::string>().empty())
            fail(fmt::format("'{}' is not a non-empty string", key));
          return value.get<std::string>();
        };
        std::string k = key;
        if (k == "node") step.node = name();
        if (k == "to") step.to = name();
        if (k == "ms") step.ms = number();
        if (k == "bytes") step.bytes = number();
        if (k == "stall_after") step.stall_after = number();
        if (k == "steer") step.control_command = value;
      }
      for (auto& [key, value] : j.items())
        if (!allowed.count(key)) fail(fmt::format("'{}' has no '{}'", step.action, key));
      if (step.ms > kMaxStepMs) fail(fmt::format("more than {} ms", kMaxStepMs));
      fault.push_back(std::move(step));
    }
    script.push_back(std::move(fault));
  }
  return script;
}

Script read_script(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(fmt::format("cannot read {}", path));
  auto text = nlohmann::json::parse(file, nullptr, false);
  if (text.is_discarded()) throw std::runtime_error(fmt::format("{} is not JSON", path));
  return parse_script(text);
}

std::string run_fault(FaultHarness& harness, const Fault& fault, std::string* victim) {
  std::string first, description;
  auto all = harness.all();
  auto resolve_node = [&](const std::string& name) {
    std::string found = name;
    if (name == "leader") found = harness.leader();
    if (name.starts_with("owner ")) found = harness.lease_holder(name.substr(6));
    if (name == "victim") found = first;
    if (name == "other") {
      found.clear();
      auto leader = harness.leader();
      for (auto& voter : harness.voters())
        if (voter != first && (found.empty() || found == leader)) found = voter;
    }
    if (!std::count(all.begin(), all.end(), found))
      throw std::runtime_error(fmt::format("script: there is no {} now", name));
    return found;
  };
  for (auto& s : fault) {
    auto node = s.node.empty() ? "" : resolve_node(s.node), to = s.to.empty() ? "" : resolve_node(s.to);
    if (first.empty()) first = node;
    description +=
        fmt::format("{}{}{}", description.empty() ? "" : ", ", s.action, s.node.empty() ? "" : " " + s.node);
    if (s.action == "wait") std::this_thread::sleep_for(std::chrono::milliseconds(s.ms));
    if (s.action == "kill") harness.kill(node);
    if (s.action == "start") harness.start(node);
    if (s.action == "pause") harness.pause(node);
    if (s.action == "resume") harness.resume(node);
    if (s.action == "terminate") harness.terminate(node);
    if (s.action == "empty") harness.empty_directory(node);
    if (s.action == "tear") harness.corrupt_store(node);
    if (s.action == "limit-files") harness.limit_file_size(node, static_cast<std::uint64_t>(s.bytes));
    if (s.action == "slow-disk") harness.set_sync_delay(node, static_cast<int>(s.ms));
    if (s.action == "cut") harness.cut(node, to);
    if (s.action == "mute") harness.block_outgoing(node);
    if (s.action == "deafen") harness.block_incoming(node);
    if (s.action == "isolate") harness.isolate(node);
    if (s.action == "reset-links") harness.reset_links(node);
    if (s.action == "heal") harness.heal();
    if (s.action == "steer") harness.fake_servers().control(s.control_command);
    if (s.action == "settle" && !harness.wait_until([&] { return !harness.leader().empty(); }))
      throw std::runtime_error("script: no leader was elected");
    if (s.action == "shape") {
      LinkState state;
      state.delay = Micros(s.ms * 1000);
      state.bytes_per_second = s.bytes;
      state.stall_after = s.stall_after;
      harness.shape(node, to, state);
    }
  }
  if (victim && !first.empty()) *victim = first;
  return description;
}

}  // namespace database_proxy::testbench::faults
