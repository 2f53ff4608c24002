#include "simulator_adapter/wire.h"

#include <array>
#include <charconv>
#include <cmath>
#include <optional>

#include "request_router/settings.h"

namespace request_router::wire {
namespace {

// Number of characters of a malformed line that an error message quotes.
constexpr std::size_t kMaxQuotedCharacters = 300;

// Limits of numbers in messages: integers up to kMaxExactInteger are exact in a double, reported values up to
// kMaxReportedValue fit in 64 bits as microseconds, and integers up to kMaxSmallInteger fit in an int.
constexpr double kMaxExactInteger = 9e15;
constexpr double kMaxReportedValue = 9e12;
constexpr std::int64_t kMaxSmallInteger = 1 << 30;
constexpr std::int64_t kMaxIdempotencyKey = std::int64_t{1} << 53;

// The bit of the field Opts that marks a request as a client's retry.
constexpr std::int64_t kRetryBit = 2;

// The field Stand is a position in milliseconds times this factor, plus the role: 1 primary, 2 replica.
constexpr std::int64_t kStandRoleFactor = 4;

template <typename T>
T parse_enum(const Line& line, std::string_view what, std::string_view value,
             std::initializer_list<std::pair<std::string_view, T>> values) {
  for (const auto& [name, parsed] : values)
    if (name == value) return parsed;
  line.fail("unknown value '" + std::string(value) + "' of " + std::string(what));
}

SettingsReader settings_reader(const Line& spawn) {
  std::map<std::string, std::string, std::less<>> pairs;
  for (const auto& [name, value] : spawn.fields()) pairs[std::string(name)] = value;
  return SettingsReader(std::move(pairs));
}

}  // namespace

Line::Line(std::string_view text) : line_(text) {
  auto parts = split_at(text, ' ');
  if (parts.empty() || parts[0].empty()) fail("empty line or missing message type inside a batch");
  message_type_ = parts[0];
  fields_.reserve(parts.size());
  for (std::size_t i = 1; i < parts.size(); ++i) {
    auto at = parts[i].find('=');
    if (at == std::string_view::npos || at == 0)
      fail("not a name=value field: '" + std::string(parts[i]) + "'");
    fields_.emplace_back(parts[i].substr(0, at), parts[i].substr(at + 1));
  }
}

void Line::fail(const std::string& what) const {
  throw MalformedInput(what + ", in line: " + std::string(line_.substr(0, kMaxQuotedCharacters)));
}

bool Line::has(std::string_view name) const {
  for (const auto& field : fields_)
    if (field.first == name) return true;
  return false;
}

std::string_view Line::text(std::string_view name) const {
  for (const auto& field : fields_)
    if (field.first == name) return field.second;
  fail("missing field " + std::string(name));
}

double Line::number(std::string_view name) const {
  auto value = to_number(text(name));
  if (!value) fail("field " + std::string(name) + " is not a number");
  return *value;
}

std::int64_t Line::integer(std::string_view name, std::int64_t min, std::int64_t max) const {
  auto digits = text(name);
  std::int64_t value = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (error == std::errc::result_out_of_range) fail("field " + std::string(name) + " is out of range");
  if (error != std::errc() || end != digits.data() + digits.size()) {
    double whole = number(name);  // accepts an integer that is written with a fraction, e.g. 5.0
    if (whole != std::floor(whole) || std::abs(whole) > kMaxExactInteger)
      fail("field " + std::string(name) + " is not an integer");
    value = static_cast<std::int64_t>(whole);
  }
  if (value < min || value > max) fail("field " + std::string(name) + " is out of range");
  return value;
}

Micros Line::millis(std::string_view name) const {
  auto value = millis_to_micros(text(name));
  if (!value) fail("field " + std::string(name) + " is not a time in milliseconds");
  return *value;
}

Row parse_row(const Line& line) {
  Row row;
  row.host = line.text("Host");
  row.entry.group = line.has("Cell") ? line.integer("Cell", INT64_MIN, INT64_MAX) : 0;
  row.entry.zone = line.has("FailureDomain") ? line.text("FailureDomain") : "";
  row.entry.condition =
      parse_enum<Condition>(line, "Condition", line.text("Condition"),
                            {{"1", Condition::kReady}, {"2", Condition::kDraining}, {"0", Condition::kGone}});
  row.entry.primary = line.has("Head") && line.number("Head") == 1;
  row.entry.weight = line.has("Share") ? line.number("Share") : 1;
  row.entry.started_at = line.has("StartedAtMs") ? line.millis("StartedAtMs") : Micros(0);
  return row;
}

InstanceNames::InstanceNames(const Line& spawn) {
  auto in = settings_reader(spawn);
  settings_ = in.settings();
  position_origin_ = in.millis("FamilyInfo.CountedFromMs");
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) classes_[settings_.classes[i].name] = i;
  for (std::size_t i = 0; i < settings_.tenants.size(); ++i) tenants_[settings_.tenants[i].name] = i;
}

MemberList InstanceNames::member_list(const Line& line, const std::vector<Row>& rows) {
  MemberList list;
  list.kind = parse_enum<ListKind>(
      line, "Form", line.text("Form"),
      {{"0", ListKind::kDelta}, {"1", ListKind::kFailed}, {"2", ListKind::kCached}, {"3", ListKind::kFull}});
  if (list.kind == ListKind::kFailed) return list;
  for (const auto& row : rows) {
    auto [host, is_new] = member_ids_.try_emplace(row.host, static_cast<MemberId>(host_names_.size()));
    if (is_new) host_names_.push_back(row.host);
    list.entries.push_back(row.entry);
    list.entries.back().member = host->second;
  }
  return list;
}

Request InstanceNames::request(const Line& line) {
  Request request;
  auto ticket = std::string(line.text("Ticket"));
  auto request_class = classes_.find(line.text("Kind"));
  if (request_class == classes_.end()) line.fail("unknown request class in field Kind");
  request.request_class = static_cast<std::size_t>(request_class->second);
  request.group = line.integer("DbNo", INT64_MIN, INT64_MAX);
  request.expires = line.millis("ExpiresMs");
  std::int64_t bits = line.has("Opts") ? line.integer("Opts", 0, kMaxSmallInteger) : 0;
  request.retry = (bits & kRetryBit) != 0;
  if (line.has("Key")) request.key = static_cast<std::uint64_t>(line.integer("Key", 0, kMaxIdempotencyKey));
  if (line.has("TokenMs")) request.write_age = line.millis("TokenMs");
  if (line.has("ClientGroup")) {
    auto tenant = tenants_.find(line.text("ClientGroup"));
    if (tenant != tenants_.end()) request.tenant = tenant->second;
  }
  if (request_ids_.count(ticket)) line.fail("duplicate request id in field Ticket");
  request.id = next_request_id_++;
  request_ids_[ticket] = request.id;
  open_requests_[request.id] = {std::move(ticket), 0, false};
  return request;
}

RequestId InstanceNames::request_id(const Line& line) const {
  auto it = request_ids_.find(std::string(line.text("Ticket")));
  // 0 is never assigned to a request, so the router does not know it.
  return it == request_ids_.end() ? 0 : it->second;
}

MemberId InstanceNames::member_id(const Line& line) const {
  auto it = member_ids_.find(std::string(line.text("Host")));
  if (it == member_ids_.end()) line.fail("host was not in any member list");
  return it->second;
}

Report InstanceNames::report(const Line& line) const {
  Report report;
  if (!line.has("ServerStats")) return report;
  for (auto pair : split_at(line.text("ServerStats"), ',')) {
    if (pair == "-") continue;
    auto at = pair.find(':');
    auto value = at == std::string_view::npos ? std::nullopt : to_number(pair.substr(at + 1));
    if (!value || std::abs(*value) > kMaxReportedValue)
      line.fail("load report in field ServerStats is not a list of name:number pairs");
    auto name = pair.substr(0, at);
    if (name == "x0") report.position = position_origin_ + Micros(std::llround(*value * 1e6));
    if (name == "x1") report.primary = *value == 1;
    if (name == "busy") report.busy = *value;
    if (name == "rif" || name == "inflight") report.in_flight = *value;
  }
  return report;
}

void InstanceNames::close_request(RequestId id) {
  auto it = open_requests_.find(id);
  if (it == open_requests_.end()) return;
  it->second.closed = true;
  if (it->second.attempts_in_flight == 0) closed_requests_.push_back(id);
}

void InstanceNames::erase_closed_requests() {
  for (auto id : closed_requests_) {
    auto it = open_requests_.find(id);
    if (it == open_requests_.end() || it->second.attempts_in_flight > 0) continue;
    request_ids_.erase(it->second.ticket);
    open_requests_.erase(it);
  }
  closed_requests_.clear();
}

Outcome InstanceNames::outcome(const Line& line) {
  Outcome outcome;
  outcome.id = request_id(line);
  outcome.attempt = static_cast<int>(line.integer("Hop", 0, kMaxSmallInteger));
  outcome.member = member_id(line);
  outcome.status = parse_enum<Status>(line, "Code", line.text("Code"),
                                      {{"success", Status::kSuccess},
                                       {"failure", Status::kFailure},
                                       {"overloaded", Status::kOverloaded},
                                       {"timed_out", Status::kTimedOut},
                                       {"unreachable", Status::kUnreachable},
                                       {"broken", Status::kBroken},
                                       {"withdrawn", Status::kCancelled},
                                       {"void", Status::kNotStarted},
                                       {"absent", Status::kDeclined}});
  outcome.taken = line.has("TimeTakenMs") ? line.millis("TimeTakenMs") : Micros(0);
  outcome.closed = line.has("Last") && line.flag("Last");
  if (line.has("Stand")) {
    auto stand = line.integer("Stand", 0, INT64_MAX);
    auto role = stand % kStandRoleFactor;
    auto position_ms = stand / kStandRoleFactor;
    if (role == 1) outcome.role = Role::kPrimary;
    if (role == 2) outcome.role = Role::kReplica;
    if (position_ms > 0) outcome.position = position_origin_ + Micros(position_ms * 1000);
  }
  outcome.report = report(line);
  auto known = open_requests_.find(outcome.id);
  if (known != open_requests_.end()) {
    --known->second.attempts_in_flight;
    if (outcome.closed || known->second.closed) close_request(outcome.id);
  }
  return outcome;
}

ProbeResult InstanceNames::probe_result(const Line& line) {
  ProbeResult result;
  result.member = member_id(line);
  result.ok = line.text("Code") == "success";
  result.taken = line.has("TimeTakenMs") ? line.millis("TimeTakenMs") : Micros(0);
  result.report = report(line);
  return result;
}

StreamStarted InstanceNames::stream_started(const Line& line) {
  return {request_id(line), static_cast<int>(line.integer("Hop", 0, kMaxSmallInteger))};
}

ClientGone InstanceNames::client_gone(const Line& line) {
  ClientGone gone{request_id(line)};
  close_request(gone.id);
  return gone;
}

namespace {

void append_millis(std::string& out, std::string_view name, Micros value) {
  std::array<char, 40> digits;
  auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value.count() / 1000.0,
                                    std::chars_format::fixed, 3);
  out.append(" ").append(name).append("=").append(digits.data(), end);
}

}  // namespace

void InstanceNames::print(const Action& action, std::string& out) {
  struct Printer {
    InstanceNames& names;
    std::string& out;
    void append_ticket(RequestId id) { out.append(" Ticket=").append(names.open_requests_.at(id).ticket); }
    void operator()(const Send& action) {
      out.append("DELIVER");
      append_ticket(action.id);
      out.append(" Host=").append(names.host_names_.at(action.member));
      if (action.timeout.count() != 0) append_millis(out, "TryForMs", action.timeout);
      ++names.open_requests_.at(action.id).attempts_in_flight;
    }
    void operator()(const Cancel& action) {
      out.append("STOP_ATTEMPT");
      append_ticket(action.id);
      out.append(" Hop=").append(std::to_string(action.attempt));
    }
    void operator()(const Reject& action) {
      out.append("PUSH_BACK");
      append_ticket(action.id);
      if (action.retry_after.count() > 0) append_millis(out, "RetryInMs", action.retry_after);
      names.close_request(action.id);
    }
    void operator()(const Fail& action) {
      out.append("END_FAILED");
      append_ticket(action.id);
      names.close_request(action.id);
    }
    void operator()(const Probe& action) {
      out.append("CHECK Host=").append(names.host_names_.at(action.member));
    }
    void operator()(const SetTimer& action) {
      out.append("WAKE_ME KeyBack=").append(std::to_string(action.key));
      append_millis(out, "AfterMs", action.after);
    }
    void operator()(const Subscribe&) { out.append("TAIL Enable=1"); }
    void operator()(const Log& action) { out.append("EMIT NoteText=").append(action.text); }
  };
  std::visit(Printer{*this, out}, action);
  out.push_back('\n');
}

}  // namespace request_router::wire
