#include "endpoint_list/endpoint_overlay.h"

#include <algorithm>
#include <utility>

namespace database_proxy::endpoint_list {
namespace {

using discovery::Endpoint;
using discovery::EndpointListUpdate;
using discovery::Lifecycle;
using discovery::UpdateSource;

// The time of an earlier notice whose exact time is not known. The grace period may then be too short, which
// is safe.
constexpr Micros kUnknownNoticeTime{0};

}  // namespace

bool EndpointOverlay::is_cordoned(const std::string& id) const {
  auto found = cordons_.find(id);
  return found != cordons_.end() && found->second.is_cordoned;
}

// Returns whether a mark for the server can be stored. Marks of uncordoned servers are kept, because an older
// mark of another process would restore the cordon. If all slots are used, the mark of the server that was
// uncordoned first is removed.
bool EndpointOverlay::reserve_cordon_slot(const std::string& id) {
  if (cordons_.contains(id) || cordons_.size() < kMaxCordonMarks) return true;
  auto oldest = cordons_.end();
  for (auto mark = cordons_.begin(); mark != cordons_.end(); ++mark) {
    if (mark->second.is_cordoned) continue;
    if (oldest == cordons_.end() || mark->second.changed_at < oldest->second.changed_at) oldest = mark;
  }
  if (oldest == cordons_.end()) return false;
  cordons_.erase(oldest);
  return true;
}

bool EndpointOverlay::is_unavailable_elsewhere(const std::string& id) const {
  return newer_view_ && !newer_view_->usable.contains(id);
}

Endpoint EndpointOverlay::apply_overlay(const std::string& id, const Listed& listed) const {
  auto endpoint = listed.endpoint;
  endpoint.notified_at = listed.notified_at;
  auto mark_draining = [&endpoint](Micros notified_at) {
    if (endpoint.lifecycle == Lifecycle::kUp) endpoint.lifecycle = Lifecycle::kDraining;
    endpoint.notified_at = std::min(endpoint.notified_at.value_or(notified_at), notified_at);
  };
  if (is_unavailable_elsewhere(id)) mark_draining(kUnknownNoticeTime);
  auto cordon = cordons_.find(id);
  if (cordon == cordons_.end()) return endpoint;
  if (cordon->second.is_cordoned)
    mark_draining(cordon->second.changed_at);
  else  // it may have been restarted at any time until it was uncordoned
    endpoint.uncordoned_at = cordon->second.changed_at;
  return endpoint;
}

void EndpointOverlay::record(const Endpoint& endpoint, const std::map<std::string, Listed>& before,
                             Micros notice) {
  Listed listed{endpoint, std::nullopt};
  auto known = before.find(endpoint.id);
  bool was_notified = known != before.end() && known->second.notified_at;
  if (endpoint.lifecycle != Lifecycle::kUp)
    listed.notified_at = was_notified ? known->second.notified_at : notice;
  listed_[endpoint.id] = std::move(listed);
}

// Generations of different discovery services are not comparable.
bool EndpointOverlay::is_comparable(const EndpointListView& view) const {
  return service_.empty() || view.service.empty() || service_ == view.service;
}

// Drops the other process's view if this process's list is at least as new or comes from a different
// discovery service. A complete list that was just received from discovery also supersedes the view, as the
// service may have begun to count anew.
void EndpointOverlay::drop_outdated_view(const EndpointListUpdate& update) {
  bool is_fresh = update.source != UpdateSource::kConfiguration;
  if (!newer_view_) return;
  bool supersedes_view = update.generation >= newer_view_->generation || (update.reset && is_fresh);
  if (supersedes_view || !is_comparable(*newer_view_)) newer_view_.reset();
}

std::set<std::string> EndpointOverlay::unavailable_elsewhere() const {
  std::set<std::string> ids;
  for (auto& [id, listed] : listed_)
    if (is_unavailable_elsewhere(id)) ids.insert(id);
  return ids;
}

EndpointListUpdate EndpointOverlay::apply_to(EndpointListUpdate update, Micros now) {
  auto were_unavailable = unavailable_elsewhere();
  service_ = update.service;
  generation_ = update.generation;
  drop_outdated_view(update);
  auto before = update.reset ? std::exchange(listed_, {}) : listed_;
  auto notice = update.source == UpdateSource::kOpenWatch ? now : kUnknownNoticeTime;
  for (auto& endpoint : update.endpoints) {
    record(endpoint, before, notice);
    endpoint = apply_overlay(endpoint.id, listed_.at(endpoint.id));
    were_unavailable.erase(endpoint.id);
    if (endpoint.lifecycle == Lifecycle::kRemoved) listed_.erase(endpoint.id);
  }
  for (auto& id : were_unavailable)
    if (!update.reset && !is_unavailable_elsewhere(id)) add_change(id, &update);
  return update;
}

void EndpointOverlay::add_change(const std::string& id, EndpointListUpdate* change) const {
  change->generation = generation_;
  if (auto found = listed_.find(id); found != listed_.end())
    change->endpoints.push_back(apply_overlay(id, found->second));
}

EndpointOverlay::Result EndpointOverlay::set_cordon(const std::string& id, bool is_cordoned, Micros now,
                                                    EndpointListUpdate* change) {
  bool was_cordoned = this->is_cordoned(id);
  bool is_known = listed_.contains(id) || was_cordoned;
  if (!is_known) return Result::kUnknownServer;
  if (was_cordoned == is_cordoned) return Result::kUnchanged;
  if (!reserve_cordon_slot(id)) return Result::kTooMany;
  auto& mark = cordons_[id];
  mark.changed_at = std::max(now, mark.changed_at + Micros(1));
  mark.is_cordoned = is_cordoned;
  add_change(id, change);
  return Result::kDone;
}

std::optional<EndpointOverlay::Merge> EndpointOverlay::merge_cordons(const CordonMarks& marks) {
  Merge merge;
  for (auto& [id, mark] : marks) {
    auto known = cordons_.find(id);
    bool is_later = known == cordons_.end() || known->second.changed_at < mark.changed_at;
    if (!is_later || !reserve_cordon_slot(id)) continue;
    cordons_[id] = mark;
    merge.accepted[id] = mark;
    add_change(id, &merge.change);
  }
  if (merge.accepted.empty()) return std::nullopt;
  merge.change.generation = generation_;
  return merge;
}

std::optional<EndpointListUpdate> EndpointOverlay::add_view(const EndpointListView& view) {
  bool is_newest = view.generation > (newer_view_ ? newer_view_->generation : generation_);
  if (!is_newest || !is_comparable(view)) return std::nullopt;
  auto were_unavailable = unavailable_elsewhere();
  newer_view_ = view;
  EndpointListUpdate change;
  change.generation = generation_;
  for (auto& [id, listed] : listed_)
    if (is_unavailable_elsewhere(id) != were_unavailable.contains(id)) add_change(id, &change);
  return change;
}

EndpointListView EndpointOverlay::view() const {
  if (newer_view_) return *newer_view_;
  EndpointListView view;
  view.service = service_;
  view.generation = generation_;
  for (auto& [id, listed] : listed_)
    if (listed.endpoint.lifecycle == Lifecycle::kUp) view.usable.insert(id);
  return view;
}

bool EndpointOverlay::is_last_of_group(const std::string& id) const {
  auto found = listed_.find(id);
  if (found == listed_.end()) return false;
  return std::none_of(listed_.begin(), listed_.end(), [&](auto& entry) {
    auto endpoint = apply_overlay(entry.first, entry.second);
    return endpoint.id != id && endpoint.shard_group == found->second.endpoint.shard_group &&
           endpoint.lifecycle == Lifecycle::kUp;
  });
}

}  // namespace database_proxy::endpoint_list
