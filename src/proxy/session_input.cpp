#include "proxy/session_input.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace database_proxy::proxy {
namespace {

// One client's share of one iteration of the loop: 8 requests, or 64 commands that are answered at once.
constexpr std::int64_t kRequestShare = 8, kCheapCommandShare = 1;
constexpr std::int64_t kCommandSharePerIteration = 8 * kRequestShare;
constexpr std::size_t kBytesPerIteration = 64 * 1024;
// The bytes of all clients that continue in one iteration; with many of them, each has a smaller share.
constexpr std::size_t kBytesOfAllClients = 1024 * 1024;
constexpr std::size_t kMinBytesPerIteration = 8 * 1024;
// The share of a client whose connection is closed in this iteration: no limit of commands, and so many bytes
// that a client which sends continuously does not delay the end of the process.
constexpr std::size_t kLastBytes = 256 * 1024;

}  // namespace

void SessionInput::begin_iteration() {
  if (std::exchange(iteration_, loop_.iteration()) == loop_.iteration()) return;
  command_share_left_ = kCommandSharePerIteration;
  auto clients = std::max<std::size_t>(1, loop_.called_again());
  bytes_left_ = std::clamp(kBytesOfAllClients / clients, kMinBytesPerIteration, kBytesPerIteration);
}

void SessionInput::grant_last_share() {
  begin_iteration();
  command_share_left_ = std::numeric_limits<std::int32_t>::max();
  bytes_left_ = kLastBytes;
}

bool SessionInput::take_command_share() {
  if (command_share_left_ <= 0) return false;
  command_share_left_ -= kRequestShare;
  return true;
}

void SessionInput::return_command_share() { command_share_left_ += kRequestShare - kCheapCommandShare; }

net::IoResult SessionInput::read(int descriptor) {
  begin_iteration();
  arrival_times_.begin_read(loop_.now(), loop_.ready_since());
  if (!is_paused_) read_since_end_ = 0;
  auto end = net::IoResult::kMore;
  while (end == net::IoResult::kMore) end = read_once(descriptor);
  is_paused_ = end == net::IoResult::kFull;
  if (net::is_disconnected(end)) return end;
  arrival_times_.end_read(is_paused_);
  buffer_.consume(0);  // an empty buffer frees its memory
  return end;
}

net::IoResult SessionInput::read_once(int descriptor) {
  if (is_buffer_full() || is_share_used_up()) return net::IoResult::kFull;
  auto size_before = view().size();
  auto end = buffer_.read_once(descriptor, std::min(kReadAhead, size_before + bytes_left_));
  auto size_read = view().size() - size_before;
  if (size_read == 0) return end;
  bytes_left_ -= size_read;
  read_since_end_ += size_read;
  if (has_started_messages_) drop_unanswered_messages();
  arrival_times_.on_bytes_read(size_read, consumed_ + size_without_dropped_header());
  return end;
}

void SessionInput::start_messages() {
  has_started_messages_ = true;
  drop_unanswered_messages();
  arrival_times_.truncate(consumed_ + size_without_dropped_header());
}

void SessionInput::drop_unanswered_messages() {
  auto result = filter_.filter(buffer_.data_from(filtered_), view().size() - filtered_);
  buffer_.truncate(filtered_ + result.size);
  filtered_ += result.scanned;
  has_dropped_messages_ = has_dropped_messages_ || result.dropped_ends > 0;
}

// The end of the view may be the beginning of a header whose message will be dropped.
std::size_t SessionInput::size_without_dropped_header() const {
  bool is_dropped = has_started_messages_ && filtered_ < view().size() && filter_.drops(view()[filtered_]);
  return is_dropped ? filtered_ : view().size();
}

void SessionInput::consume(std::size_t size) {
  buffer_.consume(size);
  filtered_ -= std::min(filtered_, size);
  consumed_ += size;
  arrival_times_.forget_before(consumed_);
}

}  // namespace database_proxy::proxy
