// What all workers of a process count together. Safe from any thread; locks are held for one look-up at most.
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

// Names of the requests that are open at any worker.
class OpenRequestNames {
 public:
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
  // So many that two workers hardly ever meet at one: with 4 workers, one try in some hundred.
  static constexpr std::size_t kShards = 256;
  struct alignas(64) Shard {
    std::mutex mutex;
    std::unordered_set<std::string, Hash, std::equal_to<>> names;
  };
  Shard& shard_of(std::string_view name) { return shards_[Hash{}(name) / 64 % kShards]; }
  std::array<Shard, kShards> shards_;
};

// What each worker holds of the descriptors, clients and memory that all share. Each writes its own line.
class ResourceUsageTable {
 public:
  explicit ResourceUsageTable(std::size_t workers) : entries_(workers) {}
  void publish(std::size_t worker, const proxy::ResourceUsage& usage);
  proxy::ResourceUsage of(std::size_t worker) const;
  proxy::ResourceUsage sum_except(
      std::size_t worker) const;  // the sum without it; all: any number beyond the last

 private:
  struct alignas(64) Entry {
    std::atomic<std::size_t> descriptors{0}, clients{0}, used_clients{0}, statement_bytes{0};
  };
  std::vector<Entry> entries_;
};

// Connections to each data server over all workers.
class ServerConnections {
 public:
  using Counter = std::shared_ptr<std::atomic<int>>;
  // The one counter of a server; a worker keeps it at hand. Forgotten when nobody holds it any more.
  Counter counter(const std::string& server);
  std::size_t servers();

 private:
  std::mutex mutex_;
  std::unordered_map<std::string, std::weak_ptr<std::atomic<int>>> counters_;
};

}  // namespace database_proxy::workers
