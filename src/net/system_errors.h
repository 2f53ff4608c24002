// Classification of system call errors, and their texts for log lines.
#pragma once

#include <cerrno>
#include <string>
#include <system_error>

namespace database_proxy::net {

// Returns whether the same call may succeed a moment later: the system lacks a resource, or an address is not
// released yet.
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

// Returns whether opening a connection failed at once for a reason on this machine, such as a missing
// resource or route, which is no evidence about the peer.
constexpr bool is_local_error(int error) {
  switch (error) {
    case EADDRNOTAVAIL:
    case EAGAIN:
    case EHOSTUNREACH:  // from a non-blocking call: there is no route
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

// Returns the system's text for an errno value.
inline std::string message_of(int error) { return std::generic_category().message(error); }

}  // namespace database_proxy::net
