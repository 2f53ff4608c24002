// Checks from outside that a node sends no new request to a server that is drained by discovery or cordoned
// by an operator, whichever of the node's processes was notified, and that it uses a server again after an
// uncordon. Requests identify their node: their ids begin with its name and the letter c. Thread-safe.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "net/loop.h"

namespace database_proxy::testbench {

using net::Micros;

class OutOfServiceChecker {
 public:
  // `grace`: maximum time from the first notice to the last attempt, including the allowance for the sockets.
  explicit OutOfServiceChecker(Micros grace) : grace_(grace) {}

  // Records that discovery's update was written to one of the node's processes.
  void on_listed(Micros now, const std::string& node, const std::string& server, bool takes_work);
  // Records that a process of the node has confirmed a cordon.
  void on_cordoned(Micros now, const std::string& node, const std::string& server);
  // Records that an uncordon is sent to a process of the node; the node may use the server from now on.
  void on_uncordoning(Micros now, const std::string& node, const std::string& server);
  // Records that the last command was not answered, so its effect is unknown: operators' commands are not
  // checked until the next one.
  void on_unanswered(const std::string& node, const std::string& server);
  // Record that one of the node's processes is stopped, or continues: attempts that it had begun arrive late.
  void on_stopped(const std::string& node);
  void on_continued(Micros now, const std::string& node);

  // Records an attempt whose first byte arrived at `begun`. Returns a description of the violation; nullopt
  // if there is none.
  std::optional<std::string> on_attempt(Micros begun, std::string_view request, const std::string& server);
  // Returns a description for each node that has not used `server` for longer than `allowed` since it was
  // uncordoned, though the server has been in service all that time; `now` is the end of the load.
  std::vector<std::string> unused_since_return(Micros now, const std::string& server, Micros allowed) const;

 private:
  struct ServiceState {
    std::optional<Micros> drained_at, cordoned_at;
    std::optional<Micros> returned_at;  // last uncordon; reset when the server goes out of service again
    bool is_used_since_return = false;
  };
  using Key = std::pair<std::string, std::string>;  // node, server

  bool is_suspended(Micros begun, const std::string& node) const;

  const Micros grace_;
  mutable std::mutex mutex_;
  std::map<Key, ServiceState> service_states_;
  std::set<std::string> stopped_;
  std::map<std::string, Micros> continued_at_;
};

}  // namespace database_proxy::testbench
