#include "proxy/session_input.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace database_proxy::proxy {
namespace {

// One client's share of one iteration of the loop.
constexpr int kCommandsPerIteration = 8;
constexpr std::size_t kBytesPerIteration = 64 * 1024;
// The share of a client whose connection is closed in this iteration: no limit of commands, and so many bytes
// that a client which sends continuously does not delay the end of the process.
constexpr std::size_t kLastBytes = 256 * 1024;

}  // namespace

void SessionInput::begin_iteration() {
  if (std::exchange(iteration_, loop_.iteration()) == loop_.iteration()) return;
  commands_left_ = kCommandsPerIteration;
  bytes_left_ = kBytesPerIteration;
}

void SessionInput::grant_last_share() {
  begin_iteration();
  commands_left_ = std::numeric_limits<int>::max();
  bytes_left_ = kLastBytes;
}

net::IoResult SessionInput::read(int descriptor) {
  begin_iteration();
  auto size_before = view().size();
  auto since = is_caught_up_ ? loop_.ready_since() : unread_since_;
  auto end = buffer_.fill(descriptor, kReadAhead, bytes_left_);
  auto size_read = view().size() - size_before;
  bytes_left_ -= std::min(bytes_left_, size_read);
  is_paused_ = end == net::IoResult::kFull;
  if (net::is_disconnected(end)) return end;
  if (size_read > 0 && !input_since_) input_since_ = since;
  is_caught_up_ = !is_paused_;
  was_paused_in_command_ = was_paused_in_command_ || is_paused_;
  unread_since_ = since;
  return end;
}

// If reading stopped in the middle of the next command, the rest of that command may have waited on the
// client's side since then, so its arrival time is kept.
void SessionInput::on_commands_taken(std::size_t parsed) {
  if (is_paused_) return;
  if (view().size() == parsed) was_paused_in_command_ = false;
  if (!was_paused_in_command_) input_since_.reset();
}

}  // namespace database_proxy::proxy
