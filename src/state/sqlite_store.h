// The engine of the durable store: one table of an SQLite database, each value with a checksum.
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

// An open database file. It keeps SQLite's exclusive lock for its whole life, so that a second process is
// rejected when it opens the file.
class SqliteStore : public DurableStore {
 public:
  // Opens or makes the file at `path`, in an existing directory. Throws StoreError.
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
  // The key and value of the row that the statement is at. Throws kCorrupt if the checksum does not fit.
  std::pair<std::string, std::string> verified_row(const Statement& statement);

  void run(const std::string& sql);
  // The first column of the first row, or 0 where there is none.
  std::int64_t query_number(const char* sql);
  // Throws the StoreError of the database's last failure; `operation` tells the operator what was tried.
  [[noreturn]] void throw_last_error(const char* operation);

  std::string path_;
  std::unique_ptr<sqlite3, CloseDatabase> database_;
};

}  // namespace database_proxy::state
