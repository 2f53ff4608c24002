// Which errors of system calls pass by themselves, and how an error is put into a line of the log.
#pragma once

#include <cerrno>
#include <string>
#include <system_error>

namespace database_proxy::net {

// Whether the same call may succeed a moment later: the system is short of something, or an address is still
// being given back.
constexpr bool is_transient(int error) {
  switch (error) {
    case EADDRINUSE:
    case EAGAIN:
    case EINTR:
    case EIO:
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case ENOSPC:
      return true;
    default:
      return false;
  }
}

// Whether a call that opens a connection failed at once for want of something on this machine, a route
// included, which says nothing of the peer.
constexpr bool is_local_error(int error) {
  switch (error) {
    case EADDRNOTAVAIL:
    case EAGAIN:
    case EHOSTUNREACH:  // of a call that does not wait: no route leads there
    case EMFILE:
    case ENETDOWN:
    case ENETUNREACH:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
      return true;
    default:
      return false;
  }
}

inline std::string message_of(int error) { return std::generic_category().message(error); }

}  // namespace database_proxy::net
