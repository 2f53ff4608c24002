#include "app/operator_file.h"

#include <fmt/format.h>
#include <sched.h>

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace database_proxy::app {

extern const std::string_view kOperatorSchema;  // deploy/operator.schema.json, embedded by CMake

namespace {

using nlohmann::json;

// Returns the path of a key: "<root>", "[workers]", "[count]" becomes workers.count.
std::string path_of(const std::vector<std::string>& context) {
  std::string path;
  for (auto& step : context) {
    if (step.size() < 2 || step.front() != '[') continue;
    if (!path.empty()) path.push_back('.');
    path.append(step, 1, step.size() - 2);
  }
  return path.empty() ? "the file" : path;
}

void validate(const json& file) {
  valijson::Schema schema;
  auto text = json::parse(kOperatorSchema);
  valijson::adapters::NlohmannJsonAdapter described(text), given(file);
  valijson::SchemaParser().populateSchema(described, schema);
  valijson::ValidationResults results;
  if (valijson::Validator().validate(schema, given, &results)) return;
  std::string first;
  std::size_t more = 0;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    // Each object that contains an invalid value is reported as well; only the value itself is kept.
    if (error.description.starts_with("Failed to validate against schema")) continue;
    if (first.empty())
      first = fmt::format("{}: {}", path_of(error.context), error.description);
    else
      ++more;
  }
  throw ConfigError(more > 0 ? fmt::format("{} (and {} more)", first, more) : first);
}

unsigned available_cores() {
  cpu_set_t set;
  CPU_ZERO(&set);
  return sched_getaffinity(0, sizeof set, &set) == 0 ? static_cast<unsigned>(CPU_COUNT(&set)) : 1;
}

}  // namespace

OperatorFile parse_operator_file(std::string_view text) try {
  auto root = json::parse(text);
  validate(root);
  OperatorFile file;
  if (root.contains("workers")) {
    auto& w = root.at("workers");
    auto& o = file.workers;
    o.count = w.value("count", o.count);
    o.decisions = w.value("decisions", "shared") == "split" ? workers::DecisionMode::kSplit
                                                            : workers::DecisionMode::kShared;
    o.accept = w.value("accept", "deal") == "reuseport" ? workers::AcceptMode::kReusePort
                                                        : workers::AcceptMode::kBalanced;
    o.share_probes = w.value("share_probes", o.share_probes);
    o.connections_per_server = w.value("connections_per_server", o.connections_per_server);
    o.cpus = w.value("cpus", o.cpus);
  }
  if (root.contains("network")) {
    file.congestion = root.at("network").value("congestion", "");
    file.source = root.at("network").value("source", "");
  }
  if (root.contains("group")) {
    auto& g = root.at("group");
    auto& o = file.group.emplace();
    o.installation = g.value("installation", "");
    o.name = g.value("name", "");
    o.listen = g.value("listen", "");
    o.directory = g.value("directory", "");
    for (auto& n : g.at("nodes")) o.nodes.push_back({n.value("name", ""), n.value("address", "")});
    if (g.contains("placement")) {
      auto& p = g.at("placement");
      auto& placement_options = o.placement.emplace();
      for (auto& [region, zones] : p.at("regions").items())
        for (auto& zone : zones)
          if (!placement_options.regions.emplace(zone.get<std::string>(), region).second)
            throw ConfigError(
                fmt::format("group.placement.regions: zone '{}' is in two regions", zone.get<std::string>()));
      placement_options.requests_per_weight = p.value("requests_per_weight", 0.0);
      auto placement_millis = [&](const char* key, group::Micros* to) {
        if (p.contains(key)) *to = group::Micros(p.at(key).get<std::int64_t>() * 1000);
      };
      placement_millis("keep_ms", &placement_options.contact_timeout);
      placement_millis("dwell_ms", &placement_options.minimum_phase_duration);
      placement_millis("open_after_ms", &placement_options.open_after);
      placement_millis("step_ms", &placement_options.step_interval);
    }
    if (o.is_voter()) o.jobs = {"list", "probe"};
    if (o.is_voter() && o.placement) o.jobs.push_back("placement");
    o.jobs = g.value("jobs", o.jobs);
    auto millis = [&](const char* key, group::Micros* to) {
      if (g.contains(key)) *to = group::Micros(g.at(key).get<std::int64_t>() * 1000);
    };
    millis("heartbeat_ms", &o.heartbeat);
    millis("lease_ms", &o.lease);
    millis("fallback_ms", &o.fallback_timeout);
    millis("probe_every_ms", &o.probe_interval);
    if (g.contains("election_ms")) {
      o.election_min = group::Micros(g.at("election_ms").at(0).get<std::int64_t>() * 1000);
      o.election_max = group::Micros(g.at("election_ms").at(1).get<std::int64_t>() * 1000);
    }
    group::check(o);
    if (file.workers.count > 1) throw ConfigError("group: requires a single worker (workers.count 1)");
  }
  if (root.contains("log")) {
    auto& l = root.at("log");
    file.log.json = l.value("format", "text") == "json";
    auto level = l.value("level", "info");
    file.log.min_level = level == "error"     ? net::Level::kError
                         : level == "warning" ? net::Level::kWarning
                         : level == "debug"   ? net::Level::kDebug
                                              : net::Level::kInfo;
    file.log.lines_per_second = l.value("lines_per_second", file.log.lines_per_second);
  }
  return file;
} catch (const json::exception& e) {
  throw ConfigError(e.what());
} catch (const std::invalid_argument& e) {
  throw ConfigError(e.what());
}

OperatorFile read_operator_file(const std::string& path) {
  auto text = read_file(path, "operator's file");
  try {
    return parse_operator_file(text);
  } catch (const ConfigError& e) {
    throw ConfigError(fmt::format("operator's file {}: {}", path, e.what()));
  }
}

std::vector<std::string> warnings(const OperatorFile& file) {
  std::vector<std::string> all;
  auto& w = file.workers;
  auto threads = w.count + (w.count > 1 && w.decisions == workers::DecisionMode::kShared);
  if (w.count > 1 && threads > available_cores())
    all.push_back(fmt::format("{} busy threads ({} workers{}) share {} cores", threads, w.count,
                              threads > w.count ? " and the decisions" : "", available_cores()));
  return all;
}

std::string keys_needing_restart(const OperatorFile& running, const OperatorFile& read) {
  std::string keys;
  auto differs = [&](bool is_different, const char* key) {
    if (is_different) keys += (keys.empty() ? "" : ", ") + std::string(key);
  };
  auto &a = running.workers, &b = read.workers;
  differs(a.count != b.count, "workers.count");
  differs(a.decisions != b.decisions, "workers.decisions");
  differs(a.accept != b.accept, "workers.accept");
  differs(a.share_probes != b.share_probes, "workers.share_probes");
  differs(a.cpus != b.cpus, "workers.cpus");
  differs(running.congestion != read.congestion, "network.congestion");
  differs(running.source != read.source, "network.source");
  differs(running.group.has_value() != read.group.has_value(), "group");
  if (running.group && read.group) {
    auto &c = *running.group, &d = *read.group;
    differs(c.installation != d.installation || c.name != d.name || c.listen != d.listen ||
                c.directory != d.directory || c.is_voter() != d.is_voter() || c.jobs != d.jobs ||
                c.heartbeat != d.heartbeat || c.election_min != d.election_min ||
                c.election_max != d.election_max || c.lease != d.lease ||
                c.fallback_timeout != d.fallback_timeout || c.probe_interval != d.probe_interval ||
                c.placement != d.placement,
            "group (all but nodes)");
  }
  return keys;
}

}  // namespace database_proxy::app
