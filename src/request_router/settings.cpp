#include "request_router/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <stdexcept>

namespace request_router {
namespace {

// Maximum accepted time, in milliseconds: converted to microseconds, it still fits in 64 bits.
constexpr double kMaxMillis = 9e15;

// Maximum accepted count: more than any deployment has.
constexpr double kMaxCount = 1e6;

[[noreturn]] void fail(const std::string& message) { throw std::invalid_argument(message); }

template <typename T>
T parse_choice(std::string_view setting, std::string_view value,
               std::initializer_list<std::pair<std::string_view, T>> meanings) {
  for (const auto& [name, meaning] : meanings)
    if (name == value) return meaning;
  fail("unknown value '" + std::string(value) + "' of " + std::string(setting));
}

}  // namespace

std::optional<double> to_number(std::string_view text) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::optional<Micros> millis_to_micros(std::string_view text) {
  auto ms = to_number(text);
  if (!ms || std::abs(*ms) > kMaxMillis) return std::nullopt;
  return Micros(std::llround(*ms * 1000));
}

std::vector<std::string_view> split_at(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    auto at = text.find(separator);
    parts.push_back(text.substr(0, at));
    if (at == std::string_view::npos) break;
    text.remove_prefix(at + 1);
  }
  return parts;
}

std::string_view SettingsReader::text(const std::string& path, std::string_view default_value) const {
  auto found = values_.find(path);
  return found == values_.end() ? default_value : std::string_view(found->second);
}

double SettingsReader::number(const std::string& path, double default_value) const {
  auto found = values_.find(path);
  if (found == values_.end() || found->second.empty()) return default_value;
  auto value = to_number(found->second);
  if (!value) fail("setting " + path + " is not a number: '" + found->second + "'");
  return *value;
}

int SettingsReader::count(const std::string& path, int default_value) const {
  double value = number(path, default_value);
  if (value != std::floor(value) || std::abs(value) > kMaxCount)
    fail("setting " + path + " is not a whole number in the accepted range");
  return static_cast<int>(value);
}

bool SettingsReader::flag(const std::string& path) const {
  return parse_choice<bool>(path, text(path, "false"),
                            {{"true", true}, {"false", false}, {"1", true}, {"0", false}, {"", false}});
}

Micros SettingsReader::millis(const std::string& path, double default_value) const {
  double ms = number(path, default_value);
  if (std::abs(ms) > kMaxMillis) fail("setting " + path + " is out of range");
  return Micros(std::llround(ms * 1000));
}

Settings SettingsReader::settings() const {
  Settings settings;
  read_classes(settings);
  read_tenants(settings);
  read_fleet(settings);
  read_family(settings);
  read_limits(settings);
  read_guarantees(settings);
  return settings;
}

void SettingsReader::read_classes(Settings& settings) const {
  auto levels = split_at(text("FamilyInfo.ReadLevel"), ',');
  auto bounds = split_at(text("FamilyInfo.OldestDataMs"), ',');
  auto classes = static_cast<std::size_t>(std::max(0, count("RequestClasses.count", 0)));
  for (std::size_t i = 0; i < classes; ++i) {
    auto level = i < levels.size() ? levels[i] : "loose";
    auto bound = i < bounds.size() ? bounds[i] : "0";
    settings.classes.push_back(request_class("RequestClasses." + std::to_string(i) + ".", level, bound));
  }
}

RequestClass SettingsReader::request_class(const std::string& prefix, std::string_view level,
                                           std::string_view bound) const {
  RequestClass result;
  result.name = text(prefix + "Name");
  if (result.name.empty()) fail("setting " + prefix + "Name is missing");
  result.level = parse_choice<ReadLevel>("FamilyInfo.ReadLevel", level,
                                         {{"update", ReadLevel::kWrite},
                                          {"latest", ReadLevel::kFresh},
                                          {"own_writes", ReadLevel::kSession},
                                          {"recent", ReadLevel::kBounded},
                                          {"loose", ReadLevel::kAny}});
  result.effect = parse_choice<Effect>(
      prefix + "Effect", text(prefix + "Effect", "side_effect"),
      {{"pure", Effect::kPure}, {"token", Effect::kKeyed}, {"side_effect", Effect::kUnsafe}});
  result.scope = parse_choice<KeyScope>(
      prefix + "Group", text(prefix + "Group", "cell"),
      {{"all", KeyScope::kAll}, {"zone", KeyScope::kZone}, {"cell", KeyScope::kGroup}});
  result.latency_objective = millis(prefix + "TargetMs");
  result.deadline = millis(prefix + "DeadlineMs");
  result.key_window = millis(prefix + "KeyTtlMs");
  result.priority_weight = number(prefix + "Importance", 1);
  result.late_weight_share = number(prefix + "LateShare", 0);
  auto parsed_bound = millis_to_micros(bound);
  if (!parsed_bound) fail("setting FamilyInfo.OldestDataMs is not a list of times in milliseconds");
  result.bound = *parsed_bound;
  return result;
}

void SettingsReader::read_tenants(Settings& settings) const {
  int tenants = count("Orgs.count", 0);
  for (int i = 0; i < tenants; ++i) {
    std::string prefix = "Orgs." + std::to_string(i) + ".";
    settings.tenants.push_back({.name = std::string(text(prefix + "Name")),
                                .requests_per_second = number(prefix + "AllowancePerS", 0),
                                .share = number(prefix + "Fraction", 0)});
  }
}

void SettingsReader::read_fleet(Settings& settings) const {
  settings.zone = text("Zone");
  settings.routers = count("NInstances", 1);
  settings.ordinal = count("Ordinal", 0);
  settings.step = millis("StepMs", 1);
  settings.poll_discovery = text("RegistryMode", "push") == "ask";
}

void SettingsReader::read_family(Settings& settings) const {
  settings.lag_check = parse_choice<LagCheck>(
      "FamilyInfo.Behind", text("FamilyInfo.Behind", "off"),
      {{"off", LagCheck::kOff}, {"reject", LagCheck::kReject}, {"hold", LagCheck::kHold}});
  settings.catch_up_timeout = millis("FamilyInfo.PatienceMs");
  settings.answers_carry_position = flag("FamilyInfo.Positions");
  settings.client_carries_write_age =
      parse_choice<bool>("FamilyInfo.WriteMarks", text("FamilyInfo.WriteMarks", "router"),
                         {{"client", true}, {"router", false}});
  for (auto field : split_at(text("Report.Fields"), ',')) {
    if (field == "x0") settings.report_position = true;
    if (field == "x1") settings.report_role = true;
    if (field == "rif" || field == "inflight") settings.report_in_flight = true;
  }
  settings.report_mode = parse_choice<ReportMode>(
      "Report.How", text("Report.How", "off"),
      {{"off", ReportMode::kOff}, {"inline", ReportMode::kInline}, {"on_probe", ReportMode::kOnProbe}});
  settings.list_role = parse_choice<ListRole>(
      "FamilyInfo.ShowsRole", text("FamilyInfo.ShowsRole", "off"),
      {{"off", ListRole::kOff}, {"initial", ListRole::kInitial}, {"delayed", ListRole::kDelayed}});
}

void SettingsReader::read_limits(Settings& settings) const {
  settings.probes = flag("Limits.Probes");
  settings.peers = flag("Limits.Peers");
  settings.cancel = flag("Limits.Cancel");
  settings.hedged_requests = flag("Limits.SecondCopies");
  settings.retry_after = flag("Limits.RetryAfter");
  settings.max_attempts = count("Limits.MaxAttempts", 1);
  settings.max_retry_after = millis("Limits.MaxRetryAfterMs");
}

void SettingsReader::read_guarantees(Settings& settings) const {
  settings.answer_slack = millis("Guarantees.AnswerSlackMs");
  settings.drain_grace = millis("Guarantees.DrainGraceMs");
  settings.overload_window = millis("Guarantees.FallMs");
  settings.warm_up = millis("Guarantees.WarmUpMs");
  settings.poll_deadline = millis("Guarantees.MustAskInMs");
  settings.initial_capacity_share = number("Guarantees.ColdShare", 1);
  settings.overload_multiple = number("Guarantees.TipMultiple", 1);
  settings.removal_not_binding = flag("Guarantees.RemovalNotBinding");
  settings.over_quota_weight = number("OverShareWorth", 1);
  settings.cross_zone_fee = number("Fees.CrossZone", 0);
  settings.probe_fee = number("Fees.Probe", 0);
}

}  // namespace request_router
