// Two processes behind one listening socket: each keeps a page in a folder that both have, and reads the
// other's ten times a second. The folder is memory (`$TMPDIR`); no call here waits for a disk.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "handover/page.h"
#include "net/log.h"
#include "net/loop.h"

namespace linenwinch::handover {

class Exchange {
 public:
  struct House {
    std::function<membership::Marks()> marks;
    std::function<void(const membership::Marks&)> merge;  // marks of another process, old or running
    std::function<std::size_t()> descriptors;             // held by this one
    // Told of each change: how many others there are, and what they hold.
    std::function<void(int, std::size_t)> beside;
    // What this process has learned of data servers, told soon; and what another one has.
    std::function<void(std::function<void(routing::Learned)>)> learned;
    std::function<void(const routing::Learned&)> learn;
  };
  Exchange(net::Loop& loop, std::string folder, House house, net::Log log);
  ~Exchange();

  void set_stage(Stage stage);
  void marked() { publish(true); }  // this process's marks have changed
  // Another process serves, and is not about to leave.
  bool relieved() const { return relieved_; }
  void look();

 private:
  struct Known {
    std::uint64_t file = 0;  // its number in the file system: another one with each writing
    std::int64_t changed = 0;
    Page page;
    bool good = false;
  };
  void publish(bool must);
  void read(const std::string& name);

  net::Loop& loop_;
  std::string folder_, own_;
  House house_;
  net::Log log_;
  Page page_;
  std::map<std::string, Known> known_;
  std::size_t others_hold_ = 0;
  int others_ = 0;
  std::int64_t learned_from_ = 0;
  net::Micros started_, told_at_{INT64_MIN / 2};
  bool relieved_ = false, failing_ = false;
  net::Loop::TimerId timer_ = net::Loop::kNoTimer;
};

}  // namespace linenwinch::handover
