#include "module/settings.h"

#include <charconv>
#include <cmath>
#include <stdexcept>

namespace badgercourse {
namespace {

[[noreturn]] void fail(const std::string& what) { throw std::invalid_argument(what); }

template <typename T>
T oneOf(std::string_view what, std::string_view value,
        std::initializer_list<std::pair<std::string_view, T>> words) {
  for (auto& [word, meaning] : words)
    if (word == value) return meaning;
  fail("unknown value '" + std::string(value) + "' of " + std::string(what));
}

}  // namespace

std::optional<double> toNumber(std::string_view s) {
  double value = 0;
  auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), value);
  if (error != std::errc() || end != s.data() + s.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::optional<Micros> millisToMicros(std::string_view s) {
  auto ms = toNumber(s);
  if (!ms || std::abs(*ms) > 9e15) return std::nullopt;
  return Micros(std::llround(*ms * 1000));
}

std::vector<std::string_view> splitAt(std::string_view s, char by) {
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
  auto value = toNumber(it->second);
  if (!value) fail("setting " + path + " is no number: '" + it->second + "'");
  return *value;
}

int SettingsReader::count(const std::string& path, int otherwise) const {
  double value = number(path, otherwise);
  if (value != std::floor(value) || std::abs(value) > 1e6) fail("setting " + path + " is no count");
  return static_cast<int>(value);
}

bool SettingsReader::flag(const std::string& path) const {
  return oneOf<bool>(path, text(path, "false"),
                     {{"true", true}, {"false", false}, {"1", true}, {"0", false}, {"", false}});
}

Micros SettingsReader::millis(const std::string& path, double otherwise) const {
  double ms = number(path, otherwise);
  if (std::abs(ms) > 9e15) fail("setting " + path + " is out of range");
  return Micros(std::llround(ms * 1000));
}

Settings SettingsReader::settings() const {
  Settings s;
  auto levels = splitAt(text("FamilyInfo.ReadLevel"), ',');
  auto bounds = splitAt(text("FamilyInfo.OldestDataMs"), ',');
  int classes = count("RequestClasses.count", 0);
  for (int i = 0; i < classes; ++i) {
    std::string at = "RequestClasses." + std::to_string(i) + ".";
    RequestClass c;
    c.name = text(at + "Name");
    if (c.name.empty()) fail("setting " + at + "Name is missing");
    c.level =
        oneOf<ReadLevel>("FamilyInfo.ReadLevel", i < static_cast<int>(levels.size()) ? levels[i] : "loose",
                         {{"update", ReadLevel::Write},
                          {"latest", ReadLevel::Fresh},
                          {"own_writes", ReadLevel::Session},
                          {"recent", ReadLevel::Bounded},
                          {"loose", ReadLevel::Any}});
    c.effect =
        oneOf<Effect>(at + "Effect", text(at + "Effect", "side_effect"),
                      {{"pure", Effect::Pure}, {"token", Effect::Keyed}, {"side_effect", Effect::Unsafe}});
    c.scope = oneOf<KeyScope>(at + "Group", text(at + "Group", "cell"),
                              {{"all", KeyScope::All}, {"zone", KeyScope::Zone}, {"cell", KeyScope::Group}});
    c.aim = millis(at + "TargetMs");
    c.deadline = millis(at + "DeadlineMs");
    c.keyWindow = millis(at + "KeyTtlMs");
    c.worth = number(at + "Importance", 1);
    c.lateShare = number(at + "LateShare", 0);
    if (i < static_cast<int>(bounds.size())) {
      auto bound = millisToMicros(bounds[i]);
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
  s.checks = oneOf<Checks>("FamilyInfo.Behind", text("FamilyInfo.Behind", "off"),
                           {{"off", Checks::Off}, {"reject", Checks::Reject}, {"hold", Checks::Hold}});
  s.patience = millis("FamilyInfo.PatienceMs");
  s.positions = flag("FamilyInfo.Positions");
  s.carriedMarks = oneOf<bool>("FamilyInfo.WriteMarks", text("FamilyInfo.WriteMarks", "router"),
                               {{"client", true}, {"router", false}});
  for (auto field : splitAt(text("Report.Fields"), ',')) {
    if (field == "x0") s.reportPosition = true;
    if (field == "x1") s.reportRole = true;
    if (field == "rif" || field == "inflight") s.reportHeld = true;
  }
  s.reports = oneOf<ReportMode>(
      "Report.How", text("Report.How", "off"),
      {{"off", ReportMode::Off}, {"inline", ReportMode::Inline}, {"on_probe", ReportMode::OnProbe}});
  s.listRole =
      oneOf<ListRole>("FamilyInfo.ShowsRole", text("FamilyInfo.ShowsRole", "off"),
                      {{"off", ListRole::Off}, {"initial", ListRole::Start}, {"delayed", ListRole::Late}});
  s.probes = flag("Limits.Probes");
  s.peers = flag("Limits.Peers");
  s.cancel = flag("Limits.Cancel");
  s.secondCopies = flag("Limits.SecondCopies");
  s.retryAfter = flag("Limits.RetryAfter");
  s.maxAttempts = count("Limits.MaxAttempts", 1);
  s.maxRetryAfter = millis("Limits.MaxRetryAfterMs");
  s.askDiscovery = text("RegistryMode", "push") == "ask";
  s.answerSlack = millis("Guarantees.AnswerSlackMs");
  s.drainGrace = millis("Guarantees.DrainGraceMs");
  s.fallTime = millis("Guarantees.FallMs");
  s.warmUp = millis("Guarantees.WarmUpMs");
  s.mustAskIn = millis("Guarantees.MustAskInMs");
  s.coldShare = number("Guarantees.ColdShare", 1);
  s.tipMultiple = number("Guarantees.TipMultiple", 1);
  s.removalNotBinding = flag("Guarantees.RemovalNotBinding");
  s.overShareWorth = number("OverShareWorth", 1);
  s.crossZoneFee = number("Fees.CrossZone", 0);
  s.probeFee = number("Fees.Probe", 0);
  return s;
}

}  // namespace badgercourse
