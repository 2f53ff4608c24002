// A durable store of keys: what a daemon must still know after a crash.
//
// A store has one file in one directory, which one process may have open. It has no thread of its own, and
// its calls block for the disk: a node opens and reads its store when it starts, and then gives it to a
// StoreWriter (state/store_writer.h), so that no loop ever waits for a disk. docs/design/group.md tells why
// the engine is SQLite, docs/operations/group.md what an operator sees.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "state/batch.h"
#include "state/store_error.h"

namespace database_proxy::state {

// The interface of a store. It is used from one thread at a time. All functions throw StoreError where the
// store cannot be read or written, and kCorrupt for a value that does not fit its checksum.
class DurableStore {
 public:
  DurableStore() = default;
  virtual ~DurableStore() = default;
  DurableStore(const DurableStore&) = delete;
  DurableStore& operator=(const DurableStore&) = delete;

  // Carries out the batch completely or, where it throws, not at all. It is durable on return.
  virtual void commit(const Batch& batch) = 0;
  // The value of a key, or nothing if the key does not exist.
  virtual std::optional<std::string> read(const std::string& key) = 0;
  // All keys from `from` on and before `to`, sorted, each with its value.
  virtual std::vector<std::pair<std::string, std::string>> scan(const std::string& from,
                                                                const std::string& to) = 0;
};

// Opens the file NAME.db in `directory`; both are made if they do not exist. `version` is that of the
// contents: a file with a higher one is rejected as kNewer, one with a lower one gets this version. Throws
// StoreError.
std::unique_ptr<DurableStore> open_store(const std::string& directory, const std::string& name, int version);

// Moves the files of a corrupt store to a new subdirectory, so that open_store() can make an empty one.
// Returns the path of the subdirectory. Throws std::filesystem::filesystem_error if that cannot be made.
std::string quarantine_corrupt_file(const std::string& directory, const std::string& name);

// A store in memory, for tests. It is not durable.
std::unique_ptr<DurableStore> make_memory_store();

}  // namespace database_proxy::state
