// TCP sockets: numeric addresses only, everything non-blocking.
#pragma once

#include <sys/socket.h>

#include <optional>
#include <string>
#include <string_view>

#include "net/fd.h"

namespace database_proxy::net {

// An IPv4 or IPv6 address with its port, as the system calls take it.
struct Address {
  sockaddr_storage storage{};
  socklen_t length = 0;
};

// "10.0.0.4:6432" or "[::1]:6432". Names are not resolved: there is no DNS.
std::optional<Address> parse_address(std::string_view text);

// The congestion control of all sockets made from now on, by its name in the kernel; empty: the system's own.
// Call it before threads start. False, and nothing changes: the kernel has none of this name, or does not
// allow it.
bool set_congestion_control(const std::string& name);

// All connections made from now on leave from this address ("10.0.0.4"; no port); empty: as the system
// chooses. Call it before threads start. False, and nothing changes: it is no address of this machine.
bool set_source_address(const std::string& address);

// Whether several sockets of this process listen at one address and the kernel shares clients out among them
// (SO_REUSEPORT).
enum class PortSharing { kExclusive, kShared };

// A listening socket; an empty one and errno in `error` where the system refuses.
Fd listen_on(const Address& address, int* error, PortSharing sharing = PortSharing::kExclusive);
// Checks a listening socket that this process was started with, and makes accept() on it return at once. It
// stays its owner's: neither closed nor shut down here. Throws std::runtime_error where it is no TCP socket
// that listens on `address`.
void prepare_inherited_listener(int listener, const Address& address);
// Keeps accept() from waiting: the flag belongs to all processes that share the socket, and any may clear it.
void ensure_non_blocking(int fd);
// A connection that is up or on its way (EINPROGRESS); an empty one and errno in `error` where it has failed.
Fd start_connect(const Address& address, int* error);
// The next client; an empty one and errno in `error`, EAGAIN where none waits.
Fd accept_from(int listener, int* error);
// The pending error of a socket (SO_ERROR); 0: none.
int socket_error(int fd);
// Whether the peer has closed, or half-closed, or reset this connection; looks past unread input.
bool peer_has_closed(int fd);
// The port that a socket is bound to; 0: none.
int local_port(int fd);

}  // namespace database_proxy::net
