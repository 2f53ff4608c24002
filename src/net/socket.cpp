#include "net/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <stdexcept>
#include <string>

namespace database_proxy::net {
namespace {

std::string& congestion_control() {
  static std::string name;
  return name;
}

std::optional<Address>& source_address() {
  static std::optional<Address> address;
  return address;
}

constexpr int kEnabled = 1;
// Limits how long accept() blocks on a socket that another process has made blocking.
constexpr suseconds_t kAcceptTimeoutMicros = 10'000;

const sockaddr* as_sockaddr(const Address& address) {
  return reinterpret_cast<const sockaddr*>(&address.storage);
}

// Disables Nagle's algorithm, so that small messages are sent at once, and applies the congestion control
// that was set.
void configure_stream(int fd) {
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &kEnabled, sizeof kEnabled);
  if (!congestion_control().empty())
    setsockopt(fd, IPPROTO_TCP, TCP_CONGESTION, congestion_control().data(),
               static_cast<socklen_t>(congestion_control().size()));
}

// Returns the value of an option at level SOL_SOCKET, or -1 if the descriptor has no such option.
int socket_option(int fd, int name) {
  int value = -1;
  socklen_t length = sizeof value;
  return getsockopt(fd, SOL_SOCKET, name, &value, &length) == 0 ? value : -1;
}

// Returns whether an IPv4 socket bound to `bound` receives connections to `wanted`; port 0 in `wanted`
// matches any port.
bool covers(const sockaddr_in& bound, const sockaddr_in& wanted) {
  bool is_same_host =
      bound.sin_addr.s_addr == htonl(INADDR_ANY) || bound.sin_addr.s_addr == wanted.sin_addr.s_addr;
  return is_same_host && (wanted.sin_port == 0 || bound.sin_port == wanted.sin_port);
}

bool covers(const sockaddr_in6& bound, const sockaddr_in6& wanted) {
  auto is_host = [&](const in6_addr& host) { return std::memcmp(&bound.sin6_addr, &host, sizeof host) == 0; };
  bool is_same_host = is_host(in6addr_any) || is_host(wanted.sin6_addr);
  return is_same_host && (wanted.sin6_port == 0 || bound.sin6_port == wanted.sin6_port);
}

// Returns whether the socket is bound to the address, or to all addresses of the machine with the same port.
bool listens_on(int listener, const Address& address) {
  sockaddr_storage bound{};
  socklen_t length = sizeof bound;
  if (getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &length) != 0) return false;
  if (bound.ss_family != address.storage.ss_family) return false;
  if (bound.ss_family == AF_INET)
    return covers(reinterpret_cast<const sockaddr_in&>(bound),
                  reinterpret_cast<const sockaddr_in&>(address.storage));
  return covers(reinterpret_cast<const sockaddr_in6&>(bound),
                reinterpret_cast<const sockaddr_in6&>(address.storage));
}

}  // namespace

std::optional<Address> parse_address(std::string_view text) {
  auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  auto digits = text.substr(colon + 1);
  unsigned port = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() || port > 65535) return std::nullopt;
  auto host = text.substr(0, colon);
  Address address;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    auto* in6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
    if (inet_pton(AF_INET6, std::string(host.substr(1, host.size() - 2)).c_str(), &in6->sin6_addr) != 1)
      return std::nullopt;
    in6->sin6_family = AF_INET6;
    in6->sin6_port = htons(static_cast<std::uint16_t>(port));
    address.length = sizeof *in6;
  } else {
    auto* in4 = reinterpret_cast<sockaddr_in*>(&address.storage);
    if (inet_pton(AF_INET, std::string(host).c_str(), &in4->sin_addr) != 1) return std::nullopt;
    in4->sin_family = AF_INET;
    in4->sin_port = htons(static_cast<std::uint16_t>(port));
    address.length = sizeof *in4;
  }
  return address;
}

bool set_congestion_control(const std::string& name) {
  Fd test_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  bool is_available =
      name.empty() || (test_socket && setsockopt(test_socket.get(), IPPROTO_TCP, TCP_CONGESTION, name.data(),
                                                 static_cast<socklen_t>(name.size())) == 0);
  if (is_available) congestion_control() = name;
  return is_available;
}

bool set_source_address(const std::string& text) {
  if (text.empty()) {
    source_address().reset();
    return true;
  }
  auto address = parse_address(text.find(':') == std::string::npos ? text + ":0" : "[" + text + "]:0");
  if (!address) return false;
  Fd test_socket(socket(address->storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!test_socket || bind(test_socket.get(), as_sockaddr(*address), address->length) != 0) return false;
  source_address() = address;
  return true;
}

Fd listen_on(const Address& address, int* error, PortSharing sharing) {
  *error = 0;
  Fd fd(socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  bool shared = sharing == PortSharing::kShared;
  if (!fd || setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &kEnabled, sizeof kEnabled) != 0 ||
      (shared && setsockopt(fd.get(), SOL_SOCKET, SO_REUSEPORT, &kEnabled, sizeof kEnabled) != 0) ||
      bind(fd.get(), as_sockaddr(address), address.length) != 0 || listen(fd.get(), SOMAXCONN) != 0) {
    *error = errno;
    return Fd();
  }
  return fd;
}

void ensure_non_blocking(int fd) {
  int flags = fcntl(fd, F_GETFL);
  if (flags >= 0 && (flags & O_NONBLOCK) == 0) fcntl(fd, F_SETFL, flags | O_NONBLOCK);
}

void prepare_inherited_listener(int listener, const Address& address) {
  auto fail = [listener](const char* what) {
    throw std::runtime_error("the inherited descriptor " + std::to_string(listener) + " " + what);
  };
  if (fcntl(listener, F_GETFL) < 0) fail("is not open");
  bool is_tcp =
      socket_option(listener, SO_TYPE) == SOCK_STREAM && socket_option(listener, SO_PROTOCOL) == IPPROTO_TCP;
  if (!is_tcp || socket_option(listener, SO_ACCEPTCONN) != 1) fail("is no listening TCP socket");
  if (!listens_on(listener, address)) fail("listens on another address");
  // If another process makes the socket blocking between the check of the flag and accept(), and a further
  // one has already accepted the waiting client, accept() must not block this process.
  timeval accept_timeout{0, kAcceptTimeoutMicros};
  setsockopt(listener, SOL_SOCKET, SO_RCVTIMEO, &accept_timeout, sizeof accept_timeout);
  ensure_non_blocking(listener);
  fcntl(listener, F_SETFD, FD_CLOEXEC);
}

Fd start_connect(const Address& address, int* error) {
  *error = 0;
  Fd fd(socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) {
    *error = errno;
    return fd;
  }
  configure_stream(fd.get());
  if (source_address() && source_address()->storage.ss_family == address.storage.ss_family) {
    // Leaves the choice of the port to connect(), as without a source address.
    setsockopt(fd.get(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &kEnabled, sizeof kEnabled);
    if (bind(fd.get(), as_sockaddr(*source_address()), source_address()->length) != 0) {
      *error = errno;
      fd.reset();
      return fd;
    }
  }
  if (connect(fd.get(), as_sockaddr(address), address.length) != 0 && errno != EINPROGRESS) {
    *error = errno;
    fd.reset();
  }
  return fd;
}

Fd accept_from(int listener, int* error) {
  Fd fd(accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  *error = fd ? 0 : errno;
  if (fd) configure_stream(fd.get());
  return fd;
}

int socket_error(int fd) {
  int error = 0;
  socklen_t length = sizeof error;
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0) return errno;
  return error;
}

PeerState peer_state(int fd) {
  pollfd state{fd, POLLIN | POLLRDHUP, 0};
  if (poll(&state, 1, 0) <= 0) return PeerState::kConnected;
  if ((state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) return PeerState::kClosed;
  return PeerState::kUnreadInput;
}

std::size_t unsent_bytes(int fd) {
  int bytes = 0;
  return ioctl(fd, SIOCOUTQNSD, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
}

std::size_t unconfirmed_bytes(int fd) {
  int bytes = 0;
  return ioctl(fd, SIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
}

void set_close_mode(int fd, CloseMode mode) {
  linger option{mode == CloseMode::kReset ? 1 : 0, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

int local_port(int fd) {
  sockaddr_storage storage{};
  socklen_t length = sizeof storage;
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &length) != 0) return 0;
  return ntohs(storage.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port
                                             : reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

}  // namespace database_proxy::net
