#include "workers/shared_request_registry.h"

namespace database_proxy::workers {

void ResourceUsageTable::publish(std::size_t worker, const proxy::ResourceUsage& usage) {
  auto& entry = entries_[worker];
  entry.descriptors.store(usage.descriptors, std::memory_order_relaxed);
  entry.clients.store(usage.clients, std::memory_order_relaxed);
  entry.used_clients.store(usage.used_clients, std::memory_order_relaxed);
  entry.statement_bytes.store(usage.statement_bytes, std::memory_order_relaxed);
  entry.answer_bytes.store(usage.answer_bytes, std::memory_order_relaxed);
}

proxy::ResourceUsage ResourceUsageTable::of(std::size_t worker) const {
  auto& entry = entries_[worker];
  return {entry.descriptors.load(std::memory_order_relaxed), entry.clients.load(std::memory_order_relaxed),
          entry.used_clients.load(std::memory_order_relaxed),
          entry.statement_bytes.load(std::memory_order_relaxed),
          entry.answer_bytes.load(std::memory_order_relaxed)};
}

proxy::ResourceUsage ResourceUsageTable::sum_except(std::size_t worker) const {
  proxy::ResourceUsage sum;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (i == worker) continue;
    auto usage = of(i);
    sum.descriptors += usage.descriptors;
    sum.clients += usage.clients;
    sum.used_clients += usage.used_clients;
    sum.statement_bytes += usage.statement_bytes;
    sum.answer_bytes += usage.answer_bytes;
  }
  return sum;
}

ServerConnections::Counter ServerConnections::counter(const std::string& server) {
  std::lock_guard lock(mutex_);
  if (auto existing = counters_[server].lock()) return existing;
  std::erase_if(counters_, [](auto& entry) { return entry.second.expired(); });
  auto created = std::make_shared<std::atomic<int>>(0);
  counters_[server] = created;
  return created;
}

std::size_t ServerConnections::servers() {
  std::lock_guard lock(mutex_);
  return counters_.size();
}

}  // namespace database_proxy::workers
