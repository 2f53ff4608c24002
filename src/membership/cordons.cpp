#include "membership/cordons.h"

#include <algorithm>

namespace linenwinch::membership {

discovery::MemberInfo Cordons::seen(const discovery::MemberInfo& told) const {
  auto m = told;
  auto it = marks_.find(m.id);
  if (it == marks_.end()) return m;
  auto& mark = it->second;
  m.cordoned = mark.out;
  // While it was out it may have been started again at any moment, up to the last. A start that the list
  // tells since then is the true one.
  if (!mark.out && mark.back_ms > 0 && m.started_at_ms < mark.since_ms) m.started_at_ms = mark.back_ms;
  return m;
}

discovery::MemberUpdate Cordons::lay_over(discovery::MemberUpdate update) {
  generation_ = update.generation;
  if (update.reset) list_.clear();
  for (auto& m : update.members) {
    if (m.lifecycle == discovery::Lifecycle::kRemoved)
      list_.erase(m.id);
    else
      list_[m.id] = m;
    m = seen(m);
  }
  // An id that has left the list keeps its cordon, since it may return; once put back, nothing is to be kept.
  std::erase_if(marks_, [&](auto& entry) { return !entry.second.out && !list_.count(entry.first); });
  return update;
}

Cordons::Said Cordons::set(const std::string& id, bool out, std::int64_t now_us, std::int64_t now_ms,
                           discovery::MemberUpdate* changed) {
  auto it = marks_.find(id);
  bool is_out = it != marks_.end() && it->second.out;
  if (!listed(id) && (out || !is_out)) return is_out ? Said::kAlready : Said::kUnknown;
  if (is_out == out) return Said::kAlready;
  if (it == marks_.end() && marks_.size() >= kMostMarks) return Said::kTooMany;
  auto& mark = marks_[id];
  mark.stamp = std::max(now_us, mark.stamp + 1);
  mark.out = out;
  (out ? mark.since_ms : mark.back_ms) = now_ms;
  changed->generation = generation_;
  if (auto told = list_.find(id); told != list_.end()) changed->members.push_back(seen(told->second));
  return Said::kDone;
}

std::optional<discovery::MemberUpdate> Cordons::merge(const Marks& marks) {
  discovery::MemberUpdate changed;
  changed.generation = generation_;
  bool any = false;
  for (auto& [id, mark] : marks) {
    auto it = marks_.find(id);
    if (it != marks_.end() ? it->second.stamp >= mark.stamp : marks_.size() >= kMostMarks) continue;
    marks_[id] = mark;
    any = true;
    if (auto told = list_.find(id); told != list_.end()) changed.members.push_back(seen(told->second));
  }
  if (!any) return std::nullopt;
  return changed;
}

bool Cordons::last_of_its_set(const std::string& id) const {
  auto it = list_.find(id);
  if (it == list_.end()) return false;
  return std::none_of(list_.begin(), list_.end(), [&](auto& entry) {
    auto& m = entry.second;
    return m.id != id && m.cell == it->second.cell && m.lifecycle == discovery::Lifecycle::kUp &&
           !seen(m).cordoned;
  });
}

}  // namespace linenwinch::membership
