#include "state/durable_store.h"

#include <fmt/format.h>
#include <sqlite3.h>

#include <boost/crc.hpp>
#include <chrono>
#include <filesystem>
#include <map>

namespace database_proxy::state {
namespace {

// "lwst": tells our files from those of other programs.
constexpr int kApplication = 0x6c777374;
// Pages of 4 KiB that the log ahead may hold before they are moved into the file.
constexpr int kCheckpointPages = 1000;

std::int64_t sum_of(const std::string& key, const std::string& value) {
  boost::crc_32_type crc;
  crc.process_bytes(key.data(), key.size());
  crc.process_bytes(value.data(), value.size());
  return crc.checksum();
}

class Sqlite : public DurableStore {
 public:
  Sqlite(const std::string& path, int version) : path_(path) {
    int opened = sqlite3_open_v2(path.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
    closes_.reset(db_);  // also where what follows throws
    if (opened != SQLITE_OK) fail("opening it");
    sqlite3_extended_result_codes(db_, 1);
    // One process a directory: the lock is taken with the first transaction and kept. No shared memory then.
    run("PRAGMA locking_mode=EXCLUSIVE");
    auto application = number("PRAGMA application_id"), made = number("PRAGMA user_version");
    bool fresh = application == 0 && number("SELECT count(*) FROM sqlite_master") == 0;
    if (!fresh && application != kApplication)
      throw StoreError(StoreErrorCode::kForeign, fmt::format("{} was made by another program", path));
    if (made > version)
      throw StoreError(StoreErrorCode::kNewer,
                       fmt::format("{} has version {}, this program knows {}", path, made, version));
    run("PRAGMA journal_mode=WAL");
    run("PRAGMA synchronous=FULL");
    run(fmt::format("PRAGMA wal_autocheckpoint={}", kCheckpointPages).c_str());
    run("BEGIN EXCLUSIVE");
    run("CREATE TABLE IF NOT EXISTS kept(key BLOB PRIMARY KEY, value BLOB NOT NULL, sum INTEGER NOT NULL) "
        "WITHOUT ROWID");
    run(fmt::format("PRAGMA application_id={}", kApplication).c_str());
    run(fmt::format("PRAGMA user_version={}", version).c_str());
    run("COMMIT");
    Statement check(*this, "PRAGMA quick_check(1)");
    if (!check.row() || check.text(0) != "ok")
      throw StoreError(StoreErrorCode::kCorrupt, fmt::format("{} is damaged", path));
  }
  void commit(const Batch& batch) override {
    run("BEGIN");
    try {
      for (auto& [from, to] : batch.removals) {
        Statement s(*this, "DELETE FROM kept WHERE key >= ?1 AND key < ?2");
        s.bind(1, from).bind(2, to).row();
      }
      Statement put(*this, "INSERT OR REPLACE INTO kept VALUES(?1, ?2, ?3)"),
          drop(*this, "DELETE FROM kept WHERE key = ?1");
      for (auto& [key, value] : batch.changes) {
        auto& s = value ? put : drop;
        s.bind(1, key);
        if (value) s.bind(2, *value).bind(3, sum_of(key, *value));
        s.row();
        s.again();
      }
      run("COMMIT");
    } catch (...) {
      sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
      throw;
    }
  }
  std::optional<std::string> read(const std::string& key) override {
    Statement s(*this, "SELECT key, value, sum FROM kept WHERE key = ?1");
    s.bind(1, key);
    if (!s.row()) return std::nullopt;
    return checked(s).second;
  }
  std::vector<std::pair<std::string, std::string>> scan(const std::string& from,
                                                        const std::string& to) override {
    Statement s(*this, "SELECT key, value, sum FROM kept WHERE key >= ?1 AND key < ?2 ORDER BY key");
    s.bind(1, from).bind(2, to);
    std::vector<std::pair<std::string, std::string>> all;
    while (s.row()) all.push_back(checked(s));
    return all;
  }

 private:
  class Statement {
   public:
    Statement(Sqlite& owner, const char* sql) : owner_(owner) {
      if (sqlite3_prepare_v2(owner.db_, sql, -1, &s_, nullptr) != SQLITE_OK) owner.fail(sql);
    }
    ~Statement() { sqlite3_finalize(s_); }
    Statement& bind(int at, const std::string& bytes) {
      sqlite3_bind_blob64(s_, at, bytes.data(), bytes.size(), SQLITE_STATIC);
      return *this;
    }
    Statement& bind(int at, std::int64_t number) {
      sqlite3_bind_int64(s_, at, number);
      return *this;
    }
    bool row() {
      int code = sqlite3_step(s_);
      if (code != SQLITE_ROW && code != SQLITE_DONE) owner_.fail(sqlite3_sql(s_));
      return code == SQLITE_ROW;
    }
    void again() {
      sqlite3_reset(s_);
      sqlite3_clear_bindings(s_);
    }
    std::string text(int column) {
      auto* bytes = static_cast<const char*>(sqlite3_column_blob(s_, column));
      auto size = static_cast<std::size_t>(sqlite3_column_bytes(s_, column));
      return bytes ? std::string(bytes, size) : std::string();
    }
    std::int64_t number(int column) { return sqlite3_column_int64(s_, column); }

   private:
    Sqlite& owner_;
    sqlite3_stmt* s_ = nullptr;
  };

  std::pair<std::string, std::string> checked(Statement& s) {
    auto key = s.text(0), value = s.text(1);
    if (sum_of(key, value) != s.number(2))
      throw StoreError(StoreErrorCode::kCorrupt, fmt::format("{}: a checksum does not fit", path_));
    return {std::move(key), std::move(value)};
  }
  void run(const char* sql) {
    if (sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK) fail(sql);
  }
  std::int64_t number(const char* sql) {
    Statement s(*this, sql);
    return s.row() ? s.number(0) : 0;
  }
  [[noreturn]] void fail(const char* doing) {
    int code = db_ ? sqlite3_errcode(db_) : SQLITE_NOMEM;
    auto why = fmt::format("{}: {} ({})", path_, db_ ? sqlite3_errmsg(db_) : "out of memory", doing);
    switch (code) {
      case SQLITE_BUSY:
      case SQLITE_LOCKED:
        throw StoreError(StoreErrorCode::kLocked, fmt::format("{} is in use by another process", path_));
      case SQLITE_NOTADB:
      case SQLITE_CORRUPT:
        throw StoreError(StoreErrorCode::kCorrupt, why);
      default:
        throw StoreError(StoreErrorCode::kDisk, why);
    }
  }

  struct Close {
    void operator()(sqlite3* db) const { sqlite3_close_v2(db); }
  };
  std::string path_;
  sqlite3* db_ = nullptr;
  std::unique_ptr<sqlite3, Close> closes_;
};

class Memory : public DurableStore {
 public:
  void commit(const Batch& batch) override {
    for (auto& [from, to] : batch.removals) kept_.erase(kept_.lower_bound(from), kept_.lower_bound(to));
    for (auto& [key, value] : batch.changes)
      if (value)
        kept_[key] = *value;
      else
        kept_.erase(key);
  }
  std::optional<std::string> read(const std::string& key) override {
    auto it = kept_.find(key);
    return it == kept_.end() ? std::nullopt : std::optional(it->second);
  }
  std::vector<std::pair<std::string, std::string>> scan(const std::string& from,
                                                        const std::string& to) override {
    return {kept_.lower_bound(from), kept_.lower_bound(to)};
  }

 private:
  std::map<std::string, std::string> kept_;
};

}  // namespace

void Batch::add(Batch next) {
  // A later range takes what this one was about to put there.
  for (auto& [from, to] : next.removals)
    std::erase_if(changes, [&](auto& c) { return c.first >= from && c.first < to; });
  removals.insert(removals.end(), next.removals.begin(), next.removals.end());
  for (auto& change : next.changes) changes.push_back(std::move(change));
}

std::unique_ptr<DurableStore> open_store(const std::string& directory, const std::string& name, int version) {
  std::error_code failed;
  std::filesystem::create_directories(directory, failed);
  if (failed) throw StoreError(StoreErrorCode::kDisk, fmt::format("{}: {}", directory, failed.message()));
  return std::make_unique<Sqlite>((std::filesystem::path(directory) / (name + ".db")).string(), version);
}

std::string quarantine_corrupt_file(const std::string& directory, const std::string& name) {
  namespace fs = std::filesystem;
  auto now = std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
  auto to = fs::path(directory) / fmt::format("set-aside-{}", now);
  fs::create_directories(to);
  for (std::string end : {".db", ".db-wal", ".db-shm", ".db-journal"}) {
    std::error_code none;
    fs::rename(fs::path(directory) / (name + end), to / (name + end), none);
  }
  return to.string();
}

std::unique_ptr<DurableStore> memory_store() { return std::make_unique<Memory>(); }

}  // namespace database_proxy::state
