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

bool linearizable(std::vector<Operation> ops, bool* gave_up, std::size_t most_states) {
  if (gave_up) *gave_up = false;
  // A write that nobody knows the end of and nobody read need not have happened.
  std::set<std::string> read;
  for (auto& o : ops)
    if (!o.write) read.insert(o.value);
  std::erase_if(ops,
                [&](auto& o) { return o.answered == Micros::max() && (!o.write || !read.count(o.value)); });
  std::sort(ops.begin(), ops.end(), [](auto& a, auto& b) { return a.called < b.called; });
  // Depth first (Wing and Gong, 1993) over sets of operations done, as a string of the first that is not and
  // of those done beyond it, and the value that stands.
  struct State {
    std::size_t first;              // all before are done
    std::vector<std::size_t> done;  // beyond, in order
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
    if (seen.size() > most_states) {
      if (gave_up) *gave_up = true;
      return false;
    }
    // The next may be any that was called before the first answer of those not done.
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

void Holds::saw(Micros at, const std::string& node, const std::string& job, std::uint64_t token) {
  ++samples_;
  auto [it, fresh] = spans_[job].try_emplace(token, Span{at, at, node});
  it->second.first = std::min(it->second.first, at);
  it->second.last = std::max(it->second.last, at);
}

std::uint64_t Holds::overlapping() const {
  std::uint64_t count = 0;
  for (auto& [job, spans] : spans_)
    for (auto a = spans.begin(); a != spans.end(); ++a)
      for (auto b = std::next(a); b != spans.end(); ++b)
        if (a->second.last > b->second.first && a->second.node != b->second.node) ++count;
  return count;
}

Verdict judge(const std::vector<nlohmann::json>& events) {
  Verdict v;
  std::map<std::string, std::vector<Operation>> registers;
  std::map<std::string, std::string> last_words;
  std::set<std::string> written;
  Holds holds;
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
        ++v.acknowledged;
        written.insert(key);
      }
      if (e.value("last", false)) last_words[key] = o.value;
      ++v.operations;
      registers[key].push_back(std::move(o));
    } else if (what == "sample") {
      auto node = e.at("node").get<std::string>();
      auto at = Micros(e.at("clock_us").get<std::int64_t>());
      ++v.samples;
      for (auto& h : e.at("holds")) holds.saw(at, node, h.at(0), h.at(1).get<std::uint64_t>());
      if (e.contains("leads")) {
        auto [it, fresh] = leaders.emplace(e.at("leads").get<std::uint64_t>(), node);
        if (!fresh && it->second != node) ++v.two_leaders_in_a_term;
      }
      if (e.value("anew", false)) std::erase_if(follows, [&](auto& f) { return f.first.first == node; });
      for (auto& p : e.at("published")) {
        auto& before = follows[{node, p.at(0).get<std::string>()}];
        auto token = p.at(1).get<std::uint64_t>();
        if (token < before) ++v.stale_effects_accepted;
        before = token;
      }
    }
  }
  for (auto& [key, word] : last_words) v.lost += word.empty() && written.count(key);
  for (auto& [key, operations] : registers) {
    bool gave_up = false;
    if (!linearizable(operations, &gave_up))
      ++(gave_up ? v.registers_not_decided : v.registers_without_order);
  }
  v.owners_overlapping = holds.overlapping();
  return v;
}

nlohmann::json to_json(const Verdict& v) {
  return {{"acknowledged", v.acknowledged},
          {"lost", v.lost},
          {"operations_checked", v.operations},
          {"linearizable", v.registers_without_order == 0},
          {"registers_not_decided", v.registers_not_decided},
          {"samples", v.samples},
          {"owners_overlapping", v.owners_overlapping},
          {"two_leaders_in_a_term", v.two_leaders_in_a_term},
          {"stale_effects_accepted", v.stale_effects_accepted}};
}

std::vector<nlohmann::json> read_history(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(fmt::format("cannot read {}", path));
  std::vector<nlohmann::json> events;
  std::string line;
  while (std::getline(file, line)) {
    auto event = nlohmann::json::parse(line, nullptr, false);
    if (!event.is_object() || !event.contains("what"))
      throw std::runtime_error(fmt::format("{}: line {} is no event", path, events.size() + 1));
    events.push_back(std::move(event));
  }
  return events;
}

}  // namespace database_proxy::testbench::faults
