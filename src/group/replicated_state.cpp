#include "group/replicated_state.h"

#include <fmt/format.h>

#include <utility>

#include "group/jobs.h"

namespace database_proxy::group {
namespace {

// A replaced lease holder may continue for a while: its first rejected effect is logged, and then one in this
// many.
constexpr std::uint64_t kRejectionLogInterval = 1000;

}  // namespace

void ReplicatedState::restore(ownership::LeaseRegistry registry, consensus::Index index) {
  registry_ = std::move(registry);
  applied_index_ = index;
  for (auto& [name, job] : registry_.jobs()) fencing_token_guard_.admit(name, job.token);
  observer_.on_endpoint_list_published();
  observer_.on_plan_published();
}

void ReplicatedState::apply(consensus::Index index, const std::string& text) {
  applied_index_ = index;
  auto command = ownership::decode(text);
  if (!command) return;
  ownership::Token granted = 0;
  auto rejected_before = registry_.stale_publications();
  registry_.apply(index, *command, &granted);
  auto* publish = std::get_if<ownership::Publish>(&*command);
  if (publish && registry_.stale_publications() > rejected_before)
    context_.log(net::Level::kWarning,
                 fmt::format("turned down an effect of job {} with a stale token", publish->job));
  if (auto* grant = std::get_if<ownership::Grant>(&*command)) on_grant(*grant, granted);
  if (!publish) return;
  if (publish->job == kEndpointListJob) observer_.on_endpoint_list_published();
  if (publish->job == kPlacementJob) observer_.on_plan_published();
}

void ReplicatedState::on_grant(const ownership::Grant& grant, ownership::Token granted) {
  observer_.on_grant_applied(grant.job);
  if (granted == 0) return;
  fencing_token_guard_.admit(grant.job, granted);
  context_.log(net::Level::kInfo,
               fmt::format("job {} is granted to {} with token {}", grant.job, grant.lease_holder, granted));
}

bool ReplicatedState::admit_effect(const std::string& job, ownership::Token token) {
  if (fencing_token_guard_.admit(job, token)) return true;
  if (++rejected_effects_ == 1 || rejected_effects_ % kRejectionLogInterval == 0)
    context_.log(net::Level::kWarning,
                 fmt::format("turned down a report of job {} with the stale token {} ({} so far)", job, token,
                             rejected_effects_));
  return false;
}

}  // namespace database_proxy::group
