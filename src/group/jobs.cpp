#include "group/jobs.h"

#include <charconv>
#include <string_view>
#include <system_error>

namespace database_proxy::group {
namespace {

constexpr std::string_view kHealthCheckPrefix = "probe ";

}  // namespace

std::string health_check_job_name(std::int64_t shard_group) {
  return std::string(kHealthCheckPrefix) + std::to_string(shard_group);
}

std::optional<std::int64_t> health_checked_shard_group(const std::string& job) {
  if (!job.starts_with(kHealthCheckPrefix)) return std::nullopt;
  std::int64_t shard_group = 0;
  const char* job_end = job.data() + job.size();
  auto [end, error] = std::from_chars(job.data() + kHealthCheckPrefix.size(), job_end, shard_group);
  if (error != std::errc() || end != job_end) return std::nullopt;
  return shard_group;
}

}  // namespace database_proxy::group
