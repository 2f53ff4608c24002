// The jobs that a lease holder does for the whole fleet, by the names that leases, reports and the operator's
// file use.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace database_proxy::group {

// Polls the list service and publishes the endpoint list.
constexpr const char* kEndpointListJob = "list";
// Decides which zones serve whose reads.
constexpr const char* kPlacementJob = "placement";
// In the operator's file: health checks of any shard group.
constexpr const char* kHealthCheckJobs = "probe";

// Health checks of one shard group have a lease of their own.
std::string health_check_job_name(std::int64_t shard_group);
// nullopt: the job is another one.
std::optional<std::int64_t> health_checked_shard_group(const std::string& job);

}  // namespace database_proxy::group
