// What is known of whether the client of one connection is connected. No I/O, no clock.
//
// The end of a connection arrives behind all input, so it is not seen while input waits in the socket; bytes
// that arrive show nothing, because the system of a closed connection goes on sending what it was given.
// There are two signs: all input was read, and the end was not behind it; or the client's system has
// confirmed bytes that were sent to it, which the system of a closed connection rejects.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace database_proxy::proxy {

using Micros = std::chrono::microseconds;

class PresenceMonitor {
 public:
  // The client had not closed its connection at this time.
  void on_present(Micros at);
  // The socket has accepted `total` bytes for the client since the connection began, the new ones now.
  void on_output_accepted(std::uint64_t total, Micros now);
  // The client's system has confirmed the first `total` of these bytes.
  void on_output_confirmed(std::uint64_t total);

  // Whether the last sign is recent enough for an attempt to begin now.
  bool is_known(Micros now) const;
  // Whether bytes are out whose confirmation will be a sign.
  bool awaits_confirmation() const { return unconfirmed_.has_value(); }
  // The time after which it is worth looking again whether they were confirmed.
  Micros check_interval(Micros now) const;

 private:
  struct Output {
    std::uint64_t end = 0;
    Micros sent_at{0};
  };
  std::uint64_t accepted_ = 0;
  std::optional<Micros> present_at_;   // the time of the last sign
  std::optional<Output> unconfirmed_;  // the oldest output whose confirmation is awaited
};

}  // namespace database_proxy::proxy
