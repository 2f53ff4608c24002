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

// What a step needs beside `do`: n a node, t the other end, m milliseconds, b bytes, s words for the
// stand-in; in capitals where it may be left out.
const std::map<std::string, std::string> kSteps = {
    {"wait", "m"},        {"kill", "n"},  {"start", "n"},  {"pause", "n"},        {"resume", "n"},
    {"terminate", "n"},   {"empty", "n"}, {"tear", "n"},   {"limit-files", "nb"}, {"slow-disk", "nm"},
    {"cut", "nt"},        {"mute", "n"},  {"deafen", "n"}, {"isolate", "n"},      {"shape", "ntMBS"},
    {"reset-links", "n"}, {"heal", ""},   {"steer", "s"},  {"settle", ""}};
constexpr std::int64_t kLongestMs = 600'000;  // of one step: a script is not to hang for ever

const std::map<char, const char*> kKeys = {{'n', "node"},  {'t', "to"},    {'m', "ms"},
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
      if (!j.is_object() || !j.contains("do") || !j.at("do").is_string()) fail("no object with 'do'");
      Step step;
      step.what = j.at("do").get<std::string>();
      auto kind = kSteps.find(step.what);
      if (kind == kSteps.end()) fail(fmt::format("'{}' is not known", step.what));
      std::set<std::string> may{"do"};
      for (char c : kind->second) {
        auto known = kKeys.find(c);
        bool must = c >= 'a' && c <= 'z';
        auto* key = known != kKeys.end() ? known->second : kKeys.at(static_cast<char>(c - 'A' + 'a'));
        may.insert(key);
        if (!j.contains(key)) {
          if (must) fail(fmt::format("'{}' needs '{}'", step.what, key));
          continue;
        }
        auto& value = j.at(key);
        auto number = [&] {
          if (!value.is_number_integer() || value.get<std::int64_t>() < 0)
            fail(fmt::format("'{}' is no whole number from 0", key));
          return value.get<std::int64_t>();
        };
        auto word = [&] {
          if (!value.is_string() || value.get<std::string>().empty())
            fail(fmt::format("'{}' is no name", key));
          return value.get<std::string>();
        };
        std::string k = key;
        if (k == "node") step.node = word();
        if (k == "to") step.to = word();
        if (k == "ms") step.ms = number();
        if (k == "bytes") step.bytes = number();
        if (k == "stall_after") step.stall_after = number();
        if (k == "steer") step.steer = value;
      }
      for (auto& [key, value] : j.items())
        if (!may.count(key)) fail(fmt::format("'{}' has no '{}'", step.what, key));
      if (step.ms > kLongestMs) fail(fmt::format("more than {} ms", kLongestMs));
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

std::string play(Rig& rig, const Fault& fault, std::string* victim) {
  std::string first, words;
  auto all = rig.all();
  auto who = [&](const std::string& name) {
    std::string found = name;
    if (name == "leader") found = rig.leader();
    if (name.starts_with("owner ")) found = rig.owner(name.substr(6));
    if (name == "victim") found = first;
    if (name == "other") {
      found.clear();
      auto leader = rig.leader();
      for (auto& voter : rig.voters())
        if (voter != first && (found.empty() || found == leader)) found = voter;
    }
    if (!std::count(all.begin(), all.end(), found))
      throw std::runtime_error(fmt::format("script: there is no {} now", name));
    return found;
  };
  for (auto& s : fault) {
    auto node = s.node.empty() ? "" : who(s.node), to = s.to.empty() ? "" : who(s.to);
    if (first.empty()) first = node;
    words += fmt::format("{}{}{}", words.empty() ? "" : ", ", s.what, s.node.empty() ? "" : " " + s.node);
    if (s.what == "wait") std::this_thread::sleep_for(std::chrono::milliseconds(s.ms));
    if (s.what == "kill") rig.kill(node);
    if (s.what == "start") rig.start(node);
    if (s.what == "pause") rig.pause(node);
    if (s.what == "resume") rig.resume(node);
    if (s.what == "terminate") rig.terminate(node);
    if (s.what == "empty") rig.empty_directory(node);
    if (s.what == "tear") rig.tear_directory(node);
    if (s.what == "limit-files") rig.limit_files(node, static_cast<std::uint64_t>(s.bytes));
    if (s.what == "slow-disk") rig.slow_disk(node, static_cast<int>(s.ms));
    if (s.what == "cut") rig.cut(node, to);
    if (s.what == "mute") rig.mute(node);
    if (s.what == "deafen") rig.deafen(node);
    if (s.what == "isolate") rig.isolate(node);
    if (s.what == "reset-links") rig.reset_links(node);
    if (s.what == "heal") rig.heal();
    if (s.what == "steer") rig.stand_in().control(s.steer);
    if (s.what == "settle" && !rig.soon([&] { return !rig.leader().empty(); }))
      throw std::runtime_error("script: no leader was elected");
    if (s.what == "shape") {
      LinkState state;
      state.delay = Micros(s.ms * 1000);
      state.bytes_per_second = s.bytes;
      state.stall_after = s.stall_after;
      rig.shape(node, to, state);
    }
  }
  if (victim && !first.empty()) *victim = first;
  return words;
}

}  // namespace database_proxy::testbench::faults
