// TCP sockets: numeric addresses only, everything non-blocking.
#pragma once

#include <sys/socket.h>

#include <optional>
#include <string>
#include <string_view>

#include "net/fd.h"

namespace linenwinch::net {

struct Address {
  sockaddr_storage storage{};
  socklen_t length = 0;
};

// "10.0.0.4:6432" or "[::1]:6432"; nothing else, since there is no DNS.
std::optional<Address> parse_address(std::string_view text);

// The congestion control of all sockets made from now on, by its name in the kernel; empty: the system's own.
// Call it before threads start. False, and nothing changes: the kernel has none of this name, or does not
// allow it.
bool set_congestion_control(const std::string& name);

// `shared`: several sockets of this process listen there, and the kernel deals clients out (SO_REUSEPORT).
Fd listen_on(const Address& address, std::string* error, bool shared = false);
// A listening socket that this process was started with and shares with others. It must be one, and listen on
// `address`. Non-blocking from now on, for all that have it: an accept() that finds nothing must not wait.
Fd inherit_listener(int fd, const Address& address, std::string* error);
Fd start_connect(const Address& address, int* error);  // an Fd even while EINPROGRESS
Fd accept_from(int listener, int* error);              // error is EAGAIN when nothing waits
int socket_error(int fd);                              // SO_ERROR, 0 when fine
int local_port(int fd);

}  // namespace linenwinch::net
