#include "state/store_writer.h"

#include <pthread.h>

#include <utility>

namespace database_proxy::state {

StoreWriter::StoreWriter(std::unique_ptr<DurableStore> store, CompletionCallback on_completion)
    : store_(std::move(store)), on_completion_(std::move(on_completion)), thread_([this] { run(); }) {
  pthread_setname_np(thread_.native_handle(), "state");
}

StoreWriter::~StoreWriter() {
  {
    std::lock_guard lock(mutex_);
    is_stopped_ = true;
  }
  queue_changed_.notify_one();
  thread_.join();
}

void StoreWriter::write(std::uint64_t number, Batch batch) {
  {
    std::lock_guard lock(mutex_);
    queue_.push_back({number, std::move(batch)});
  }
  queue_changed_.notify_one();
}

void StoreWriter::run() {
  std::string error;
  while (true) {
    auto batches = take_batches();
    if (batches.empty()) return;
    const auto last_number = batches.back().number;
    if (error.empty()) error = commit(std::move(batches));
    on_completion_(last_number, error);
  }
}

std::vector<StoreWriter::NumberedBatch> StoreWriter::take_batches() {
  std::unique_lock lock(mutex_);
  queue_changed_.wait(lock, [this] { return is_stopped_ || !queue_.empty(); });
  return std::exchange(queue_, {});
}

std::string StoreWriter::commit(std::vector<NumberedBatch> batches) {
  Batch transaction;
  for (auto& numbered : batches) transaction.add(std::move(numbered.batch));
  try {
    store_->commit(transaction);
  } catch (const StoreError& e) {
    return e.what();
  }
  return "";
}

}  // namespace database_proxy::state
