// Writes to a durable store on a thread of its own, so that the caller never waits for the disk.
//
// Batches are carried out in the order in which they were given. Those that arrive while a transaction is
// under way go together into the next one. The first failure is final: nothing after it is tried, because
// nobody could say what the disk then contains.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "state/durable_store.h"

namespace database_proxy::state {

// Owns the store and the thread, which the operating system lists as "state".
class StoreWriter {
 public:
  // Called on the writer's thread after each transaction. With an empty `error`, all batches up to `number`
  // are durable; otherwise this one is not, and none will be any more. It must not call the writer's
  // destructor.
  using CompletionCallback = std::function<void(std::uint64_t number, const std::string& error)>;

  StoreWriter(std::unique_ptr<DurableStore> store, CompletionCallback on_completion);
  // Blocks until all batches are written and reported.
  ~StoreWriter();
  StoreWriter(const StoreWriter&) = delete;
  StoreWriter& operator=(const StoreWriter&) = delete;

  // Queues a batch and returns at once; may be called from any thread. Numbers rise from call to call. The
  // queue has no limit of its own: the caller bounds what may be unwritten.
  void write(std::uint64_t number, Batch batch);

 private:
  struct NumberedBatch {
    std::uint64_t number;
    Batch batch;
  };

  void run();
  // Waits for batches and takes all of them. Returns none once the writer is stopped and the queue empty.
  std::vector<NumberedBatch> take_batches();
  // Writes the batches in one transaction. Returns why that failed, or an empty text.
  std::string commit(std::vector<NumberedBatch> batches);

  std::unique_ptr<DurableStore> store_;  // used by the thread only
  CompletionCallback on_completion_;
  std::mutex mutex_;  // guards queue_ and is_stopped_
  std::condition_variable queue_changed_;
  std::vector<NumberedBatch> queue_;
  bool is_stopped_ = false;
  std::thread thread_;  // the last member, since it uses all others
};

}  // namespace database_proxy::state
