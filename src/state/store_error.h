// Why the durable store cannot be used.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace database_proxy::state {

// The kinds of failure that a caller tells apart. The text of a StoreError is for the operator.
enum class StoreErrorCode : std::uint8_t {
  kLocked,   // another process uses this directory
  kCorrupt,  // a checksum does not fit, or the file is not a complete database
  kForeign,  // made by another program, or for another installation
  kNewer,    // made by a newer version of this program
  kDisk,     // the disk is full, read-only or broken
};

// Thrown by a store that cannot be opened, read or written.
struct StoreError : std::runtime_error {
  StoreError(StoreErrorCode error_code, const std::string& what)
      : std::runtime_error(what), code(error_code) {}
  StoreErrorCode code;
};

}  // namespace database_proxy::state
