// The SQLite implementation of the durable store: one table, in which each value has a checksum.
#pragma once

#include <sqlite3.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "state/durable_store.h"

namespace database_proxy::state {

// An open database file. Holds SQLite's exclusive lock for its lifetime, so that a second process that opens
// the file is rejected.
class SqliteStore : public DurableStore {
 public:
  // Opens or creates the file at `path`, whose directory must exist. Throws StoreError.
  SqliteStore(std::string path, int version);

  void commit(const Batch& batch) override;
  std::optional<std::string> read(const std::string& key) override;
  std::vector<std::pair<std::string, std::string>> scan(const std::string& from,
                                                        const std::string& to) override;

 private:
  class Statement;
  struct CloseDatabase {
    void operator()(sqlite3* database) const { sqlite3_close_v2(database); }
  };

  void open();
  void check_origin(int version);
  void configure();
  void create_table(int version);
  void check_integrity();
  void remove_ranges(const std::vector<KeyRange>& ranges);
  void apply_changes(const std::vector<KeyChange>& changes);
  // Returns the key and value of the current row. Throws StoreError with kCorrupt if the checksum does not
  // match.
  std::pair<std::string, std::string> verified_row(const Statement& statement);

  void run(const std::string& sql);
  // Returns the first column of the first row, or 0 if there is no row.
  std::int64_t query_number(const char* sql);
  // Throws a StoreError for the database's last error; `operation` names what was attempted, for the
  // operator.
  [[noreturn]] void throw_last_error(const char* operation);

  std::string path_;
  std::unique_ptr<sqlite3, CloseDatabase> database_;
};

}  // namespace database_proxy::state
