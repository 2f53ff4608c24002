#include "proxy/arrival_times.h"

#include <algorithm>
#include <utility>

namespace database_proxy::proxy {
namespace {

// What the systems of both ends buffer of one connection at most. A client cannot have sent a byte before so
// many earlier ones were read.
constexpr std::uint64_t kMaxBytesInTransit = 8 * 1024 * 1024;
constexpr std::uint64_t kCheckpointBytes = 256 * 1024;
// Beyond this number, later input counts as part of the last segment.
constexpr std::size_t kMaxSegments = 64;

}  // namespace

void ArrivalTimes::begin_read(Micros now, Micros ready_since) {
  now_ = now;
  if (!is_caught_up_) return;
  unread_since_ = ready_since;
  checkpoints_.clear();
}

void ArrivalTimes::on_bytes_read(std::size_t size, std::uint64_t end) {
  raise_unread_since();
  bytes_read_ += size;
  bool is_checkpoint_due =
      checkpoints_.empty() || bytes_read_ - checkpoints_.back().bytes_read >= kCheckpointBytes;
  if (is_checkpoint_due) checkpoints_.push_back({bytes_read_, now_});
  if (std::exchange(end_, end) == end) return;
  bool is_new = segments_.empty() || segments_.back().since != unread_since_;
  if (is_new && segments_.size() < kMaxSegments)
    segments_.push_back({end, unread_since_});
  else
    segments_.back().end = end;
}

void ArrivalTimes::raise_unread_since() {
  while (!checkpoints_.empty() && checkpoints_.front().bytes_read + kMaxBytesInTransit <= bytes_read_) {
    unread_since_ = std::max(unread_since_, checkpoints_.front().at);
    checkpoints_.pop_front();
  }
}

void ArrivalTimes::end_read(bool is_paused) {
  is_caught_up_ = !is_paused;
  if (is_paused && !segments_.empty()) segments_.back().is_paused = true;
}

void ArrivalTimes::truncate(std::uint64_t end) {
  end_ = end;
  for (auto& segment : segments_) segment.end = std::min(segment.end, end);
}

void ArrivalTimes::forget_before(std::uint64_t position) {
  while (!segments_.empty() && segments_.front().end <= position) segments_.pop_front();
}

Micros ArrivalTimes::sent_at(std::uint64_t begin, std::uint64_t end) const {
  Micros sent_at = now_;
  for (auto& segment : segments_) {
    if (segment.end <= begin) continue;
    bool is_last = segment.end >= end;
    if (is_last || segment.is_paused) sent_at = std::min(sent_at, segment.since);
    if (is_last) break;
  }
  return sent_at;
}

}  // namespace database_proxy::proxy
