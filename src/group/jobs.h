// The jobs that a lease holder performs for the whole fleet, by their names in leases, reports and the
// operator's file.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace database_proxy::group {

// Polls the discovery service and publishes the endpoint list.
constexpr const char* kEndpointListJob = "list";
// Decides which zones serve the reads of which clients.
constexpr const char* kPlacementJob = "placement";
// The health checks of all shard groups, in the operator's file.
constexpr const char* kHealthCheckJobs = "probe";

// Returns the name of the health check job of one shard group, which has a lease of its own.
std::string health_check_job_name(std::int64_t shard_group);
// Returns the shard group of a health check job; nullopt for any other job.
std::optional<std::int64_t> health_checked_shard_group(const std::string& job);

}  // namespace database_proxy::group
