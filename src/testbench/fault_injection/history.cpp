#include "testbench/fault_injection/history.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <stdexcept>
#include <unordered_set>

#include "testbench/report.h"

namespace database_proxy::testbench::faults {

void History::add(const std::string& what, nlohmann::json event) {
  std::lock_guard lock(mutex_);
  event["at_ms"] = static_cast<double>(now().count()) / 1000;
  event["what"] = what;
  events_.push_back(std::move(event));
}

std::vector<nlohmann::json> History::events() const {
  std::lock_guard lock(mutex_);
  auto all = events_;
  std::stable_sort(all.begin(), all.end(), [](auto& a, auto& b) {
    return a.at("at_ms").template get<double>() < b.at("at_ms").template get<double>();
  });
  return all;
}

void History::write(const std::string& path) const {
  std::string text;
  for (auto& e : events()) text += e.dump() + "\n";
  write_file_atomically(path, text);
}

bool linearizable(std::vector<Operation> ops, bool* gave_up, std::size_t max_states) {
  if (gave_up) *gave_up = false;
  // A write with an unknown outcome whose value was never read can be left out, as can a read with an unknown
  // outcome.
  std::set<std::string> read;
  for (auto& o : ops)
    if (!o.write) read.insert(o.value);
  std::erase_if(ops,
                [&](auto& o) { return o.answered == Micros::max() && (!o.write || !read.count(o.value)); });
  std::sort(ops.begin(), ops.end(), [](auto& a, auto& b) { return a.called < b.called; });
  // Depth-first search (Wing and Gong, 1993) over sets of operations done. The key of a state is a string of
  // the first operation that is not done, those done after it, and the current value.
  struct State {
    std::size_t first;              // all operations before it are done
    std::vector<std::size_t> done;  // those done after `first`, in order
    std::string value;
  };
  auto key = [](const State& s) {
    std::string k = std::to_string(s.first);
    for (auto d : s.done) k += "," + std::to_string(d);
    return k + "|" + s.value;
  };
  std::unordered_set<std::string> seen;
  std::vector<State> stack{{0, {}, ""}};
  while (!stack.empty()) {
    auto s = std::move(stack.back());
    stack.pop_back();
    while (!s.done.empty() && s.done.front() == s.first) {
      s.done.erase(s.done.begin());
      ++s.first;
    }
    if (s.first == ops.size()) return true;
    if (!seen.insert(key(s)).second) continue;
    if (seen.size() > max_states) {
      if (gave_up) *gave_up = true;
      return false;
    }
    // The next operation can be any that was called before the earliest answer of those not done.
    Micros bound = Micros::max();
    for (std::size_t i = s.first; i < ops.size() && ops[i].called <= bound; ++i)
      if (!std::binary_search(s.done.begin(), s.done.end(), i)) bound = std::min(bound, ops[i].answered);
    for (std::size_t i = s.first; i < ops.size() && ops[i].called <= bound; ++i) {
      if (std::binary_search(s.done.begin(), s.done.end(), i)) continue;
      if (!ops[i].write && ops[i].value != s.value) continue;
      State next = s;
      next.done.insert(std::upper_bound(next.done.begin(), next.done.end(), i), i);
      if (ops[i].write) next.value = ops[i].value;
      stack.push_back(std::move(next));
    }
  }
  return false;
}

void LeaseHoldSamples::add_sample(Micros at, const std::string& node, const std::string& job,
                                  std::uint64_t token) {
  ++samples_;
  auto [it, inserted] = spans_[job].try_emplace(token, Span{at, at, node});
  it->second.first = std::min(it->second.first, at);
  it->second.last = std::max(it->second.last, at);
}

std::uint64_t LeaseHoldSamples::overlapping() const {
  std::uint64_t count = 0;
  for (auto& [job, spans] : spans_)
    for (auto a = spans.begin(); a != spans.end(); ++a)
      for (auto b = std::next(a); b != spans.end(); ++b)
        if (a->second.last > b->second.first && a->second.node != b->second.node) ++count;
  return count;
}

HistoryCheckResult check_history(const std::vector<nlohmann::json>& events) {
  HistoryCheckResult result;
  std::map<std::string, std::vector<Operation>> registers;
  std::map<std::string, std::string> final_values;
  std::set<std::string> written;
  LeaseHoldSamples holds;
  std::map<std::uint64_t, std::string> leaders;                          // by term
  std::map<std::pair<std::string, std::string>, std::uint64_t> follows;  // node, job: token
  for (auto& e : events) {
    auto what = e.at("what").get<std::string>();
    if (what == "call") {
      auto key = e.at("key").get<std::string>();
      Operation o;
      o.write = e.at("write").get<bool>();
      o.value = e.at("value").get<std::string>();
      o.called = Micros(e.at("called_us").get<std::int64_t>());
      if (e.contains("answered_us")) o.answered = Micros(e.at("answered_us").get<std::int64_t>());
      if (o.write && o.answered != Micros::max()) {
        ++result.acknowledged;
        written.insert(key);
      }
      if (e.value("last", false)) final_values[key] = o.value;
      ++result.operations;
      registers[key].push_back(std::move(o));
    } else if (what == "sample") {
      auto node = e.at("node").get<std::string>();
      auto at = Micros(e.at("clock_us").get<std::int64_t>());
      ++result.samples;
      for (auto& h : e.at("holds")) holds.add_sample(at, node, h.at(0), h.at(1).get<std::uint64_t>());
      if (e.contains("leads")) {
        auto [it, inserted] = leaders.emplace(e.at("leads").get<std::uint64_t>(), node);
        if (!inserted && it->second != node) ++result.two_leaders_in_a_term;
      }
      if (e.value("anew", false)) std::erase_if(follows, [&](auto& f) { return f.first.first == node; });
      for (auto& p : e.at("published")) {
        auto& before = follows[{node, p.at(0).get<std::string>()}];
        auto token = p.at(1).get<std::uint64_t>();
        if (token < before) ++result.stale_effects_accepted;
        before = token;
      }
    }
  }
  for (auto& [key, value] : final_values) result.lost += value.empty() && written.count(key);
  for (auto& [key, operations] : registers) {
    bool gave_up = false;
    if (!linearizable(operations, &gave_up))
      ++(gave_up ? result.registers_not_decided : result.non_linearizable_registers);
  }
  result.owners_overlapping = holds.overlapping();
  return result;
}

nlohmann::json to_json(const HistoryCheckResult& result) {
  return {{"acknowledged", result.acknowledged},
          {"lost", result.lost},
          {"operations_checked", result.operations},
          {"linearizable", result.non_linearizable_registers == 0},
          {"registers_not_decided", result.registers_not_decided},
          {"samples", result.samples},
          {"owners_overlapping", result.owners_overlapping},
          {"two_leaders_in_a_term", result.two_leaders_in_a_term},
          {"stale_effects_accepted", result.stale_effects_accepted}};
}

std::vector<nlohmann::json> read_history(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(fmt::format("cannot read {}", path));
  std::vector<nlohmann::json> events;
  std::string line;
  while (std::getline(file, line)) {
    auto event = nlohmann::json::parse(line, nullptr, false);
    if (!event.is_object() || !event.contains("what"))
      throw std::runtime_error(fmt::format("{}: line {} is not an event", path, events.size() + 1));
    events.push_back(std::move(event));
  }
  return events;
}

}  // namespace database_proxy::testbench::faults
