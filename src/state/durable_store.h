// A durable store of keys behind one interface: what a daemon must still know after a crash. An engine keeps
// one directory; changes go in batches, each whole or not at all and durable when commit() returns. Nothing
// here has a thread of its own: state/writer.h does, so that no loop ever waits for a disk.
// docs/design/group.md tells why the engine is SQLite, docs/operations/group.md what an operator sees.
#pragma once

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace database_proxy::state {

enum class StoreErrorCode {
  kLocked,   // another process has this directory
  kCorrupt,  // a checksum does not fit, or the file is no whole database
  kForeign,  // made by another program, or for another installation
  kNewer,    // made by a newer version
  kDisk,     // full, read-only or broken
};
struct StoreError : std::runtime_error {
  StoreError(StoreErrorCode f, const std::string& what) : std::runtime_error(what), code(f) {}
  StoreErrorCode code;
};

struct Batch {
  std::vector<std::pair<std::string, std::string>> removals;  // ranges: from the first, before the second
  std::vector<std::pair<std::string, std::optional<std::string>>> changes;  // after them; nullopt: it goes
  bool empty() const { return removals.empty() && changes.empty(); }
  void add(Batch next);  // carried out after what is here
};

class DurableStore {
 public:
  virtual ~DurableStore() = default;
  virtual void commit(const Batch& batch) = 0;                          // throws StoreError
  virtual std::optional<std::string> read(const std::string& key) = 0;  // throws StoreError, kTorn too
  // All keys from `from` on and before `to`, in order.
  virtual std::vector<std::pair<std::string, std::string>> scan(const std::string& from,
                                                                const std::string& to) = 0;
};

// Opens `directory`/NAME.db, which is made where it is not there; `version` of what is kept in it.
std::unique_ptr<DurableStore> open_store(const std::string& directory, const std::string& name, int version);
// Moves a torn file out of the way, so that an empty one can take its place; where it went.
std::string quarantine_corrupt_file(const std::string& directory, const std::string& name);
std::unique_ptr<DurableStore> memory_store();  // for tests: it forgets all

}  // namespace database_proxy::state
