// Identifies the process that serves a listening socket which several processes hold. The kernel stores it:
// the owner of a descriptor (F_SETOWN) belongs to the open file description, which all holders of the socket
// share. This needs no folder, cannot be corrupt, and never mistakes a later process with the same pid for
// the owner. The signal of the description (F_SETSIG), which nothing else uses here, marks whether the owner
// has released the socket.
#pragma once

#include <sys/types.h>

namespace database_proxy::handover {

class ListenerOwner {
 public:
  // `listener` must outlive this object, which does not close it.
  explicit ListenerOwner(int listener) : listener_(listener) {}

  // Makes this process the owner of the socket. Returns false if the kernel rejects the call.
  bool claim() const;
  // Returns whether the last process that claimed the socket is another one, and is running.
  bool is_served_by_other() const;
  // Returns the last process that claimed the socket if it is another one and has not ended, otherwise 0.
  pid_t other_owner() const;
  // Marks the socket as released, because its owner is shutting down: another process that serves is to claim
  // it.
  void release() const;
  // Returns whether no process has claimed the socket, or the last one that did has ended or has released it.
  bool is_vacant() const;

 private:
  int listener_;
};

}  // namespace database_proxy::handover
