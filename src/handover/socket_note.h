// A short text that the kernel stores with a listening socket, for all processes that hold the socket. It is
// encoded in the constants of a packet filter that accepts every packet (SO_ATTACH_FILTER, SO_GET_FILTER).
// The text is replaced as a whole. It exists as long as the socket does, independently of processes and file
// systems.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace database_proxy::handover {

// The instructions of a filter have space for this number of bytes.
constexpr std::size_t kMaxSocketTextBytes = 16'000;

class SocketText {
 public:
  // `listener` must outlive this object.
  explicit SocketText(int listener) : listener_(listener) {}

  // Returns nullopt if there is no text or it cannot be read at the moment.
  std::optional<std::string> read() const;
  // Replaces the text. Returns 0, or the error because of which the old text stays: EMSGSIZE if the new one
  // is too long, EBUSY if another program has attached a filter.
  int write(std::string_view text) const;

 private:
  int listener_;
};

}  // namespace database_proxy::handover
