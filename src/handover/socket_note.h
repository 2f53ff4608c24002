// A short text that the kernel keeps with a listening socket, for all processes that hold it: the constants
// of a packet filter that lets every packet pass (SO_ATTACH_FILTER, SO_GET_FILTER). It is replaced as a
// whole, is there as long as the socket is, whatever becomes of processes and file systems, and goes with it.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace database_proxy::handover {

// What a filter's instructions have room for.
constexpr std::size_t kLongestSocketNote = 16'000;

class SocketNote {
 public:
  // `listener` must outlive this.
  explicit SocketNote(int listener) : listener_(listener) {}

  // nullopt: there is none, or it cannot be read for the moment.
  std::optional<std::string> read() const;
  // 0, or the error for which the old one stands: EMSGSIZE where it is too long, EBUSY where somebody else
  // has attached a filter.
  int write(std::string_view text) const;

 private:
  int listener_;
};

}  // namespace database_proxy::handover
