// Writes to a durable store on a separate thread, so that the caller never waits for the disk.
//
// Batches are committed in the order of the write() calls. Those that arrive while a transaction is in
// progress are combined into the next one. The first failure is final: no later batch is attempted, because
// the contents of the disk are then unknown.
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

// Owns the store and the writing thread, which is named "state".
class StoreWriter {
 public:
  // Called on the writing thread after each transaction. With an empty `error`, all batches up to `number`
  // are durable; otherwise no batch after the last successful call is durable, and no later one will be. It
  // must not call the writer's destructor.
  using CompletionCallback = std::function<void(std::uint64_t number, const std::string& error)>;

  StoreWriter(std::unique_ptr<DurableStore> store, CompletionCallback on_completion);
  // Blocks until all batches are written and their completion has been reported.
  ~StoreWriter();
  StoreWriter(const StoreWriter&) = delete;
  StoreWriter& operator=(const StoreWriter&) = delete;

  // Queues a batch and returns immediately; may be called from any thread. `number` must increase with each
  // call. The queue has no limit; the caller bounds the number of unwritten batches.
  void write(std::uint64_t number, Batch batch);

 private:
  struct NumberedBatch {
    std::uint64_t number;
    Batch batch;
  };

  void run();
  // Waits for batches and removes all of them from the queue. Returns none once the writer is stopped and the
  // queue is empty.
  std::vector<NumberedBatch> take_batches();
  // Commits the batches in one transaction. Returns the error message, or an empty string on success.
  std::string commit(std::vector<NumberedBatch> batches);

  std::unique_ptr<DurableStore> store_;  // used only by the writing thread
  CompletionCallback on_completion_;
  std::mutex mutex_;  // guards queue_ and is_stopped_
  std::condition_variable queue_changed_;
  std::vector<NumberedBatch> queue_;
  bool is_stopped_ = false;
  std::thread thread_;  // last member: the thread uses all the others
};

}  // namespace database_proxy::state
