#include "ownership/lease_registry.h"

#include <nlohmann/json.hpp>

namespace database_proxy::ownership {
namespace {

using nlohmann::json;

std::string packed(const json& j) {
  std::string out;
  json::to_cbor(j, out);
  return out;
}

json::binary_t bytes(const std::string& text) {
  return json::binary_t(std::vector<std::uint8_t>(text.begin(), text.end()));
}
std::string text_of(const json& j) {
  auto& b = j.get_binary();
  return std::string(b.begin(), b.end());
}

}  // namespace

std::string encode(const Command& command) {
  struct Writer {
    json operator()(const Grant& g) const {
      return {{"c", "grant"}, {"job", g.job}, {"owner", g.owner}, {"after", g.after}};
    }
    json operator()(const Release& r) const { return {{"c", "release"}, {"job", r.job}, {"token", r.token}}; }
    json operator()(const Publish& p) const {
      return {{"c", "publish"},
              {"job", p.job},
              {"token", p.token},
              {"version", p.version},
              {"data", bytes(p.data)}};
    }
    json operator()(const SetConfigurationEntry& p) const {
      return {{"c", "put"}, {"key", p.key}, {"value", p.value}};
    }
  };
  return packed(std::visit(Writer{}, command));
}

std::optional<Command> decode(const std::string& text) try {
  auto j = json::from_cbor(text);
  auto& what = j.at("c").get_ref<const std::string&>();
  if (what == "grant")
    return Grant{j.at("job").get<std::string>(), j.at("owner").get<std::string>(),
                 j.at("after").get<Token>()};
  if (what == "release") return Release{j.at("job").get<std::string>(), j.at("token").get<Token>()};
  if (what == "publish")
    return Publish{j.at("job").get<std::string>(), j.at("token").get<Token>(),
                   j.at("version").get<std::uint64_t>(), text_of(j.at("data"))};
  if (what == "put")
    return SetConfigurationEntry{j.at("key").get<std::string>(), j.at("value").get<std::string>()};
  return std::nullopt;
} catch (const json::exception&) {
  return std::nullopt;
}

LeaseRegistry::ApplyResult LeaseRegistry::apply(std::uint64_t index, const Command& command, Token* granted) {
  if (auto* put = std::get_if<SetConfigurationEntry>(&command)) {
    if (put->value.empty())
      settings_.erase(put->key);
    else
      settings_[put->key] = put->value;
    return ApplyResult::kDone;
  }
  if (auto* grant = std::get_if<Grant>(&command)) {
    auto& job = jobs_[grant->job];
    if (job.token != grant->after) return ApplyResult::kVoid;
    job.owner = grant->owner;
    job.token = index;
    if (granted) *granted = index;
    return ApplyResult::kDone;
  }
  if (auto* release = std::get_if<Release>(&command)) {
    auto it = jobs_.find(release->job);
    if (it == jobs_.end() || it->second.token != release->token) return ApplyResult::kVoid;
    it->second.owner.clear();
    return ApplyResult::kDone;
  }
  auto& publish = std::get<Publish>(command);
  auto& job = jobs_[publish.job];
  if (publish.token < job.token && !flaw_token_not_compared) {
    ++stale_;
    return ApplyResult::kStale;
  }
  if (publish.token > job.token) return ApplyResult::kVoid;  // nobody was granted that
  job.published_by = publish.token;
  job.version = publish.version;
  job.data = publish.data;
  return ApplyResult::kDone;
}

const JobState* LeaseRegistry::job(const std::string& name) const {
  auto it = jobs_.find(name);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::string LeaseRegistry::encode() const {
  json jobs = json::array();
  for (auto& [name, h] : jobs_)
    jobs.push_back({{"job", name},
                    {"owner", h.owner},
                    {"token", h.token},
                    {"by", h.published_by},
                    {"version", h.version},
                    {"data", bytes(h.data)}});
  return packed({{"v", 1}, {"jobs", jobs}, {"settings", settings_}, {"stale", stale_}});
}

std::optional<LeaseRegistry> LeaseRegistry::decode(const std::string& text) try {
  LeaseRegistry ledger;
  if (text.empty()) return ledger;
  auto j = json::from_cbor(text);
  for (auto& one : j.at("jobs")) {
    auto& h = ledger.jobs_[one.at("job").get<std::string>()];
    h.owner = one.at("owner").get<std::string>();
    h.token = one.at("token").get<Token>();
    h.published_by = one.at("by").get<Token>();
    h.version = one.at("version").get<std::uint64_t>();
    h.data = text_of(one.at("data"));
  }
  ledger.settings_ = j.at("settings").get<std::map<std::string, std::string>>();
  ledger.stale_ = j.at("stale").get<std::uint64_t>();
  return ledger;
} catch (const json::exception&) {
  return std::nullopt;
}

}  // namespace database_proxy::ownership
