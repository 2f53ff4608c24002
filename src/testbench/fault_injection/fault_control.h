// Rates at which system calls of a process fail. The testbench and the library loaded into the process
// (faulty_calls.cpp) share them as memory mapped from a file.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace database_proxy::testbench {

// Environment variable that holds the path of the file.
constexpr const char* kFaultControlVariable = "DATABASE_PROXY_FAULT_CONTROL";

// Kinds of faults that are injected into system calls.
enum class CallFault {
  kShortRead,       // recv() returns fewer bytes than are available
  kShortWrite,      // sendmsg() accepts fewer bytes than it could
  kInterrupted,     // EINTR from recv, sendmsg, accept, epoll_wait, read, write
  kAccept,          // ECONNABORTED, ENFILE, ENOBUFS
  kSocket,          // ENFILE, ENOBUFS
  kConnect,         // EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH
  kReceive,         // ETIMEDOUT
  kDelayedWrite,    // sendmsg() is delayed by 0.15 s
  kDiskFull,        // ENOSPC when a file is written or created
  kFileError,       // EIO when a file is opened, read or written
  kTruncatedWrite,  // only half of the bytes reach the file; write() reports success
  kDelayedClose,    // close() and shutdown() of a socket are delayed by 0.15 s
  kSlowOpen,        // open() of a file in the shared folder is delayed by 1.2 s
};
constexpr std::size_t kCallFaults = 13;

// The shared memory; written by the testbench, read by the process.
struct FaultControl {
  // For each kind of fault, one call in this many fails on average; 0: none.
  std::array<std::atomic<std::uint32_t>, kCallFaults> one_in{};
  std::atomic<std::int64_t> wall_clock_offset_us{0};
  std::atomic<std::uint64_t> seed{1};

  std::atomic<std::uint32_t>& rate(CallFault fault) { return one_in[static_cast<std::size_t>(fault)]; }
};
static_assert(std::atomic<std::int64_t>::is_always_lock_free, "the memory is shared between processes");

}  // namespace database_proxy::testbench
