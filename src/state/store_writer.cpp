#include "state/store_writer.h"

#include <pthread.h>

#include <utility>

namespace database_proxy::state {

StoreWriter::StoreWriter(std::unique_ptr<DurableStore> store, CompletionCallback told)
    : store_(std::move(store)), told_(std::move(told)), thread_([this] { run(); }) {
  pthread_setname_np(thread_.native_handle(), "state");
}

StoreWriter::~StoreWriter() {
  {
    std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  more_.notify_one();
  thread_.join();
}

void StoreWriter::write(std::uint64_t number, Batch batch) {
  {
    std::lock_guard lock(mutex_);
    queue_.emplace_back(number, std::move(batch));
  }
  more_.notify_one();
}

void StoreWriter::run() {
  std::string failed;
  while (true) {
    std::vector<std::pair<std::uint64_t, Batch>> taken;
    {
      std::unique_lock lock(mutex_);
      more_.wait(lock, [this] { return stopped_ || !queue_.empty(); });
      if (queue_.empty()) return;
      taken.swap(queue_);
    }
    auto number = taken.back().first;
    Batch all;
    for (auto& [n, batch] : taken) all.add(std::move(batch));
    if (failed.empty()) try {
        store_->commit(all);
      } catch (const StoreError& e) {
        failed = e.what();
      }
    told_(number, failed);
  }
}

}  // namespace database_proxy::state
