// Writes to a store on a thread of its own. Batches are carried out in order; those that come while one is
// under way go together into the next transaction. The first that fails is the last: nothing after it is
// tried, since nobody could say what the disk then holds.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "state/durable_store.h"

namespace database_proxy::state {

class StoreWriter {
 public:
  // Told in the writer's thread: all up to this number are durable; or `error` is not empty, and none will be
  // any more.
  using CompletionCallback = std::function<void(std::uint64_t number, const std::string& error)>;
  StoreWriter(std::unique_ptr<DurableStore> store, CompletionCallback told);
  ~StoreWriter();  // after what was given to it is written
  StoreWriter(const StoreWriter&) = delete;
  StoreWriter& operator=(const StoreWriter&) = delete;

  // Never blocks for the disk. What waits is bounded by what the caller lets be unwritten.
  void write(std::uint64_t number, Batch batch);

 private:
  void run();

  std::unique_ptr<DurableStore> store_;
  CompletionCallback told_;
  std::mutex mutex_;
  std::condition_variable more_;
  std::vector<std::pair<std::uint64_t, Batch>> queue_;
  bool stopped_ = false;
  std::thread thread_;
};

}  // namespace database_proxy::state
