#include "ownership/lease_registry.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>

#include "ownership/cbor.h"
#include "ownership/fencing_token_guard.h"
#include "ownership/lease_commands.h"

namespace database_proxy::ownership {

using nlohmann::json;

LeaseRegistry::ApplyResult LeaseRegistry::apply(std::uint64_t index, const Command& command, Token* granted) {
  if (const auto* entry = std::get_if<SetConfigurationEntry>(&command))
    return apply_configuration_entry(*entry);
  if (const auto* grant = std::get_if<Grant>(&command)) return apply_grant(index, *grant, granted);
  if (const auto* release = std::get_if<Release>(&command)) return apply_release(*release);
  return apply_publish(std::get<Publish>(command));
}

LeaseRegistry::ApplyResult LeaseRegistry::apply_configuration_entry(const SetConfigurationEntry& entry) {
  if (entry.value.empty())
    settings_.erase(entry.key);
  else
    settings_[entry.key] = entry.value;
  return ApplyResult::kApplied;
}

LeaseRegistry::ApplyResult LeaseRegistry::apply_grant(std::uint64_t index, const Grant& grant,
                                                      Token* granted) {
  auto& job = jobs_[grant.job];
  if (job.token != grant.previous_token) return ApplyResult::kNoEffect;
  job.lease_holder = grant.lease_holder;
  job.token = index;
  if (granted) *granted = index;
  return ApplyResult::kApplied;
}

LeaseRegistry::ApplyResult LeaseRegistry::apply_release(const Release& release) {
  auto it = jobs_.find(release.job);
  if (it == jobs_.end() || it->second.token != release.token) return ApplyResult::kNoEffect;
  it->second.lease_holder.clear();
  return ApplyResult::kApplied;
}

LeaseRegistry::ApplyResult LeaseRegistry::apply_publish(const Publish& publish) {
  auto& job = jobs_[publish.job];
  if (publish.token < job.token && !flaw_token_not_compared) {
    ++stale_publications_;
    return ApplyResult::kStale;
  }
  if (publish.token > job.token) return ApplyResult::kNoEffect;  // no grant has this token
  job.publisher_token = publish.token;
  job.version = publish.version;
  job.data = publish.data;
  return ApplyResult::kApplied;
}

const JobState* LeaseRegistry::job(const std::string& name) const {
  auto it = jobs_.find(name);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::string LeaseRegistry::encode() const {
  json jobs = json::array();
  for (const auto& [name, job] : jobs_)
    jobs.push_back({{"job", name},
                    {"owner", job.lease_holder},
                    {"token", job.token},
                    {"by", job.publisher_token},
                    {"version", job.version},
                    {"data", to_bytes(job.data)}});
  return to_cbor({{"v", 1}, {"jobs", jobs}, {"settings", settings_}, {"stale", stale_publications_}});
}

std::optional<LeaseRegistry> LeaseRegistry::decode(const std::string& text) try {
  LeaseRegistry registry;
  if (text.empty()) return registry;
  auto encoded = json::from_cbor(text);
  for (auto& encoded_job : encoded.at("jobs")) {
    auto& job = registry.jobs_[encoded_job.at("job").get<std::string>()];
    job.lease_holder = encoded_job.at("owner").get<std::string>();
    job.token = encoded_job.at("token").get<Token>();
    job.publisher_token = encoded_job.at("by").get<Token>();
    job.version = encoded_job.at("version").get<std::uint64_t>();
    job.data = text_of_bytes(encoded_job.at("data"));
  }
  registry.settings_ = encoded.at("settings").get<std::map<std::string, std::string>>();
  registry.stale_publications_ = encoded.at("stale").get<std::uint64_t>();
  return registry;
} catch (const json::exception&) {
  return std::nullopt;
}

}  // namespace database_proxy::ownership
