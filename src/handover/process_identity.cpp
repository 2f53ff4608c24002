#include "handover/process_identity.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <string>
#include <string_view>

#include "net/fd.h"

namespace database_proxy::handover {
namespace {

// Indexes of fields in /proc/PID/stat, counted from the field after the program's name.
constexpr int kStateField = 0, kStartField = 19;

struct KernelStat {
  char state = 'R';
  std::uint64_t start_ticks = 0;
};

std::string_view field(std::string_view text, int number) {
  for (; number > 0; --number) {
    auto end = text.find(' ');
    if (end == std::string_view::npos) return {};
    text.remove_prefix(end + 1);
  }
  return text.substr(0, text.find(' '));
}

// Returns nullopt if there is no such process or /proc cannot be read.
std::optional<KernelStat> read_stat(pid_t pid) {
  net::Fd file(open(fmt::format("/proc/{}/stat", pid).c_str(), O_RDONLY | O_CLOEXEC));
  std::array<char, 1024> buffer{};
  ssize_t size = file ? read(file.get(), buffer.data(), buffer.size()) : -1;
  if (size <= 0) return std::nullopt;
  std::string_view text(buffer.data(), static_cast<std::size_t>(size));
  auto name_end = text.rfind(')');  // the name may contain any character
  constexpr std::size_t kNameEndLength = 2;
  if (name_end == std::string_view::npos || name_end + kNameEndLength >= text.size()) return std::nullopt;
  text.remove_prefix(name_end + kNameEndLength);
  KernelStat stat;
  stat.state = field(text, kStateField)[0];
  auto start = field(text, kStartField);
  std::from_chars(start.data(), start.data() + start.size(), stat.start_ticks);
  return stat;
}

ProcessState to_state(char state) {
  switch (state) {
    case 'Z':
    case 'X':
    case 'x':
      return ProcessState::kGone;
    case 'T':
    case 't':
      return ProcessState::kStopped;
    default:
      return ProcessState::kRunning;
  }
}

}  // namespace

ProcessIdentity ProcessIdentity::own() {
  auto pid = getpid();
  auto stat = read_stat(pid);
  return {pid, stat ? stat->start_ticks : 0};
}

ProcessState state_of(pid_t pid) {
  if (kill(pid, 0) != 0 && errno == ESRCH) return ProcessState::kGone;
  auto stat = read_stat(pid);
  return stat ? to_state(stat->state) : ProcessState::kRunning;
}

ProcessState state_of(const ProcessIdentity& process) {
  if (kill(process.pid, 0) != 0 && errno == ESRCH) return ProcessState::kGone;
  auto stat = read_stat(process.pid);
  if (!stat) return ProcessState::kRunning;
  bool is_reused_pid = process.start_ticks != 0 && stat->start_ticks != process.start_ticks;
  return is_reused_pid ? ProcessState::kGone : to_state(stat->state);
}

}  // namespace database_proxy::handover
