// Parses and prints the simulator's line protocol: one message a line, read from standard input and written
// to standard output. Translates only; routing decisions are made by request_router::Router.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "request_router/router.h"

namespace request_router::wire {

// Error in the input; for a malformed line, the text quotes the line.
struct MalformedInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One line: its message type (the first word) and its name=value fields. The getters throw MalformedInput if
// a field is missing, cannot be parsed or is out of range. Keeps views into the text that it is constructed
// from.
class Line {
 public:
  explicit Line(std::string_view text);
  std::string_view message_type() const { return message_type_; }
  const std::vector<std::pair<std::string_view, std::string_view>>& fields() const { return fields_; }
  bool has(std::string_view name) const;
  std::string_view text(std::string_view name) const;  // throws if the field is missing
  double number(std::string_view name) const;
  std::int64_t integer(std::string_view name, std::int64_t min, std::int64_t max) const;
  bool flag(std::string_view name) const { return integer(name, 0, 1) == 1; }
  Micros millis(std::string_view name) const;
  // Throws MalformedInput with the reason and the line.
  [[noreturn]] void fail(const std::string& what) const;

 private:
  std::string_view line_, message_type_;
  std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

// One row of a SNAPSHOT_ROWS list. The host is kept as a name, because each instance assigns its own member
// ids.
struct Row {
  std::string host;
  MemberEntry entry;
};

// Parses a ROW line.
Row parse_row(const Line& line);

// Maps the names that the simulator uses in messages to and from one instance (hosts, tickets, classes,
// tenants) to the ids that the instance's router uses, and converts events and actions between the two.
class InstanceNames {
 public:
  explicit InstanceNames(const Line& spawn);
  const Settings& settings() const { return settings_; }

  MemberList member_list(const Line& line, const std::vector<Row>& rows);
  Request request(const Line& line);
  Outcome outcome(const Line& line);
  ProbeResult probe_result(const Line& line);
  StreamStarted stream_started(const Line& line);
  ClientGone client_gone(const Line& line);
  void print(const Action& action, std::string& out);
  void erase_closed_requests();  // erases requests that are closed and have no attempt in flight

 private:
  struct OpenRequest {
    std::string ticket;
    int attempts_in_flight = 0;
    bool closed = false;
  };
  RequestId request_id(const Line& line) const;
  MemberId member_id(const Line& line) const;
  Report report(const Line& line) const;
  void close_request(RequestId id);

  Settings settings_;
  Micros position_origin_{0};
  std::map<std::string, int, std::less<>> classes_, tenants_;
  std::unordered_map<std::string, MemberId> member_ids_;
  std::vector<std::string> host_names_;
  std::unordered_map<std::string, RequestId> request_ids_;
  std::unordered_map<RequestId, OpenRequest> open_requests_;
  std::vector<RequestId> closed_requests_;
  RequestId next_request_id_ = 1;
};

}  // namespace request_router::wire
