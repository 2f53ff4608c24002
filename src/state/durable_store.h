// A durable key-value store for the state that a process must retain across crashes.
//
// A store is one database file, which only one process at a time may have open. It has no thread of its own
// and its calls block on disk I/O: a node opens and reads its store at startup and then passes it to a
// StoreWriter (state/store_writer.h), so that no event loop waits for the disk. docs/design/group.md gives
// the reasons for using SQLite; docs/operations/group.md describes what an operator sees.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "state/batch.h"
#include "state/store_error.h"

namespace database_proxy::state {

// The interface of a store. Use it from one thread at a time. All functions throw StoreError if the store
// cannot be read or written, with the code kCorrupt for a value that does not match its checksum.
class DurableStore {
 public:
  DurableStore() = default;
  virtual ~DurableStore() = default;
  DurableStore(const DurableStore&) = delete;
  DurableStore& operator=(const DurableStore&) = delete;

  // Applies the batch atomically: either completely, or not at all if it throws. The batch is durable on
  // return.
  virtual void commit(const Batch& batch) = 0;
  // Returns the value of a key, or nullopt if the key does not exist.
  virtual std::optional<std::string> read(const std::string& key) = 0;
  // Returns all keys in [from, to) with their values, sorted by key.
  virtual std::vector<std::pair<std::string, std::string>> scan(const std::string& from,
                                                                const std::string& to) = 0;
};

// Opens the file NAME.db in `directory`, and creates both if they do not exist. `version` is the version of
// the stored format: a file with a higher version is rejected with kNewer, and one with a lower version is
// updated to this version. Throws StoreError.
std::unique_ptr<DurableStore> open_store(const std::string& directory, const std::string& name, int version);

// Moves the files of a corrupt store to a new subdirectory, so that open_store() creates an empty store.
// Returns the path of the subdirectory. Throws std::filesystem::filesystem_error if the subdirectory cannot
// be created.
std::string quarantine_corrupt_file(const std::string& directory, const std::string& name);

// Returns a store in memory, for tests. It is not durable.
std::unique_ptr<DurableStore> make_memory_store();

}  // namespace database_proxy::state
