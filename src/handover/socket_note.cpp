#include "handover/socket_note.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <vector>

namespace database_proxy::handover {
namespace {

using Program = std::vector<sock_filter>;

// The program: accept the whole packet; the marker, the length and the text as constants that are never
// loaded, four bytes each; and the return that the kernel wants at the end.
constexpr std::uint32_t kWholePacket = 0xffffffff;
constexpr std::uint32_t kMarker = 0x64627078;
constexpr std::size_t kMarkerAt = 1, kLengthAt = 2, kTextAt = 3, kAroundText = 4;
constexpr std::size_t kBytesPerConstant = 4;

sock_filter accept_packet() { return BPF_STMT(BPF_RET | BPF_K, kWholePacket); }
sock_filter constant(std::uint32_t value) { return BPF_STMT(BPF_LD | BPF_IMM, value); }

Program program_of(std::string_view text) {
  Program program{accept_packet(), constant(kMarker), constant(static_cast<std::uint32_t>(text.size()))};
  for (std::size_t at = 0; at < text.size(); at += kBytesPerConstant) {
    std::uint32_t value = 0;
    std::memcpy(&value, text.data() + at, std::min(kBytesPerConstant, text.size() - at));
    program.push_back(constant(value));
  }
  program.push_back(accept_packet());
  return program;
}

std::optional<std::string> text_of(const Program& program) {
  if (program.size() < kAroundText || program[kMarkerAt].k != kMarker) return std::nullopt;
  std::size_t length = program[kLengthAt].k;
  if (length > (program.size() - kAroundText) * kBytesPerConstant) return std::nullopt;
  std::string text(length, '\0');
  for (std::size_t at = 0; at < length; at += kBytesPerConstant)
    std::memcpy(text.data() + at, &program[kTextAt + at / kBytesPerConstant].k,
                std::min(kBytesPerConstant, length - at));
  return text;
}

// Another process may attach a longer one between the two calls: the second then fails.
std::optional<Program> attached_to(int socket) {
  socklen_t count = 0;  // the kernel counts instructions here, not bytes
  if (getsockopt(socket, SOL_SOCKET, SO_GET_FILTER, nullptr, &count) != 0) return std::nullopt;
  Program program(count);
  if (count == 0) return program;
  if (getsockopt(socket, SOL_SOCKET, SO_GET_FILTER, program.data(), &count) != 0) return std::nullopt;
  program.resize(std::min<std::size_t>(count, program.size()));
  return program;
}

}  // namespace

std::optional<std::string> SocketNote::read() const {
  auto program = attached_to(listener_);
  return program ? text_of(*program) : std::nullopt;
}

int SocketNote::write(std::string_view text) const {
  if (text.size() > kLongestSocketNote) return EMSGSIZE;
  auto attached = attached_to(listener_);
  if (!attached) return errno;
  bool is_foreign = !attached->empty() && !text_of(*attached);
  if (is_foreign) return EBUSY;
  auto program = program_of(text);
  sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
  return setsockopt(listener_, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) == 0 ? 0 : errno;
}

}  // namespace database_proxy::handover
