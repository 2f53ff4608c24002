// Which system calls of a process fail, and how often: memory that the test bench and the library loaded into
// the process (faulty_calls.cpp) share through a file.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace database_proxy::testbench {

// The file's path is in this variable.
constexpr const char* kFaultControlVariable = "DATABASE_PROXY_FAULT_CONTROL";

enum class CallFault {
  kShortRead,          // recv() returns fewer bytes than are there
  kShortWrite,         // sendmsg() takes fewer bytes than it could
  kInterrupted,        // EINTR from recv, sendmsg, accept, epoll_wait, read, write
  kAccept,             // ECONNABORTED, ENFILE, ENOBUFS
  kSocket,             // ENFILE, ENOBUFS
  kConnect,            // EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH
  kReceive,            // ETIMEDOUT
  kDelayedWrite,  // sendmsg() comes 0.15 s late
  kDiskFull,         // ENOSPC where a file is written or made
  kFileError,        // EIO where a file is read or written
  kTruncatedWrite,          // a file takes half of what is written, without an error
  kDelayedClose,    // close() and shutdown() of a socket come 0.15 s late
  kSlowOpen,         // a file in the shared folder is opened 1.2 s late
};
constexpr std::size_t kCallFaults = 13;

struct FaultControl {
  // One call in so many fails; 0: none.
  std::array<std::atomic<std::uint32_t>, kCallFaults> one_in{};
  std::atomic<std::int64_t> wall_clock_offset_us{0};
  std::atomic<std::uint64_t> seed{1};

  std::atomic<std::uint32_t>& rate(CallFault fault) { return one_in[static_cast<std::size_t>(fault)]; }
};
static_assert(std::atomic<std::int64_t>::is_always_lock_free, "the memory is shared between processes");

}  // namespace database_proxy::testbench
