// Checks from outside that a node gives nothing new to a data server that it was told to leave, by discovery
// or by an operator, whichever of the node's processes was told, and that it uses one again that was put
// back. Requests name their node: their ids begin with its name and the letter c. Safe from several threads.
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

class WithdrawalChecker {
 public:
  // `grace`: from the first notice to the last attempt, that of the sockets included.
  explicit WithdrawalChecker(Micros grace) : grace_(grace) {}

  // Discovery's notice was written to one of the node's processes.
  void on_listed(Micros now, const std::string& node, const std::string& server, bool takes_work);
  // A process of the node has answered yes.
  void on_cordoned(Micros now, const std::string& node, const std::string& server);
  // A process of the node is told to put it back; it may use it from now on.
  void on_uncordoning(Micros now, const std::string& node, const std::string& server);
  // Whether the last command holds is not known: nothing is checked until the next one.
  void on_unanswered(const std::string& node, const std::string& server);
  // One of the node's processes stands still, or goes on: what it had under way comes late.
  void on_stopped(const std::string& node);
  void on_continued(Micros now, const std::string& node);

  // An attempt's first byte came. What is wrong with it, in words; nullopt: nothing.
  std::optional<std::string> on_attempt(Micros begun, std::string_view request, const std::string& server);
  // Servers that were put back, and were left unused though they might have been used all the time from then
  // on; `now` is the end of the load.
  std::vector<std::string> unused_since_return(Micros now, const std::string& server, Micros allowed) const;

 private:
  struct Withdrawal {
    std::optional<Micros> drained_at, cordoned_at;
    std::optional<Micros> returned_at;  // the last return, as long as nothing takes it out again
    bool is_used_since_return = false;
  };
  using Key = std::pair<std::string, std::string>;  // node, server

  bool is_suspended(Micros begun, const std::string& node) const;

  const Micros grace_;
  mutable std::mutex mutex_;
  std::map<Key, Withdrawal> withdrawals_;
  std::set<std::string> stopped_;
  std::map<std::string, Micros> continued_at_;
};

}  // namespace database_proxy::testbench
