// The list of data servers where nobody owns that job: a voter asks the list service for all, and hands on
// what it hears. Which list is in force is decided in coldstart/lists.h.
#include <fmt/format.h>

#include "group/node.h"

namespace database_proxy::group {
namespace {

using net::Level;

std::int64_t unix_ms() {
  return std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
}

}  // namespace

// The list in force has changed, however it was heard.
void Node::in_force(bool anew) {
  known_ = lists_.list();
  known_published_ = lists_.source() == endpoint_list::Source::kGroup;
  if (prober_) prober_->servers(known_);
  primary_asked_.clear();
  hooks_.list(known_, anew);
}

// After a start this voter does not know yet what of its log is committed. The last list in it was said by
// the list service all the same, so it is as good as any copy: what can be served with it is served.
void Node::recall(const std::vector<consensus::Entry>& entries) {
  for (auto e = entries.rbegin(); e != entries.rend(); ++e) {
    if (e->type != consensus::EntryType::kCommand) continue;
    auto command = ownership::decode(e->data);
    auto* publish = command ? std::get_if<ownership::Publish>(&*command) : nullptr;
    if (!publish || publish->job != "list" || publish->data.empty()) continue;
    try {
      if (lists_.consider(endpoint_list::Source::kOwnCopy, options_.installation,
                          discovery::parse_endpoint_list(publish->data), 0))
        in_force(false);
    } catch (const std::invalid_argument&) {
      continue;  // an earlier one may do
    }
    return;
  }
}

// Nobody owns the job `list`, or nobody is heard of who does: this voter watches the list service for itself,
// the other voters and all their followers, so that hundreds need not.
void Node::ask_for_all(bool on) {
  if (!on) {
    orphan_watch_.reset();
    return;
  }
  auto address = net::parse_address(discovery_);
  std::optional<std::int64_t> from;
  orphan_list_.clear();
  if (lists_.any()) {
    from = known_.generation;
    for (auto& m : known_.members) orphan_list_[m.id] = m;
  }
  whole_lists_ += !from;
  orphan_watch_ = std::make_unique<discovery::Watch>(
      loop_, *address, discovery_, from, schedule_,
      [this](discovery::EndpointListUpdate update) { heard_alone(update); }, log_);
  orphan_watch_->start_now();
}

void Node::heard_alone(const discovery::EndpointListUpdate& update) {
  if (update.reset) orphan_list_.clear();
  for (auto& m : update.members) {
    if (m.lifecycle == discovery::Lifecycle::kRemoved)
      orphan_list_.erase(m.id);
    else
      orphan_list_[m.id] = m;
  }
  orphan_heard_ = net::monotonic_now();
  discovery::EndpointListUpdate whole;
  whole.generation = update.generation;
  whole.reset = true;
  for (auto& [id, m] : orphan_list_) whole.members.push_back(m);
  if (lists_.consider(endpoint_list::Source::kService, options_.installation, std::move(whole), unix_ms())) {
    in_force(false);
    hand_on(nullptr);
  }
}

// Whole to one that lacks it, or to all after a change; the word that it still stands goes out twice a
// second.
void Node::hand_on(peers::Link* to) {
  json m = {{"t", "copy"},
            {"at", lists_.said_ms()},
            {"installation", options_.installation},
            {"list", discovery::endpoint_list_to_json(lists_.list()).dump()}};
  if (to) return void(to->send(m));
  spread(m, nullptr);
}

void Node::copy_stands() {
  if (!orphan_watch_ || orphan_heard_.count() == 0 || net::monotonic_now() - orphan_heard_ > kListKnown)
    return;
  spread({{"t", "copy-stands"}, {"generation", known_.generation}, {"at", unix_ms()}}, nullptr);
}

// From a voter above, or from another voter that asks for all.
void Node::copied(peers::Link& link, const json& m) {
  auto& t = m.at("t").get_ref<const std::string&>();
  if (t == "copy-please") {
    if (lists_.any()) hand_on(&link);
    return;
  }
  if (link.kind != "voter") return;
  if (t == "copy-stands") {
    if (Micros((unix_ms() - m.at("at").get<std::int64_t>()) * 1000) > options_.fallback) return;
    spread(m, &link);
    if (known_.generation >= m.at("generation").get<std::int64_t>() && lists_.any())
      list_heard_ = net::monotonic_now();
    else
      link.send({{"t", "copy-please"}});
    return;
  }
  try {
    auto list = discovery::parse_endpoint_list(m.at("list").get<std::string>());
    if (!lists_.consider(endpoint_list::Source::kPeer, m.at("installation").get<std::string>(),
                         std::move(list), m.at("at").get<std::int64_t>()))
      return;
    // One that was kept on a disk says nothing of today.
    if (Micros((unix_ms() - m.at("at").get<std::int64_t>()) * 1000) <= options_.fallback)
      list_heard_ = net::monotonic_now();
    in_force(false);
    spread(m, &link);
  } catch (const std::invalid_argument& e) {
    say(Level::kError, fmt::format("a copy of the list from {} cannot be read: {}", link.name, e.what()));
  }
}

}  // namespace database_proxy::group
