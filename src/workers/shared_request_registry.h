// State that all workers of a process share: names of open requests, resource usage and connection counts.
// May be used from any thread; a lock is held for one look-up, or for one pass over the connection
// counters when a counter is created.
#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "proxy/sibling_workers.h"

namespace database_proxy::workers {

// The names of the requests that are open in any worker.
class OpenRequestNames {
 public:
  // Returns false if a request of that name is open.
  bool reserve(std::string_view name) {
    auto& shard = shard_of(name);
    std::lock_guard lock(shard.mutex);
    return shard.names.emplace(name).second;
  }
  void release(std::string_view name) {
    auto& shard = shard_of(name);
    std::lock_guard lock(shard.mutex);
    if (auto it = shard.names.find(name); it != shard.names.end()) shard.names.erase(it);
  }
  std::size_t size() {
    std::size_t sum = 0;
    for (auto& shard : shards_) {
      std::lock_guard lock(shard.mutex);
      sum += shard.names.size();
    }
    return sum;
  }

 private:
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>{}(s); }
  };
  // Enough shards that two workers rarely contend for one: with 4 workers, about one access in a hundred.
  static constexpr std::size_t kShards = 256;
  struct alignas(64) Shard {
    std::mutex mutex;
    std::unordered_set<std::string, Hash, std::equal_to<>> names;
  };
  Shard& shard_of(std::string_view name) { return shards_[Hash{}(name) / 64 % kShards]; }
  std::array<Shard, kShards> shards_;
};

// The amounts of the shared descriptors, clients and memory that each worker holds. Each worker writes only
// its own entry, which has a cache line to itself.
class ResourceUsageTable {
 public:
  explicit ResourceUsageTable(std::size_t workers) : entries_(workers) {}
  void publish(std::size_t worker, const proxy::ResourceUsage& usage);
  proxy::ResourceUsage of(std::size_t worker) const;
  // Returns the sum over all workers except `worker`; with an index beyond the last worker, over all.
  proxy::ResourceUsage sum_except(std::size_t worker) const;

 private:
  struct alignas(64) Entry {
    std::atomic<std::size_t> descriptors{0}, clients{0}, used_clients{0}, statement_bytes{0}, answer_bytes{0};
  };
  std::vector<Entry> entries_;
};

// Counts the connections to each data server over all workers.
class ServerConnections {
 public:
  using Counter = std::shared_ptr<std::atomic<int>>;
  // Returns the counter of a server, which all workers share. A worker keeps the pointer for further use; the
  // counter is freed when no worker holds it any more.
  Counter counter(const std::string& server);
  std::size_t servers();

 private:
  std::mutex mutex_;
  std::unordered_map<std::string, std::weak_ptr<std::atomic<int>>> counters_;
};

}  // namespace database_proxy::workers
