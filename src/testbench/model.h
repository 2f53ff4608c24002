// The lab's own model of a set of data servers: one primary and its replicas, in time that is passed in. No
// I/O. A server is a queue in front of k cores (G/G/k, first come first served); its log is shipped to the
// replicas, which apply it later. Times are microseconds on the monotonic clock unless a name says otherwise.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/loop.h"

namespace database_proxy::testbench {

using net::Micros;

enum class RequestKind { kBoundedStaleness, kReadYourWrites, kWrite, kProbe };  // a read within an age, of a session's own writes, ...
enum class AdmissionResult { kRun, kRejected, kNotPrimary, kTooOld, kNoAnswer, kFailed };  // kNever: it stays silent
enum class ServerState { kUp, kDraining, kDown, kUnresponsive };

struct ModelOptions {
  int cores = 4;             // of each server
  double service_us = 0;     // mean time on a core of a read; 0: answered at once
  double write_factor = 2;   // a write takes so many times as long
  double service_variation = 0.5;       // coefficient of variation of that (log-normal)
  std::size_t max_in_flight = 2000;  // requests in a server at once; more are turned away
  Micros lag{20'000};        // how far replicas are behind the primary's log
  Micros staleness_bound{300'000};     // how old data may be that a bounded read sees
  bool check_staleness = true;     // too old: turned away (72000), else answered all the same
  double initial_speed = 0.17;  // of its speed just after a start
  Micros warm_up{18'000'000};
  // A cold server with more than so many times its speed inside falls over: it turns all away for a while and
  // is cold anew; 0: never.
  double overload_in_flight = 0;
  Micros overload_duration{3'000'000};
};

struct ModelRequest {
  RequestKind kind = RequestKind::kBoundedStaleness;
  std::int64_t after_unix_ms = 0;  // kOwn: the position it must see
};

struct Admission {
  AdmissionResult result = AdmissionResult::kRun;
  Micros done{0};  // when the answer is ready
};

class ServerModel {
 public:
  ServerModel(const ModelOptions& options, std::uint64_t seed, bool primary);

  // A request whose last byte came at `now`. With kRun it counts as inside until leave().
  Admission admit(Micros now, std::int64_t unix_ms, const ModelRequest& request);
  void complete() { --in_flight_; }

  bool primary() const { return primary_; }
  void set_primary(bool primary, std::int64_t unix_ms);
  ServerState state() const { return state_; }
  void set_state(ServerState state) { state_ = state; }
  void set_lag(Micros lag, std::int64_t unix_ms);
  void restart(Micros now) { started_ = now; }  // cold from now on
  Micros started() const { return started_; }   // 0: long ago
  double speed(Micros now) const;               // 1 when warm
  // Up to which time of the log its data goes; never falls while it runs.
  std::int64_t position(std::int64_t unix_ms);
  int in_flight() const { return in_flight_; }
  void set_slowdown(double times) { slowdown_ = times; }     // each request takes so many times as long
  void set_failure_rate(double share) { failure_rate_ = share; }  // of the requests that come, with an error
  int overloads() const { return overloads_; }

 private:
  const ModelOptions& options_;
  bool primary_;
  ServerState state_ = ServerState::kUp;
  Micros lag_, started_{0};
  std::int64_t position_ = 0;
  std::vector<Micros> free_at_;  // of each core
  int in_flight_ = 0, overloads_ = 0;
  double slowdown_ = 1, failure_rate_ = 0;
  Micros overloaded_until_{0};
  std::mt19937_64 random_;
  std::lognormal_distribution<double> service_;
};

// Which booking keys have been applied where: repeats within the window are answered and change nothing.
class IdempotencyKeyStore {
 public:
  explicit IdempotencyKeyStore(Micros window) : window_(window) {}
  enum class Applied { kFirst, kRepeat, kTwice };  // kTwice: after the window, so it has taken effect twice
  Applied apply(Micros now, std::uint64_t key);

 private:
  Micros window_, rotated_at_{0};
  std::unordered_map<std::uint64_t, Micros> recent_, older_;  // two generations bound what is kept
};

}  // namespace database_proxy::testbench
