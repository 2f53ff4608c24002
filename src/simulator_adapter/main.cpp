// request-router-simulator-adapter: runs routers for the simulator, over standard input and output.
// Maps the simulator's names to ids for each instance and passes events to the routers and their actions
// back; all decisions are made by the routers.
#include <array>
#include <charconv>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "simulator_adapter/wire.h"

namespace {

using namespace request_router;
using wire::Line;
using wire::MalformedInput;

// Limits of the simulator's protocol.
constexpr std::size_t kMaxLists = 16;  // number of member lists kept; the field Ref is the index
constexpr std::int64_t kMaxListMembers = 10'000'000;  // number of members in one list
constexpr std::int64_t kMaxPeerId = 1 << 30;          // the id of a peer fits in an int

// Number of characters of a malformed line that an error message quotes.
constexpr std::size_t kMaxQuotedCharacters = 300;

// One router of the simulation, with the events of the current batch that it has not handled yet.
struct Instance {
  Instance(const Line& spawn, std::uint64_t seed) : names(spawn), router(names.settings(), seed) {}
  wire::InstanceNames names;
  Router router;
  std::vector<Event> events;
};

// Reads batches of events from standard input and, after each, writes the actions of all routers that the
// batch addressed.
class AdapterLoop {
 public:
  // Reads and processes one batch; returns false at the end of input.
  bool process_batch() {
    if (!read_line()) return false;
    Line sync(line_);
    if (sync.message_type() != "SYNC") sync.fail("expected SYNC");
    Micros now = sync.millis("TMs");
    if (now < now_) sync.fail("TMs went back: earlier than in the previous batch");
    now_ = now;
    addressed_instances_.clear();
    current_instance_.reset();
    while (true) {
      if (!read_line())
        throw MalformedInput("the input ended inside a batch, after line: " +
                             previous_line_.substr(0, kMaxQuotedCharacters));
      Line line(line_);
      if (line.message_type() == "OVER_TO_YOU") break;
      dispatch(line);
    }
    write_reply();
    return true;
  }

 private:
  // Reads the next line into line_, without its line end; returns false at the end of input.
  bool read_line() {
    previous_line_.swap(line_);
    if (!std::getline(std::cin, line_)) return false;
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    return true;
  }

  // Returns the instance that the last ABOUT line selected and marks it as addressed by this batch.
  Instance& require_instance(const Line& line) {
    if (!current_instance_) line.fail("event before any ABOUT line");
    auto known = instances_.find(*current_instance_);
    if (known == instances_.end()) line.fail("instance was never started or was retired");
    addressed_instances_.insert(*current_instance_);
    return known->second;
  }

  // Passes a line to the handler of its message type.
  void dispatch(const Line& line) {
    using Handler = void (AdapterLoop::*)(const Line&);
    static const std::map<std::string_view, Handler> kHandlers{
        {"ABOUT", &AdapterLoop::on_about},
        {"ORDER", &AdapterLoop::on_order},
        {"RETURNED", &AdapterLoop::on_returned},
        {"ELAPSED", &AdapterLoop::on_elapsed},
        {"HEALTH", &AdapterLoop::on_health},
        {"LAPSED", &AdapterLoop::on_lapsed},
        {"ROSTER_CHANGE", &AdapterLoop::on_roster_change},
        {"SNAPSHOT_ROWS", &AdapterLoop::on_snapshot_rows},
        {"MAIL", &AdapterLoop::on_mail},
        {"STARTED", &AdapterLoop::on_started},
        {"SPAWN", &AdapterLoop::on_spawn},
        {"RETIRE", &AdapterLoop::on_retire}};
    auto handler = kHandlers.find(line.message_type());
    if (handler == kHandlers.end()) line.fail("unknown message type");
    (this->*handler->second)(line);
  }

  void on_about(const Line& line) { current_instance_ = line.integer("I", 0, INT64_MAX); }

  void on_order(const Line& line) {
    Instance& target = require_instance(line);
    target.events.emplace_back(target.names.request(line));
  }

  void on_returned(const Line& line) {
    Instance& target = require_instance(line);
    target.events.emplace_back(target.names.outcome(line));
  }

  void on_elapsed(const Line& line) {
    Instance& target = require_instance(line);
    target.events.emplace_back(TimerFired{static_cast<std::uint64_t>(line.integer("KeyBack", 0, INT64_MAX))});
  }

  void on_health(const Line& line) {
    Instance& target = require_instance(line);
    target.events.emplace_back(target.names.probe_result(line));
  }

  void on_lapsed(const Line& line) {
    Instance& target = require_instance(line);
    target.events.emplace_back(target.names.client_gone(line));
  }

  void on_roster_change(const Line& line) {
    static const std::vector<wire::Row> kNoRows;
    Instance& target = require_instance(line);
    bool failed = line.text("Form") == "1";
    auto ref = failed ? 0 : line.integer("Ref", 0, kMaxLists - 1);
    if (!failed && !lists_[ref]) line.fail("field Ref names a member list that was never sent");
    target.events.emplace_back(target.names.member_list(line, failed ? kNoRows : *lists_[ref]));
  }

  void on_mail(const Line& line) {
    Instance& target = require_instance(line);
    target.events.emplace_back(PeerMessage{static_cast<int>(line.integer("Who", 0, kMaxPeerId)), ""});
  }

  void on_started(const Line& line) {
    Instance& target = require_instance(line);
    target.events.emplace_back(target.names.stream_started(line));
  }

  void on_spawn(const Line& line) {
    if (!current_instance_) line.fail("event before any ABOUT line");
    auto seed = line.integer("RngSeed", INT64_MIN, INT64_MAX);
    instances_.erase(*current_instance_);
    try {
      instances_.try_emplace(*current_instance_, line, static_cast<std::uint64_t>(seed));
    } catch (const std::invalid_argument& error) {
      line.fail(error.what());
    }
    addressed_instances_.insert(*current_instance_);
  }

  void on_retire(const Line& line) {
    require_instance(line);
    instances_.erase(*current_instance_);
    addressed_instances_.erase(*current_instance_);
  }

  void on_snapshot_rows(const Line& head) {
    auto ref = head.integer("Ref", 0, kMaxLists - 1);
    auto count = head.integer("Members", 0, kMaxListMembers);
    std::vector<wire::Row> rows;
    for (std::int64_t n = 0; n < count; ++n) {
      if (!read_line())
        throw MalformedInput("the input ended inside a member list, after line: " +
                             previous_line_.substr(0, kMaxQuotedCharacters));
      Line row(line_);
      if (row.message_type() != "ROW")
        row.fail("member list of " + std::to_string(count) + " entries has fewer rows");
      rows.push_back(wire::parse_row(row));
    }
    lists_[ref] = std::move(rows);
  }

  void write_reply() {
    output_.clear();
    for (auto number : addressed_instances_) {
      Instance& instance = instances_.at(number);
      auto actions = instance.router.handle(now_, instance.events);
      instance.events.clear();
      if (!actions.empty()) output_.append("CONTEXT I=").append(std::to_string(number)).append("\n");
      for (const auto& action : actions) instance.names.print(action, output_);
      instance.names.erase_closed_requests();
    }
    output_.append("DONE\n");
    std::cout.write(output_.data(), static_cast<std::streamsize>(output_.size())).flush();
  }

  std::map<std::int64_t, Instance> instances_;
  std::array<std::optional<std::vector<wire::Row>>, kMaxLists> lists_;
  std::optional<std::int64_t> current_instance_;
  std::set<std::int64_t> addressed_instances_;
  Micros now_{INT64_MIN};
  std::string line_, previous_line_, output_;
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    AdapterLoop adapter;
    while (adapter.process_batch()) {
    }
  } catch (const std::exception& error) {
    std::cerr << "request-router-simulator-adapter: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
