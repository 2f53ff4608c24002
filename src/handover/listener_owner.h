// Which process serves a listening socket that several hold. The kernel keeps the answer: the owner of a
// descriptor (F_SETOWN) belongs to the open file description, which all holders of the socket share. It needs
// no folder, cannot be torn, and is never mistaken for a later process of the same number. The description's
// signal (F_SETSIG), which nothing else uses here, says whether the owner gives the socket up.
#pragma once

#include <sys/types.h>

namespace database_proxy::handover {

class ListenerOwner {
 public:
  // `listener` must outlive this; it stays as it is.
  explicit ListenerOwner(int listener) : listener_(listener) {}

  // This process serves the socket from now on. False: the kernel refuses.
  bool claim() const;
  // Whether another process has claimed it last, and runs.
  bool is_served_by_other() const;
  // The other process that has claimed it last and has not ended; 0: there is none.
  pid_t other_owner() const;
  // The process that has claimed it last is ending: another one that serves is to claim it.
  void release() const;
  // Whether whoever has claimed it last has ended, or gives it up.
  bool is_vacant() const;

 private:
  int listener_;
};

}  // namespace database_proxy::handover
