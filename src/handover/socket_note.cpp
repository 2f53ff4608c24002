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

// Layout of the program: an instruction that accepts the whole packet; the marker, the length and the text as
// constants of load instructions that are never executed, four bytes each; and the return instruction that
// the kernel requires at the end.
constexpr std::uint32_t kWholePacket = 0xffffffff;
constexpr std::uint32_t kMarker = 0x64627078;
constexpr std::size_t kMarkerIndex = 1, kLengthIndex = 2, kTextIndex = 3, kFixedInstructions = 4;
constexpr std::size_t kBytesPerConstant = 4;

sock_filter accept_packet() { return BPF_STMT(BPF_RET | BPF_K, kWholePacket); }
sock_filter load_constant(std::uint32_t value) { return BPF_STMT(BPF_LD | BPF_IMM, value); }

Program encode_program(std::string_view text) {
  Program program{accept_packet(), load_constant(kMarker),
                  load_constant(static_cast<std::uint32_t>(text.size()))};
  for (std::size_t at = 0; at < text.size(); at += kBytesPerConstant) {
    std::uint32_t value = 0;
    std::memcpy(&value, text.data() + at, std::min(kBytesPerConstant, text.size() - at));
    program.push_back(load_constant(value));
  }
  program.push_back(accept_packet());
  return program;
}

std::optional<std::string> decode_text(const Program& program) {
  if (program.size() < kFixedInstructions || program[kMarkerIndex].k != kMarker) return std::nullopt;
  std::size_t length = program[kLengthIndex].k;
  if (length > (program.size() - kFixedInstructions) * kBytesPerConstant) return std::nullopt;
  std::string text(length, '\0');
  for (std::size_t at = 0; at < length; at += kBytesPerConstant)
    std::memcpy(text.data() + at, &program[kTextIndex + at / kBytesPerConstant].k,
                std::min(kBytesPerConstant, length - at));
  return text;
}

// Another process may attach a longer filter between the two calls: the second call fails then.
std::optional<Program> read_attached_filter(int socket) {
  socklen_t count = 0;  // the kernel counts instructions here, not bytes
  if (getsockopt(socket, SOL_SOCKET, SO_GET_FILTER, nullptr, &count) != 0) return std::nullopt;
  Program program(count);
  if (count == 0) return program;
  if (getsockopt(socket, SOL_SOCKET, SO_GET_FILTER, program.data(), &count) != 0) return std::nullopt;
  program.resize(std::min<std::size_t>(count, program.size()));
  return program;
}

}  // namespace

std::optional<std::string> SocketText::read() const {
  auto program = read_attached_filter(listener_);
  return program ? decode_text(*program) : std::nullopt;
}

int SocketText::write(std::string_view text) const {
  if (text.size() > kMaxSocketTextBytes) return EMSGSIZE;
  auto attached = read_attached_filter(listener_);
  if (!attached) return errno;
  bool is_foreign = !attached->empty() && !decode_text(*attached);
  if (is_foreign) return EBUSY;
  auto program = encode_program(text);
  sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
  return setsockopt(listener_, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) == 0 ? 0 : errno;
}

}  // namespace database_proxy::handover
