#include "state/durable_store.h"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <filesystem>
#include <map>
#include <system_error>

#include "state/sqlite_store.h"

namespace database_proxy::state {
namespace {

// Suffixes of the database file and of the files that SQLite may leave next to it.
constexpr std::array<const char*, 4> kFileSuffixes = {".db", ".db-wal", ".db-shm", ".db-journal"};

class MemoryStore : public DurableStore {
 public:
  void commit(const Batch& batch) override {
    for (const auto& range : batch.removals)
      values_.erase(values_.lower_bound(range.from), values_.lower_bound(range.to));
    for (const auto& change : batch.changes) {
      if (change.value)
        values_[change.key] = *change.value;
      else
        values_.erase(change.key);
    }
  }
  std::optional<std::string> read(const std::string& key) override {
    auto found = values_.find(key);
    return found == values_.end() ? std::nullopt : std::optional(found->second);
  }
  std::vector<std::pair<std::string, std::string>> scan(const std::string& from,
                                                        const std::string& to) override {
    return {values_.lower_bound(from), values_.lower_bound(to)};
  }

 private:
  std::map<std::string, std::string> values_;
};

}  // namespace

std::unique_ptr<DurableStore> open_store(const std::string& directory, const std::string& name, int version) {
  std::error_code error;
  std::filesystem::create_directories(directory, error);
  if (error) throw StoreError(StoreErrorCode::kDisk, fmt::format("{}: {}", directory, error.message()));
  auto path = std::filesystem::path(directory) / (name + ".db");
  return std::make_unique<SqliteStore>(path.string(), version);
}

std::string quarantine_corrupt_file(const std::string& directory, const std::string& name) {
  namespace fs = std::filesystem;
  // The time in the name prevents overwriting an earlier quarantine.
  const auto now_ms = std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
  const auto quarantine = fs::path(directory) / fmt::format("set-aside-{}", now_ms);
  fs::create_directories(quarantine);
  for (const char* suffix : kFileSuffixes) {
    const auto file_name = name + suffix;
    std::error_code ignored;  // most of these files usually do not exist
    fs::rename(fs::path(directory) / file_name, quarantine / file_name, ignored);
  }
  return quarantine.string();
}

std::unique_ptr<DurableStore> make_memory_store() { return std::make_unique<MemoryStore>(); }

}  // namespace database_proxy::state
