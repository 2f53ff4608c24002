// A holder's own knowledge of the leases that it holds. Pure: every time is a parameter, of the holder's
// monotonic clock. ownership/lease_manager.h explains how the two sides keep leases exclusive.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ownership/fencing_token_guard.h"
#include "ownership/lease_messages.h"
#include "ownership/lease_options.h"

namespace database_proxy::ownership {

// Each node owns one and calls it on its event loop.
class LeaseClient {
 public:
  LeaseClient(std::string node, LeaseOptions options) : node_(std::move(node)), options_(options) {}

  // The next request to send to the leader, sent at `now`.
  LeaseRenewalRequest make_renewal_request(Micros now, const std::vector<std::string>& eligible_jobs);
  // Extends the leases that the leader granted. They count from when the request was sent, so the time of
  // arrival has no influence. A response to no open request, or to one before the newest answered, is
  // ignored.
  void on_renewal_response(Micros now, const LeaseRenewalResponse& response);

  // Whether the lease is held at `now`. Ask right before each effect, with the clock read right then.
  bool holds(const std::string& job, Micros now) const;
  // The token of the lease, expired or not; 0 if there is none.
  Token token(const std::string& job) const;
  // When the lease expires, or expired; 0 if there is none.
  Micros expires_at(const std::string& job) const;
  // All jobs with a lease that expire() has not removed.
  std::vector<std::string> jobs() const;
  // Counts work done for the job; the next request reports it. Without a lease it does nothing.
  void record_progress(const std::string& job);

  // Removes the leases that have expired by `now`, and returns their jobs.
  std::vector<std::string> expire(Micros now);
  // Jobs that the leader wants back, by its newest response.
  const std::set<std::string>& jobs_to_release() const { return jobs_to_release_; }
  // Removes the lease after the job was stopped. Returns the token to release, or 0 if there is no lease.
  Token release(const std::string& job);

 private:
  struct Lease {
    Token token = 0;
    Micros expires_at{0};
    std::uint64_t progress = 0;
  };

  std::string node_;
  LeaseOptions options_;
  std::uint64_t last_request_number_ = 0;
  std::map<std::uint64_t, Micros> request_sent_at_;  // the newest requests without a response, by number
  std::map<std::string, Lease> leases_;              // by job
  std::map<std::string, Token> released_tokens_;     // by job: never accepted again
  std::set<std::string> jobs_to_release_;
};

}  // namespace database_proxy::ownership
