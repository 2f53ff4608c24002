// Leases on jobs: the leader's judgement of who may own what (Steward), and an owner's own knowledge of what
// it still holds (Holder). Both pure: times come in, on each one's own monotonic clock.
//
// How one owner at a time comes about:
// - An owner asks again and again. The leader answers once a majority has confirmed, after the question came,
//   that it still leads. The answer lengthens the lease to `length` after the question was *sent*, by the
//   owner's clock.
// - The leader grants a job anew only once `length`, a share more for clocks of unequal rate, and a margin
// for
//   pauses have passed by its own clock since the last question that it may have answered; a new leader
//   counts from the moment it was elected, which lies behind every answer of those before it.
// - An owner checks right before each effect; one that stops between check and effect is fenced by its token.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ownership/lease_registry.h"

namespace database_proxy::ownership {

using Micros = std::chrono::microseconds;

struct LeaseOptions {
  Micros length{2'000'000};
  // Clocks of two machines differ by 0.02 % at most where nothing steers them, and NTP slews by 0.05 % more;
  // one in a hundred is far from both.
  double rate = 0.01;
  // From a check to the effect that it allows: a scheduler's pause on a busy machine, not SIGSTOP, against
  // which no margin helps and the token does.
  Micros margin{250'000};
  Micros idle{6'000'000};           // an owner that does nothing for so long is relieved
  Micros excluded_for{30'000'000};  // and is not asked again for so long while another is willing
  Micros move_every{1'000'000};     // at most one job moves for balance in so long
  // Guards taken away, for the simulator's mutants only.
  bool flaw_no_margin = false, flaw_no_check = false;

  // After the last question that may have been answered: from then on nobody holds it.
  Micros safe_reassignment_delay() const {
    if (flaw_no_margin) return length;
    return length + margin + Micros(static_cast<std::int64_t>(static_cast<double>(length.count()) * rate));
  }
};

struct HeldLease {
  std::string job;
  Token token = 0;
  std::uint64_t progress = 0;  // rises with work done
  bool operator==(const HeldLease&) const = default;
};
struct LeaseRenewalRequest {
  std::string node;
  std::uint64_t number = 0;                // given back with the answer
  std::vector<std::string> eligible_jobs;  // jobs that this node would do
  std::vector<HeldLease> holds;
};
struct LeaseRenewalResponse {
  std::uint64_t number = 0;
  Micros length{0};
  std::vector<HeldLease> granted;    // progress is 0
  std::vector<std::string> give_up;  // stop, then release: another is to have it
};

class LeaseManager {
 public:
  explicit LeaseManager(LeaseOptions options) : options_(options) {}
  // This node leads since `now`; jobs are all that may be granted.
  void on_elected(Micros now);
  void on_leadership_lost() { leading_ = false; }
  bool leading() const { return leading_; }

  // A question came. Its answer() may go out once leadership is confirmed by a round that began after this.
  void on_renewal_request(Micros now, const LeaseRenewalRequest& ask, const LeaseRegistry& ledger);
  LeaseRenewalResponse renewal_response(const std::string& node, std::uint64_t number,
                                        const LeaseRegistry& ledger) const;
  // What is to be proposed now. Call it after each change of the ledger, each question, and at due().
  std::vector<Command> propose(Micros now, const LeaseRegistry& ledger);
  // The proposal for this job came to nothing, or was applied.
  void on_proposal_finished(const std::string& job) { proposed_.erase(job); }
  Micros due() const { return due_; }
  std::string fingerprint() const;                                                 // for the model check
  std::vector<std::string> take_reasons() { return std::exchange(reasons_, {}); }  // lines for the log

 private:
  struct Node {
    Micros heard{0};
    std::set<std::string> eligible_jobs;
  };
  struct Watch {
    Micros renewed{0};  // of the last question that may have been answered with this job
    Token token = 0;
    std::uint64_t progress = 0;
    Micros progressed{0};
    bool revoked = false, moving = false;
  };
  std::string choose(Micros now, const std::string& job, const LeaseRegistry& ledger,
                     const std::string& but) const;
  std::map<std::string, int> loads(Micros now, const LeaseRegistry& ledger) const;
  void balance(Micros now, const LeaseRegistry& ledger);

  LeaseOptions options_;
  bool leading_ = false;
  Micros since_{0}, due_{0}, moved_{0};
  std::map<std::string, Node> nodes_;
  std::map<std::string, Watch> watches_;
  std::map<std::string, std::string> proposed_;                           // to whom
  std::map<std::pair<std::string, std::string>, Micros> excluded_until_;  // job, node: until
  std::vector<std::string> reasons_;
};

class LeaseClient {
 public:
  LeaseClient(std::string node, LeaseOptions options) : node_(std::move(node)), options_(options) {}
  LeaseRenewalRequest make_renewal_request(Micros now, const std::vector<std::string>& eligible_jobs);
  void on_renewal_response(Micros now, const LeaseRenewalResponse& response);
  // Right before each effect, with the clock read right then.
  bool holds(const std::string& job, Micros now) const;
  Token token(const std::string& job) const;
  void record_progress(const std::string& job);
  // Jobs whose lease has run out by now are forgotten; returns them.
  std::vector<std::string> expire(Micros now);
  std::vector<std::string> jobs() const;
  // Asked to stop this job, or leaving: forgets it; the token to release, 0: not held.
  Token give_up(const std::string& job);
  const std::set<std::string>& to_give_up() const { return give_up_; }
  Micros until(const std::string& job) const;

 private:
  struct Lease {
    Token token = 0;
    Micros until{0};
    std::uint64_t progress = 0;
  };
  std::string node_;
  LeaseOptions options_;
  std::uint64_t numbers_ = 0;
  std::map<std::uint64_t, Micros> sent_;  // questions without an answer yet, the newest few
  std::map<std::string, Lease> leases_;
  std::map<std::string, Token> given_up_;  // never taken back under the same token
  std::set<std::string> give_up_;
};

}  // namespace database_proxy::ownership
