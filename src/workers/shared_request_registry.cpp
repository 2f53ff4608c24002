#include "workers/shared_request_registry.h"

namespace database_proxy::workers {

void ResourceUsageTable::publish(std::size_t worker, const proxy::ResourceUsage& held) {
  auto& line = channels_[worker];
  line.descriptors.store(held.descriptors, std::memory_order_relaxed);
  line.clients.store(held.clients, std::memory_order_relaxed);
  line.asked.store(held.used_clients, std::memory_order_relaxed);
  line.statement_bytes.store(held.statement_bytes, std::memory_order_relaxed);
}

proxy::ResourceUsage ResourceUsageTable::of(std::size_t worker) const {
  auto& line = channels_[worker];
  return {line.descriptors.load(std::memory_order_relaxed), line.clients.load(std::memory_order_relaxed),
          line.asked.load(std::memory_order_relaxed), line.statement_bytes.load(std::memory_order_relaxed)};
}

proxy::ResourceUsage ResourceUsageTable::others(std::size_t worker) const {
  proxy::ResourceUsage sum;
  for (std::size_t i = 0; i < channels_.size(); ++i) {
    if (i == worker) continue;
    auto one = of(i);
    sum.descriptors += one.descriptors;
    sum.clients += one.clients;
    sum.used_clients += one.used_clients;
    sum.statement_bytes += one.statement_bytes;
  }
  return sum;
}

ServerConnections::Count ServerConnections::counter(const std::string& server) {
  std::lock_guard lock(mutex_);
  if (auto known = counters_[server].lock()) return known;
  std::erase_if(counters_, [](auto& entry) { return entry.second.expired(); });
  auto made = std::make_shared<std::atomic<int>>(0);
  counters_[server] = made;
  return made;
}

std::size_t ServerConnections::servers() {
  std::lock_guard lock(mutex_);
  return counters_.size();
}

}  // namespace database_proxy::workers
