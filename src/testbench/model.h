// The testbench's model of the servers of a shard group: one primary and its replicas. The caller passes the
// time; the model does no I/O. A server is a queue in front of k cores (G/G/k, first come first served); its
// log is shipped to the replicas, which apply it later. Times are in microseconds on the monotonic clock,
// except where a name states another unit or clock.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/loop.h"

namespace database_proxy::testbench {

using net::Micros;

enum class RequestKind {
  kBoundedStaleness,  // read that accepts data up to `ModelOptions::staleness_bound` old
  kReadYourWrites,    // read that must see the session's own writes
  kWrite,
  kProbe
};
// What a server does with a request; kNoAnswer: it never answers.
enum class AdmissionResult { kRun, kRejected, kNotPrimary, kTooOld, kNoAnswer, kFailed };
enum class ServerState { kUp, kDraining, kDown, kUnresponsive };

struct ModelOptions {
  int cores = 4;                     // per server
  double service_us = 0;             // mean service time of a read on one core; 0: answered at once
  double write_factor = 2;           // service time of a write relative to a read
  double service_variation = 0.5;    // coefficient of variation of the service time (log-normal)
  std::size_t max_in_flight = 2000;  // requests in flight at one server; further ones are rejected
  Micros lag{20'000};                // replication lag behind the primary's log
  Micros staleness_bound{300'000};   // maximum age of the data for a bounded-staleness read
  bool check_staleness = true;       // true: rejects reads of stale data (72000); false: answers them
  double initial_speed = 0.17;       // share of the full speed just after a start
  Micros warm_up{18'000'000};
  // A server that is warming up becomes overloaded when its requests in flight exceed this number times its
  // speed: it rejects all requests for `overload_duration` and then warms up again; 0: never.
  double overload_in_flight = 0;
  Micros overload_duration{3'000'000};
};

struct ModelRequest {
  RequestKind kind = RequestKind::kBoundedStaleness;
  std::int64_t after_unix_ms = 0;  // kReadYourWrites: the log position that the read must see
};

struct Admission {
  AdmissionResult result = AdmissionResult::kRun;
  Micros done{0};  // time at which the answer is ready
};

// One server of a shard group.
class ServerModel {
 public:
  ServerModel(const ModelOptions& options, std::uint64_t seed, bool primary);

  // Decides on a request whose last byte arrived at `now`. With kRun it counts as in flight until complete().
  Admission admit(Micros now, std::int64_t unix_ms, const ModelRequest& request);
  void complete() { --in_flight_; }

  bool primary() const { return primary_; }
  void set_primary(bool primary, std::int64_t unix_ms);
  ServerState state() const { return state_; }
  void set_state(ServerState state) { state_ = state; }
  void set_lag(Micros lag, std::int64_t unix_ms);
  void restart(Micros now) { started_ = now; }  // starts to warm up at `now`
  Micros started() const { return started_; }   // 0: long ago, fully warm
  double speed(Micros now) const;               // share of the full speed; 1: warm
  // Returns the log position that the server's data has reached; it never decreases.
  std::int64_t position(std::int64_t unix_ms);
  int in_flight() const { return in_flight_; }
  void set_slowdown(double times) { slowdown_ = times; }          // factor on each service time
  void set_failure_rate(double share) { failure_rate_ = share; }  // share of requests answered with an error
  int overloads() const { return overloads_; }

 private:
  const ModelOptions& options_;
  bool primary_;
  ServerState state_ = ServerState::kUp;
  Micros lag_, started_{0};
  std::int64_t position_ = 0;
  std::vector<Micros> free_at_;  // per core
  int in_flight_ = 0, overloads_ = 0;
  double slowdown_ = 1, failure_rate_ = 0;
  Micros overloaded_until_{0};
  std::mt19937_64 random_;
  std::lognormal_distribution<double> service_;
};

// The idempotency keys of the writes that have been applied. A repeat within the window is answered and has
// no further effect.
class IdempotencyKeyStore {
 public:
  explicit IdempotencyKeyStore(Micros window) : window_(window) {}
  // kTwice: repeated after the window, so it took effect twice.
  enum class Applied { kFirst, kRepeat, kTwice };
  Applied apply(Micros now, std::uint64_t key);

 private:
  Micros window_, rotated_at_{0};
  std::unordered_map<std::uint64_t, Micros> recent_, older_;  // two generations, to bound the memory
};

}  // namespace database_proxy::testbench
