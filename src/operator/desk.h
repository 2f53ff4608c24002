// Serves operators' calls over what the process has. Knows no socket; with several workers its answers come
// once all of them have done what was asked.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "membership/cordons.h"
#include "net/log.h"
#include "operator/call.h"

namespace linenwinch::operation {

// What the process gives to the desk, all in the desk's thread.
struct House {
  // Tells a change of the list to all that decide and send; `applied` once nothing old goes out any more.
  std::function<void(discovery::MemberUpdate, std::function<void()> applied)> tell;
  // Figures without the names of classes, which are the settings' in their order.
  std::function<void(std::function<void(Figures)>)> figures;
  std::function<std::string()> unable;  // why it cannot serve; empty: it can
  std::function<void()> marked;         // the marks have changed by a call
};

class Desk {
 public:
  using Answer = std::function<void(std::string)>;
  Desk(std::vector<std::string> classes, net::Log log) : classes_(std::move(classes)), log_(std::move(log)) {}
  void open(House house) { house_ = std::move(house); }
  void serve(const Call& call, const Answer& answer);

  discovery::MemberUpdate lay_over(discovery::MemberUpdate update) {
    return cordons_.lay_over(std::move(update));
  }
  const membership::Marks& marks() const { return cordons_.marks(); }
  void merge(const membership::Marks& marks);  // another process's

 private:
  void cordon(const std::string& id, bool out, const Answer& answer);

  std::vector<std::string> classes_;
  net::Log log_;
  membership::Cordons cordons_;
  House house_;
};

}  // namespace linenwinch::operation
