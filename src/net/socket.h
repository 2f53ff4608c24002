// TCP sockets: numeric addresses only, everything non-blocking.
#pragma once

#include <sys/socket.h>

#include <optional>
#include <string>
#include <string_view>

#include "net/fd.h"

namespace database_proxy::net {

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

// All connections made from now on leave from this address ("10.0.0.4"; no port); empty: as the system
// chooses. Call it before threads start. False, and nothing changes: it is no address of this machine.
bool set_source(const std::string& address);

// `shared`: several sockets of this process listen there, and the kernel deals clients out (SO_REUSEPORT).
Fd listen_on(const Address& address, std::string* error, bool shared = false);
Fd start_connect(const Address& address, int* error);  // an Fd even while EINPROGRESS
Fd accept_from(int listener, int* error);              // error is EAGAIN when nothing waits
int socket_error(int fd);
// Whether the peer has closed, or half-closed, or reset this connection; looks past unread input.
bool peer_has_closed(int fd);  // SO_ERROR, 0 when fine
int local_port(int fd);

}  // namespace database_proxy::net
