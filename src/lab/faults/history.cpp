#include "lab/faults/history.h"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <unordered_set>

#include "lab/report.h"

namespace linenwinch::lab::faults {

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
  write_whole(path, text);
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

}  // namespace linenwinch::lab::faults
