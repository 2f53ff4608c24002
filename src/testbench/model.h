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

enum class Kind { kBounded, kOwn, kWrite, kProbe };  // a read within an age, of a session's own writes, ...
enum class Verdict { kRun, kRejected, kNotPrimary, kTooOld, kNever, kFailed };  // kNever: it stays silent
enum class Life { kUp, kDraining, kDown, kSilent };

struct ModelOptions {
  int cores = 4;             // of each server
  double service_us = 0;     // mean time on a core of a read; 0: answered at once
  double write_factor = 2;   // a write takes so many times as long
  double spread = 0.5;       // coefficient of variation of that (log-normal)
  std::size_t queue = 2000;  // requests in a server at once; more are turned away
  Micros lag{20'000};        // how far replicas are behind the primary's log
  Micros bound{300'000};     // how old data may be that a bounded read sees
  bool check_age = true;     // too old: turned away (72000), else answered all the same
  double cold_share = 0.17;  // of its speed just after a start
  Micros warm_up{18'000'000};
  // A cold server with more than so many times its speed inside falls over: it turns all away for a while and
  // is cold anew; 0: never.
  double fall_inside = 0;
  Micros fall_for{3'000'000};
};

struct Job {
  Kind kind = Kind::kBounded;
  std::int64_t after_unix_ms = 0;  // kOwn: the position it must see
};

struct Admission {
  Verdict verdict = Verdict::kRun;
  Micros done{0};  // when the answer is ready
};

class ServerModel {
 public:
  ServerModel(const ModelOptions& options, std::uint64_t seed, bool primary);

  // A request whose last byte came at `now`. With kRun it counts as inside until leave().
  Admission arrive(Micros now, std::int64_t unix_ms, const Job& job);
  void leave() { --inside_; }

  bool primary() const { return primary_; }
  void set_primary(bool primary, std::int64_t unix_ms);
  Life life() const { return life_; }
  void set_life(Life life) { life_ = life; }
  void set_lag(Micros lag, std::int64_t unix_ms);
  void restart(Micros now) { started_ = now; }  // cold from now on
  Micros started() const { return started_; }   // 0: long ago
  double speed(Micros now) const;               // 1 when warm
  // Up to which time of the log its data goes; never falls while it runs.
  std::int64_t position(std::int64_t unix_ms);
  int inside() const { return inside_; }
  void set_slow(double times) { slow_ = times; }     // each request takes so many times as long
  void set_failing(double share) { fail_ = share; }  // of the requests that come, with an error
  int falls() const { return falls_; }

 private:
  const ModelOptions& options_;
  bool primary_;
  Life life_ = Life::kUp;
  Micros lag_, started_{0};
  std::int64_t position_ = 0;
  std::vector<Micros> free_at_;  // of each core
  int inside_ = 0, falls_ = 0;
  double slow_ = 1, fail_ = 0;
  Micros fallen_until_{0};
  std::mt19937_64 random_;
  std::lognormal_distribution<double> service_;
};

// Which booking keys have been applied where: repeats within the window are answered and change nothing.
class KeyStore {
 public:
  explicit KeyStore(Micros window) : window_(window) {}
  enum class Applied { kFirst, kRepeat, kTwice };  // kTwice: after the window, so it has taken effect twice
  Applied apply(Micros now, std::uint64_t key);

 private:
  Micros window_, swapped_{0};
  std::unordered_map<std::uint64_t, Micros> recent_, older_;  // two generations bound what is kept
};

}  // namespace database_proxy::testbench
