// TCP sockets: numeric addresses only; all sockets are non-blocking.
#pragma once

#include <sys/socket.h>

#include <optional>
#include <string>
#include <string_view>

#include "net/fd.h"

namespace database_proxy::net {

// An IPv4 or IPv6 address with its port, in the form that system calls take.
struct Address {
  sockaddr_storage storage{};
  socklen_t length = 0;
};

// Parses "10.0.0.4:6432" or "[::1]:6432". Host names are not resolved: DNS is not used.
std::optional<Address> parse_address(std::string_view text);

// Sets the congestion control of all connections opened or accepted from now on, by its name in the kernel;
// empty: the system's default. Call it before threads start. Returns false, and changes nothing, if the
// kernel has no algorithm of this name or does not allow it.
bool set_congestion_control(const std::string& name);

// Sets the local address ("10.0.0.4"; no port) of all connections of its address family that are opened from
// now on; empty: the system chooses. Call it before threads start. Returns false, and changes nothing, if it
// is not an address of this machine.
bool set_source_address(const std::string& address);

// kShared: several sockets of this process listen on one address, and the kernel distributes clients among
// them (SO_REUSEPORT).
enum class PortSharing { kExclusive, kShared };

// Returns a listening socket, or an empty Fd with errno in `*error` if a system call fails.
Fd listen_on(const Address& address, int* error, PortSharing sharing = PortSharing::kExclusive);
// Checks a listening socket that this process inherited at its start, and makes accept() on it non-blocking.
// This process does not own the socket: it is neither closed nor shut down here. Throws std::runtime_error if
// it is not a TCP socket that listens on `address`.
void prepare_inherited_listener(int listener, const Address& address);
// Sets O_NONBLOCK again if it was cleared: all processes that share the socket share the flag, and any of
// them may clear it.
void ensure_non_blocking(int fd);
// Returns a connection that is established or in progress (EINPROGRESS), or an empty Fd with errno in
// `*error`.
Fd start_connect(const Address& address, int* error);
// Accepts the next client; returns an empty Fd with errno in `*error` on failure, EAGAIN if none is waiting.
Fd accept_from(int listener, int* error);
// Returns the pending error of a socket (SO_ERROR); 0: none.
int socket_error(int fd);
// What the end of a connection's peer shows. kUnreadInput: input waits, and the end may wait behind it.
enum class PeerState { kConnected, kUnreadInput, kClosed };
PeerState peer_state(int fd);
// Returns whether the peer has closed, half-closed or reset this connection, even if unread input is pending.
inline bool peer_has_closed(int fd) { return peer_state(fd) == PeerState::kClosed; }
// Returns the number of bytes written to this connection that have not left this machine, because the peer
// does not take them; 0 if the system does not tell.
std::size_t unsent_bytes(int fd);
// Returns the number of bytes written to this connection whose receipt the peer's machine has not confirmed;
// 0 if the system does not tell.
std::size_t unconfirmed_bytes(int fd);
// kReset: bytes that the peer's machine has not received are dropped, also if this process is killed.
// kOrderly: they are still delivered.
enum class CloseMode { kOrderly, kReset };
// Sets what closing the connection does with bytes that are still to be sent.
void set_close_mode(int fd, CloseMode mode);
// Returns the port that a socket is bound to; 0: none.
int local_port(int fd);

}  // namespace database_proxy::net
