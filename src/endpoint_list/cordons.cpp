#include "endpoint_list/cordons.h"

#include <algorithm>

namespace database_proxy::endpoint_list {

using discovery::Endpoint;
using discovery::EndpointListUpdate;
using discovery::Lifecycle;

bool Cordons::is_cordoned(const std::string& id) const {
  auto found = marks_.find(id);
  return found != marks_.end() && found->second.is_cordoned;
}

Endpoint Cordons::overlaid(Endpoint endpoint) const {
  auto found = marks_.find(endpoint.id);
  if (found == marks_.end()) return endpoint;
  if (found->second.is_cordoned) {
    if (endpoint.lifecycle == Lifecycle::kUp) endpoint.lifecycle = Lifecycle::kDraining;
    endpoint.notified_at = found->second.changed_at;
  }
  // While it was out it may have been restarted at any moment up to the last.
  if (!found->second.is_cordoned) endpoint.reinstated_at = found->second.changed_at;
  return endpoint;
}

EndpointListUpdate Cordons::apply_to(EndpointListUpdate update) {
  generation_ = update.generation;
  if (update.reset) listed_.clear();
  for (auto& endpoint : update.members) {
    if (endpoint.lifecycle == Lifecycle::kRemoved)
      listed_.erase(endpoint.id);
    else
      listed_[endpoint.id] = endpoint;
    endpoint = overlaid(endpoint);
  }
  // A cordon outlives a server's absence, since it may return; a mark that it was put back does not.
  std::erase_if(marks_,
                [&](auto& mark) { return !mark.second.is_cordoned && !listed_.contains(mark.first); });
  return update;
}

void Cordons::add_change(const std::string& id, EndpointListUpdate* change) const {
  change->generation = generation_;
  if (auto found = listed_.find(id); found != listed_.end())
    change->members.push_back(overlaid(found->second));
}

Cordons::Result Cordons::set(const std::string& id, bool is_cordoned, Micros now,
                             EndpointListUpdate* change) {
  bool was_cordoned = this->is_cordoned(id);
  bool is_known = listed_.contains(id) || was_cordoned;
  if (!is_known) return Result::kUnknownServer;
  if (was_cordoned == is_cordoned) return Result::kUnchanged;
  if (!marks_.contains(id) && marks_.size() >= kMostCordonMarks) return Result::kTooMany;
  auto& mark = marks_[id];
  mark.changed_at = std::max(now, mark.changed_at + Micros(1));
  mark.is_cordoned = is_cordoned;
  add_change(id, change);
  return Result::kDone;
}

std::optional<Cordons::Merge> Cordons::merge(const CordonMarks& marks) {
  Merge merge;
  for (auto& [id, mark] : marks) {
    auto known = marks_.find(id);
    bool is_later =
        known == marks_.end() ? marks_.size() < kMostCordonMarks : known->second.changed_at < mark.changed_at;
    if (!is_later) continue;
    marks_[id] = mark;
    merge.taken_over[id] = mark;
    add_change(id, &merge.change);
  }
  if (merge.taken_over.empty()) return std::nullopt;
  merge.change.generation = generation_;
  return merge;
}

bool Cordons::is_last_of_group(const std::string& id) const {
  auto found = listed_.find(id);
  if (found == listed_.end()) return false;
  return std::none_of(listed_.begin(), listed_.end(), [&](auto& entry) {
    auto& endpoint = entry.second;
    return endpoint.id != id && endpoint.cell == found->second.cell && endpoint.lifecycle == Lifecycle::kUp &&
           !is_cordoned(endpoint.id);
  });
}

}  // namespace database_proxy::endpoint_list
