// The operators' address: a call a connection, an answer within a second. Bounded in callers, time and bytes.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/buffer.h"
#include "net/loop.h"
#include "operator/call.h"

namespace linenwinch::operation {

// Descriptors that the door may hold: its listener and its callers. They are kept back from clients.
constexpr std::size_t kMostCallers = 16, kDoorDescriptors = kMostCallers + 1;

class Door {
 public:
  using Answer = std::function<void(std::string)>;  // may be called later, in the loop's thread; once
  using Serve = std::function<void(const Call&, Answer)>;
  // Throws std::runtime_error when it cannot listen.
  Door(net::Loop& loop, const std::string& address, Serve serve);
  ~Door();
  int port() const;
  std::size_t descriptors() const { return 1 + callers_.size() + closed_.size(); }  // of kDoorDescriptors

 private:
  class Listener : public net::Handler {
   public:
    explicit Listener(Door& door) : door_(door) {}
    void on_ready(std::uint32_t) override { door_.accept_all(); }

   private:
    Door& door_;
  };
  class Caller;
  void accept_all();
  void close(std::uint64_t number);
  bool make_room();

  net::Loop& loop_;
  Serve serve_;
  Listener on_listener_;
  net::Fd listener_;
  std::uint64_t next_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Caller>> callers_;  // in the order in which they came
  std::vector<std::unique_ptr<Caller>> closed_;               // one may be in a call of its own
  net::Loop::TimerId again_ = net::Loop::kNoTimer;
  std::shared_ptr<Door*> self_;  // empty for answers that come after the door has gone
};

}  // namespace linenwinch::operation
