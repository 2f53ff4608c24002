#include "endpoint_list/endpoint_overlay.h"

#include <algorithm>
#include <utility>

namespace database_proxy::endpoint_list {
namespace {

using discovery::Endpoint;
using discovery::EndpointListUpdate;
using discovery::Lifecycle;
using discovery::UpdateSource;

// The time of a notice of which only is known that it was given before. A grace that is too short is safe.
constexpr Micros kLongAgo{0};

}  // namespace

bool EndpointOverlay::is_cordoned(const std::string& id) const {
  auto found = cordons_.find(id);
  return found != cordons_.end() && found->second.is_cordoned;
}

// A cordon that was lifted is remembered, since an older mark of another process would bring it back; the one
// that was lifted first is forgotten when there is no other room.
bool EndpointOverlay::has_room_for_cordon(const std::string& id) {
  if (cordons_.contains(id) || cordons_.size() < kMostCordonMarks) return true;
  auto oldest = cordons_.end();
  for (auto mark = cordons_.begin(); mark != cordons_.end(); ++mark) {
    if (mark->second.is_cordoned) continue;
    if (oldest == cordons_.end() || mark->second.changed_at < oldest->second.changed_at) oldest = mark;
  }
  if (oldest == cordons_.end()) return false;
  cordons_.erase(oldest);
  return true;
}

bool EndpointOverlay::is_out_elsewhere(const std::string& id) const {
  return newest_ && !newest_->usable.contains(id);
}

Endpoint EndpointOverlay::overlaid(const std::string& id, const Listed& listed) const {
  auto endpoint = listed.endpoint;
  endpoint.notified_at = listed.notified_at;
  auto take_out = [&endpoint](Micros notified_at) {
    if (endpoint.lifecycle == Lifecycle::kUp) endpoint.lifecycle = Lifecycle::kDraining;
    endpoint.notified_at = std::min(endpoint.notified_at.value_or(notified_at), notified_at);
  };
  if (is_out_elsewhere(id)) take_out(kLongAgo);
  auto cordon = cordons_.find(id);
  if (cordon == cordons_.end()) return endpoint;
  if (cordon->second.is_cordoned)
    take_out(cordon->second.changed_at);
  else  // while it was out it may have been restarted at any moment up to the last
    endpoint.reinstated_at = cordon->second.changed_at;
  return endpoint;
}

void EndpointOverlay::record(const Endpoint& endpoint, const std::map<std::string, Listed>& before,
                             Micros notice) {
  Listed listed{endpoint, std::nullopt};
  auto known = before.find(endpoint.id);
  bool was_out = known != before.end() && known->second.notified_at;
  if (endpoint.lifecycle != Lifecycle::kUp) listed.notified_at = was_out ? known->second.notified_at : notice;
  listed_[endpoint.id] = std::move(listed);
}

// Two services do not count alike.
bool EndpointOverlay::is_comparable(const EndpointListView& view) const {
  return service_.empty() || view.service.empty() || service_ == view.service;
}

// A list of this process that is as new says all that the view does; so does a whole one that is fresh, where
// the discovery service has begun to count anew.
void EndpointOverlay::drop_outdated_view(const EndpointListUpdate& update) {
  bool is_fresh = update.source != UpdateSource::kConfiguration;
  if (!newest_) return;
  bool says_all = update.generation >= newest_->generation || (update.reset && is_fresh);
  if (says_all || !is_comparable(*newest_)) newest_.reset();
}

std::set<std::string> EndpointOverlay::out_elsewhere() const {
  std::set<std::string> out;
  for (auto& [id, listed] : listed_)
    if (is_out_elsewhere(id)) out.insert(id);
  return out;
}

EndpointListUpdate EndpointOverlay::apply_to(EndpointListUpdate update, Micros now) {
  auto were_out = out_elsewhere();
  service_ = update.service;
  generation_ = update.generation;
  drop_outdated_view(update);
  auto before = update.reset ? std::exchange(listed_, {}) : listed_;
  auto notice = update.source == UpdateSource::kOpenWatch ? now : kLongAgo;
  for (auto& endpoint : update.members) {
    record(endpoint, before, notice);
    endpoint = overlaid(endpoint.id, listed_.at(endpoint.id));
    were_out.erase(endpoint.id);
    if (endpoint.lifecycle == Lifecycle::kRemoved) listed_.erase(endpoint.id);
  }
  for (auto& id : were_out)
    if (!update.reset && !is_out_elsewhere(id)) add_change(id, &update);
  return update;
}

void EndpointOverlay::add_change(const std::string& id, EndpointListUpdate* change) const {
  change->generation = generation_;
  if (auto found = listed_.find(id); found != listed_.end())
    change->members.push_back(overlaid(id, found->second));
}

EndpointOverlay::Result EndpointOverlay::set_cordon(const std::string& id, bool is_cordoned, Micros now,
                                                    EndpointListUpdate* change) {
  bool was_cordoned = this->is_cordoned(id);
  bool is_known = listed_.contains(id) || was_cordoned;
  if (!is_known) return Result::kUnknownServer;
  if (was_cordoned == is_cordoned) return Result::kUnchanged;
  if (!has_room_for_cordon(id)) return Result::kTooMany;
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
    if (!is_later || !has_room_for_cordon(id)) continue;
    cordons_[id] = mark;
    merge.taken_over[id] = mark;
    add_change(id, &merge.change);
  }
  if (merge.taken_over.empty()) return std::nullopt;
  merge.change.generation = generation_;
  return merge;
}

std::optional<EndpointListUpdate> EndpointOverlay::add_view(const EndpointListView& view) {
  bool is_newest = view.generation > (newest_ ? newest_->generation : generation_);
  if (!is_newest || !is_comparable(view)) return std::nullopt;
  auto were_out = out_elsewhere();
  newest_ = view;
  EndpointListUpdate change;
  change.generation = generation_;
  for (auto& [id, listed] : listed_)
    if (is_out_elsewhere(id) != were_out.contains(id)) add_change(id, &change);
  return change;
}

EndpointListView EndpointOverlay::view() const {
  if (newest_) return *newest_;
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
    auto endpoint = overlaid(entry.first, entry.second);
    return endpoint.id != id && endpoint.cell == found->second.endpoint.cell &&
           endpoint.lifecycle == Lifecycle::kUp;
  });
}

}  // namespace database_proxy::endpoint_list
