// The lease holder's side of leases: the leases that this node holds. Uses no clock, I/O or thread; every
// time is a parameter, read from the holder's monotonic clock. ownership/lease_manager.h explains how the two
// sides keep leases exclusive.
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

// Requests, renews, expires and releases the leases of one node. Each node owns one client and calls it on
// its event loop.
class LeaseClient {
 public:
  LeaseClient(std::string node, LeaseOptions options) : node_(std::move(node)), options_(options) {}

  // Returns the next request to send to the leader. `now` is the time of sending, from which leases are
  // counted.
  LeaseRenewalRequest make_renewal_request(Micros now, const std::vector<std::string>& eligible_jobs);
  // Extends the leases that the leader granted. A lease is counted from the time its request was sent, so the
  // arrival time of the response has no effect. A response that matches no open request, or a request older
  // than the newest one answered, is ignored.
  void on_renewal_response(Micros now, const LeaseRenewalResponse& response);

  // Returns whether the lease is held at `now`. Call immediately before each effect, with a time read from
  // the clock for that call.
  bool holds(const std::string& job, Micros now) const;
  // Returns the lease's fencing token, even if the lease has expired; 0 if there is no lease.
  Token token(const std::string& job) const;
  // Returns the time at which the lease expires or expired; 0 if there is no lease.
  Micros expires_at(const std::string& job) const;
  // Returns all jobs with a lease that expire() has not removed.
  std::vector<std::string> jobs() const;
  // Counts one unit of work done for the job, which the next request reports. Does nothing without a lease.
  void record_progress(const std::string& job);

  // Removes the leases that have expired at `now` and returns their jobs.
  std::vector<std::string> expire(Micros now);
  // Returns the jobs that the leader requested back in its newest response.
  const std::set<std::string>& jobs_to_release() const { return jobs_to_release_; }
  // Removes the lease; call after the job has been stopped. Returns the token for the Release command, or 0
  // if there is no lease.
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
  std::map<std::uint64_t, Micros> request_sent_at_;  // the newest unanswered requests, by number
  std::map<std::string, Lease> leases_;              // by job
  std::map<std::string, Token> released_tokens_;     // by job; leases with these or lower tokens are ignored
  std::set<std::string> jobs_to_release_;
};

}  // namespace database_proxy::ownership
