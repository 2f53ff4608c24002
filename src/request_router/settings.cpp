#include "request_router/settings.h"

#include <charconv>
#include <cmath>
#include <stdexcept>

namespace request_router {
namespace {

[[noreturn]] void fail(const std::string& what) { throw std::invalid_argument(what); }

template <typename T>
T one_of(std::string_view what, std::string_view value,
         std::initializer_list<std::pair<std::string_view, T>> words) {
  for (auto& [word, meaning] : words)
    if (word == value) return meaning;
  fail("unknown value '" + std::string(value) + "' of " + std::string(what));
}

}  // namespace

std::optional<double> to_number(std::string_view s) {
  double value = 0;
  auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), value);
  if (error != std::errc() || end != s.data() + s.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::optional<Micros> millis_to_micros(std::string_view s) {
  auto ms = to_number(s);
  if (!ms || std::abs(*ms) > 9e15) return std::nullopt;
  return Micros(std::llround(*ms * 1000));
}

std::vector<std::string_view> split_at(std::string_view s, char by) {
  std::vector<std::string_view> parts;
  while (!s.empty()) {
    auto at = s.find(by);
    parts.push_back(s.substr(0, at));
    if (at == std::string_view::npos) break;
    s.remove_prefix(at + 1);
  }
  return parts;
}

std::string_view SettingsReader::text(const std::string& path, std::string_view otherwise) const {
  auto it = values_.find(path);
  return it == values_.end() ? otherwise : std::string_view(it->second);
}

double SettingsReader::number(const std::string& path, double otherwise) const {
  auto it = values_.find(path);
  if (it == values_.end() || it->second.empty()) return otherwise;
  auto value = to_number(it->second);
  if (!value) fail("setting " + path + " is no number: '" + it->second + "'");
  return *value;
}

int SettingsReader::count(const std::string& path, int otherwise) const {
  double value = number(path, otherwise);
  if (value != std::floor(value) || std::abs(value) > 1e6) fail("setting " + path + " is no count");
  return static_cast<int>(value);
}

bool SettingsReader::flag(const std::string& path) const {
  return one_of<bool>(path, text(path, "false"),
                      {{"true", true}, {"false", false}, {"1", true}, {"0", false}, {"", false}});
}

Micros SettingsReader::millis(const std::string& path, double otherwise) const {
  double ms = number(path, otherwise);
  if (std::abs(ms) > 9e15) fail("setting " + path + " is out of range");
  return Micros(std::llround(ms * 1000));
}

Settings SettingsReader::settings() const {
  Settings s;
  auto levels = split_at(text("FamilyInfo.ReadLevel"), ',');
  auto bounds = split_at(text("FamilyInfo.OldestDataMs"), ',');
  int classes = count("RequestClasses.count", 0);
  for (int i = 0; i < classes; ++i) {
    std::string at = "RequestClasses." + std::to_string(i) + ".";
    RequestClass c;
    c.name = text(at + "Name");
    if (c.name.empty()) fail("setting " + at + "Name is missing");
    c.level =
        one_of<ReadLevel>("FamilyInfo.ReadLevel", i < static_cast<int>(levels.size()) ? levels[i] : "loose",
                          {{"update", ReadLevel::kWrite},
                           {"latest", ReadLevel::kFresh},
                           {"own_writes", ReadLevel::kSession},
                           {"recent", ReadLevel::kBounded},
                           {"loose", ReadLevel::kAny}});
    c.effect = one_of<Effect>(
        at + "Effect", text(at + "Effect", "side_effect"),
        {{"pure", Effect::kPure}, {"token", Effect::kKeyed}, {"side_effect", Effect::kUnsafe}});
    c.scope =
        one_of<KeyScope>(at + "Group", text(at + "Group", "cell"),
                         {{"all", KeyScope::kAll}, {"zone", KeyScope::kZone}, {"cell", KeyScope::kGroup}});
    c.latency_objective = millis(at + "TargetMs");
    c.deadline = millis(at + "DeadlineMs");
    c.key_window = millis(at + "KeyTtlMs");
    c.priority_weight = number(at + "Importance", 1);
    c.late_weight_share = number(at + "LateShare", 0);
    if (i < static_cast<int>(bounds.size())) {
      auto bound = millis_to_micros(bounds[i]);
      if (!bound) fail("setting FamilyInfo.OldestDataMs is no list of times");
      c.bound = *bound;
    }
    s.classes.push_back(std::move(c));
  }
  int tenants = count("Orgs.count", 0);
  for (int i = 0; i < tenants; ++i) {
    std::string at = "Orgs." + std::to_string(i) + ".";
    s.tenants.push_back(
        {std::string(text(at + "Name")), number(at + "AllowancePerS", 0), number(at + "Fraction", 0)});
  }
  s.zone = text("Zone");
  s.routers = count("NInstances", 1);
  s.ordinal = count("Ordinal", 0);
  s.step = millis("StepMs", 1);
  s.checks = one_of<Checks>("FamilyInfo.Behind", text("FamilyInfo.Behind", "off"),
                            {{"off", Checks::kOff}, {"reject", Checks::kReject}, {"hold", Checks::kHold}});
  s.catch_up_timeout = millis("FamilyInfo.PatienceMs");
  s.positions = flag("FamilyInfo.Positions");
  s.client_carries_write_age = one_of<bool>("FamilyInfo.WriteMarks", text("FamilyInfo.WriteMarks", "router"),
                                            {{"client", true}, {"router", false}});
  for (auto field : split_at(text("Report.Fields"), ',')) {
    if (field == "x0") s.report_position = true;
    if (field == "x1") s.report_role = true;
    if (field == "rif" || field == "inflight") s.report_in_flight = true;
  }
  s.reports = one_of<ReportMode>(
      "Report.How", text("Report.How", "off"),
      {{"off", ReportMode::kOff}, {"inline", ReportMode::kInline}, {"on_probe", ReportMode::kOnProbe}});
  s.list_role = one_of<ListRole>(
      "FamilyInfo.ShowsRole", text("FamilyInfo.ShowsRole", "off"),
      {{"off", ListRole::kOff}, {"initial", ListRole::kInitial}, {"delayed", ListRole::kDelayed}});
  s.probes = flag("Limits.Probes");
  s.peers = flag("Limits.Peers");
  s.cancel = flag("Limits.Cancel");
  s.hedged_requests = flag("Limits.SecondCopies");
  s.retry_after = flag("Limits.RetryAfter");
  s.max_attempts = count("Limits.MaxAttempts", 1);
  s.max_retry_after = millis("Limits.MaxRetryAfterMs");
  s.poll_discovery = text("RegistryMode", "push") == "ask";
  s.answer_slack = millis("Guarantees.AnswerSlackMs");
  s.drain_grace = millis("Guarantees.DrainGraceMs");
  s.overload_window = millis("Guarantees.FallMs");
  s.warm_up = millis("Guarantees.WarmUpMs");
  s.poll_deadline = millis("Guarantees.MustAskInMs");
  s.initial_capacity_share = number("Guarantees.ColdShare", 1);
  s.overload_multiple = number("Guarantees.TipMultiple", 1);
  s.removal_not_binding = flag("Guarantees.RemovalNotBinding");
  s.over_quota_weight = number("OverShareWorth", 1);
  s.cross_zone_fee = number("Fees.CrossZone", 0);
  s.probe_fee = number("Fees.Probe", 0);
  return s;
}

}  // namespace request_router
