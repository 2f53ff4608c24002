// Errors of the durable store.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace database_proxy::state {

// The kinds of failure that callers distinguish. The text of a StoreError is for the operator.
enum class StoreErrorCode : std::uint8_t {
  kLocked,   // another process has the database file open
  kCorrupt,  // a checksum does not match, or the file is not a complete database
  kForeign,  // created by another program, or for another installation
  kNewer,    // created by a newer version of this program
  kDisk,     // the disk is full, read-only or faulty
};

// Thrown by a store that cannot be opened, read or written.
struct StoreError : std::runtime_error {
  StoreError(StoreErrorCode error_code, const std::string& what)
      : std::runtime_error(what), code(error_code) {}
  StoreErrorCode code;
};

}  // namespace database_proxy::state
