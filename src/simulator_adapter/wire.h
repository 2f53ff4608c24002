// Parsing and printing of the simulator's wire. Nothing here decides anything.
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

// What is wrong with a line; the text names the line.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One line: its first word, and its name=value fields. Look-ups throw Malformed where a field is missing or
// impossible.
class Line {
 public:
  explicit Line(std::string_view text);
  std::string_view word() const { return word_; }
  const std::vector<std::pair<std::string_view, std::string_view>>& fields() const { return fields_; }
  bool has(std::string_view name) const;
  std::string_view text(std::string_view name) const;  // throws where the field is missing
  double number(std::string_view name) const;
  std::int64_t integer(std::string_view name, std::int64_t least, std::int64_t most) const;
  bool flag(std::string_view name) const { return integer(name, 0, 1) == 1; }
  Micros millis(std::string_view name) const;
  [[noreturn]] void fail(const std::string& what) const;

 private:
  std::string_view line_, word_;
  std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

// One row of a SNAPSHOT_ROWS list; its host is still a name, because each instance gives its own numbers.
struct Row {
  std::string host;
  MemberEntry entry;
};

// Reads a ROW line.
Row parse_row(const Line& line);

// The names of one instance and the numbers that its router knows them by.
class Names {
 public:
  explicit Names(const Line& spawn);
  const Settings& settings() const { return settings_; }

  MemberList member_list(const Line& line, const std::vector<Row>& rows);
  Request request(const Line& line);
  Outcome outcome(const Line& line);
  ProbeResult probe_result(const Line& line);
  StreamStarted started(const Line& line);
  ClientGone client_gone(const Line& line);
  void print(const Action& action, std::string& out);
  void forget_closed();  // drops the ids of requests that are closed and have no attempt in flight

 private:
  struct Ticket {
    std::string text;
    int out = 0;
    bool closed = false;
  };
  RequestId known_request(const Line& line) const;
  MemberId host(const Line& line) const;
  Report report(const Line& line) const;
  void close(RequestId id);

  Settings settings_;
  Micros zero_{0};
  std::map<std::string, int, std::less<>> classes_, tenants_;
  std::unordered_map<std::string, MemberId> hosts_;
  std::vector<std::string> host_names_;
  std::unordered_map<std::string, RequestId> tickets_;
  std::unordered_map<RequestId, Ticket> open_;
  std::vector<RequestId> closed_;
  RequestId next_ = 1;
};

}  // namespace request_router::wire
