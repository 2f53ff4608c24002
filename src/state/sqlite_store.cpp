#include "state/sqlite_store.h"

#include <fmt/format.h>

#include <boost/crc.hpp>

namespace database_proxy::state {
namespace {

// The SQLite application id in the file header, "lwst", which identifies database files of this program.
constexpr int kApplicationId = 0x6c777374;
// Number of 4 KiB pages in the write-ahead log at which SQLite checkpoints them into the database file. 1000
// is SQLite's default; it is set explicitly so that it does not depend on how the library was built.
constexpr int kCheckpointPages = 1000;

std::int64_t checksum_of(const std::string& key, const std::string& value) {
  boost::crc_32_type crc;
  crc.process_bytes(key.data(), key.size());
  crc.process_bytes(value.data(), value.size());
  return crc.checksum();
}

}  // namespace

// A prepared statement. Bound values are not copied and must remain valid during the next step().
class SqliteStore::Statement {
 public:
  Statement(SqliteStore& store, const char* sql) : store_(store) {
    if (sqlite3_prepare_v2(store.database_.get(), sql, -1, &statement_, nullptr) != SQLITE_OK)
      store.throw_last_error(sql);
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  // Indexes are those of SQLite: parameters are numbered from 1, the columns below from 0.
  Statement& bind(int parameter, const std::string& bytes) {
    sqlite3_bind_blob64(statement_, parameter, bytes.data(), bytes.size(), SQLITE_STATIC);
    return *this;
  }
  Statement& bind(int parameter, std::int64_t number) {
    sqlite3_bind_int64(statement_, parameter, number);
    return *this;
  }
  // Advances to the next row. Returns false if there is none. Throws StoreError.
  bool step() {
    const int code = sqlite3_step(statement_);
    if (code != SQLITE_ROW && code != SQLITE_DONE) store_.throw_last_error(sqlite3_sql(statement_));
    return code == SQLITE_ROW;
  }
  // Resets the statement and its bindings, so that it can be executed again.
  void reset() {
    sqlite3_reset(statement_);
    sqlite3_clear_bindings(statement_);
  }
  std::string text(int column) const {
    const auto* bytes = static_cast<const char*>(sqlite3_column_blob(statement_, column));
    const auto size = static_cast<std::size_t>(sqlite3_column_bytes(statement_, column));
    return bytes ? std::string(bytes, size) : std::string();
  }
  std::int64_t number(int column) const { return sqlite3_column_int64(statement_, column); }

 private:
  SqliteStore& store_;
  sqlite3_stmt* statement_ = nullptr;
};

SqliteStore::SqliteStore(std::string path, int version) : path_(std::move(path)) {
  open();
  check_origin(version);
  configure();
  create_table(version);
  check_integrity();
}

void SqliteStore::open() {
  sqlite3* database = nullptr;
  const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE;
  const int code = sqlite3_open_v2(path_.c_str(), &database, flags, nullptr);
  database_.reset(database);  // SQLite returns a handle that must be closed even on failure
  if (code != SQLITE_OK) throw_last_error("opening the database");
  sqlite3_extended_result_codes(database, 1);
  // The first transaction acquires the lock and does not release it. SQLite then needs no shared-memory file.
  run("PRAGMA locking_mode=EXCLUSIVE");
}

void SqliteStore::check_origin(int version) {
  const auto application_id = query_number("PRAGMA application_id");
  const auto stored_version = query_number("PRAGMA user_version");
  const bool is_new = application_id == 0 && query_number("SELECT count(*) FROM sqlite_master") == 0;
  if (!is_new && application_id != kApplicationId)
    throw StoreError(StoreErrorCode::kForeign, fmt::format("{} was created by another program", path_));
  if (stored_version > version)
    throw StoreError(StoreErrorCode::kNewer,
                     fmt::format("{} has version {}, this program knows {}", path_, stored_version, version));
}

// Enables a write-ahead log with full synchronization, so that a transaction is durable when COMMIT returns.
void SqliteStore::configure() {
  run("PRAGMA journal_mode=WAL");
  run("PRAGMA synchronous=FULL");
  run(fmt::format("PRAGMA wal_autocheckpoint={}", kCheckpointPages));
}

void SqliteStore::create_table(int version) {
  run("BEGIN EXCLUSIVE");
  run("CREATE TABLE IF NOT EXISTS kept(key BLOB PRIMARY KEY, value BLOB NOT NULL, sum INTEGER NOT NULL) "
      "WITHOUT ROWID");
  run(fmt::format("PRAGMA application_id={}", kApplicationId));
  run(fmt::format("PRAGMA user_version={}", version));
  run("COMMIT");
}

void SqliteStore::check_integrity() {
  Statement check(*this, "PRAGMA quick_check(1)");
  if (!check.step() || check.text(0) != "ok")
    throw StoreError(StoreErrorCode::kCorrupt,
                     fmt::format("{} is corrupt: it fails the integrity check of SQLite", path_));
}

void SqliteStore::commit(const Batch& batch) {
  run("BEGIN");
  try {
    remove_ranges(batch.removals);
    apply_changes(batch.changes);
    run("COMMIT");
  } catch (...) {
    sqlite3_exec(database_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
    throw;
  }
}

void SqliteStore::remove_ranges(const std::vector<KeyRange>& ranges) {
  for (const auto& range : ranges) {
    Statement remove(*this, "DELETE FROM kept WHERE key >= ?1 AND key < ?2");
    remove.bind(1, range.from).bind(2, range.to).step();
  }
}

void SqliteStore::apply_changes(const std::vector<KeyChange>& changes) {
  Statement put(*this, "INSERT OR REPLACE INTO kept VALUES(?1, ?2, ?3)");
  Statement remove(*this, "DELETE FROM kept WHERE key = ?1");
  for (const auto& change : changes) {
    auto& statement = change.value ? put : remove;
    statement.bind(1, change.key);
    if (change.value) statement.bind(2, *change.value).bind(3, checksum_of(change.key, *change.value));
    statement.step();
    statement.reset();
  }
}

std::optional<std::string> SqliteStore::read(const std::string& key) {
  Statement select(*this, "SELECT key, value, sum FROM kept WHERE key = ?1");
  select.bind(1, key);
  if (!select.step()) return std::nullopt;
  return verified_row(select).second;
}

std::vector<std::pair<std::string, std::string>> SqliteStore::scan(const std::string& from,
                                                                   const std::string& to) {
  Statement select(*this, "SELECT key, value, sum FROM kept WHERE key >= ?1 AND key < ?2 ORDER BY key");
  select.bind(1, from).bind(2, to);
  std::vector<std::pair<std::string, std::string>> rows;
  while (select.step()) rows.push_back(verified_row(select));
  return rows;
}

std::pair<std::string, std::string> SqliteStore::verified_row(const Statement& statement) {
  auto key = statement.text(0);
  auto value = statement.text(1);
  if (checksum_of(key, value) != statement.number(2))
    throw StoreError(StoreErrorCode::kCorrupt,
                     fmt::format("{}: the checksum of a value does not match", path_));
  return {std::move(key), std::move(value)};
}

void SqliteStore::run(const std::string& sql) {
  if (sqlite3_exec(database_.get(), sql.c_str(), nullptr, nullptr, nullptr) != SQLITE_OK)
    throw_last_error(sql.c_str());
}

std::int64_t SqliteStore::query_number(const char* sql) {
  Statement select(*this, sql);
  return select.step() ? select.number(0) : 0;
}

void SqliteStore::throw_last_error(const char* operation) {
  auto* database = database_.get();
  // SQLite returns no handle if it cannot allocate one.
  const int code = database ? sqlite3_errcode(database) : SQLITE_NOMEM;
  const char* problem = database ? sqlite3_errmsg(database) : "out of memory";
  const auto text = fmt::format("{}: {} ({})", path_, problem, operation);
  switch (code) {
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
      throw StoreError(StoreErrorCode::kLocked, fmt::format("{} is in use by another process", path_));
    case SQLITE_NOTADB:
    case SQLITE_CORRUPT:
      throw StoreError(StoreErrorCode::kCorrupt, text);
    default:
      throw StoreError(StoreErrorCode::kDisk, text);
  }
}

}  // namespace database_proxy::state
