// The lab's load: many clients of the daemon, closed or open loop, bounded in time and count. Open loop draws
// arrival times ahead (Poisson) and counts latency from the intended time, so a stall of the daemon is not
// hidden.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "net/socket.h"
#include "testbench/rules.h"

namespace database_proxy::testbench {

struct LoadOptions {
  net::Address target;
  int threads = 1;
  std::vector<int> cpus;                 // threads are pinned to these, in turn; empty: not at all
  int connections = 32;                  // in all
  int depth = 1;                         // requests that a connection has out at once
  double rate = 0;                       // open loop: requests a second in all; 0: closed loop
  Micros warm_up{0}, duration{1'000'000};  // measured after the warm-up
  double own_view_share = 0.2, book_share = 0.1;     // shares of the classes; the rest browses
  int sessions = 64;                     // of each connection
  std::vector<std::int64_t> shard_groups{1};
  int deadline_ms = 2000;                                      // what the client says it waits
  Micros latency_objective{500'000}, book_latency_objective{1'200'000};  // in time, from the first try on
  bool retry_rejected = true;  // comes back after a refusal, when told to, marked as a retry
  int max_retries = 3;
  std::uint64_t seed = 1;
  RuleChecker* rules = nullptr;  // told of wrong values and of answers too many
  std::string id_prefix = "c";      // of request ids: those of two loads against one daemon must differ
};

// Latencies in microseconds on a logarithmic axis: 1 us to 100 s, each bin 1 % wide.
using Latencies = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(1852, 1, 1e8)));
Latencies make_latencies();
double percentile(const Latencies& latencies, double share);  // the upper edge of its bin; 0 when empty

struct LoadFigures {
  std::uint64_t attempts = 0, served = 0, rejected = 0, failed = 0, retries = 0, unanswered = 0, broken_connections = 0;
  std::uint64_t unsent = 0;  // of the unanswered: no connection was free for them up to the end
  std::uint64_t lost = 0;    // of the unanswered: an attempt had come to a server
  std::map<std::string, Latencies> latency;      // by class, of what was served
  std::vector<std::string> unanswered_requests;  // the first ones, and what became of them
  Latencies overall_latency = make_latencies();
  double seconds = 0;
  std::vector<double> cpu_seconds;  // of each load thread, while measuring
  double longest_gap_ms = 0;        // between two answers of all of one thread's clients
  // By half a second of the monotonic clock in which a request was first asked: how many, and how many of
  // those were served in time (LoadOptions::aim), whatever the number of tries.
  std::map<std::int64_t, std::pair<std::uint64_t, std::uint64_t>> series;
  void add(const LoadFigures& other);
};

// Runs it to its end. Throws std::runtime_error when it cannot connect.
LoadFigures run_load(const LoadOptions& options);

}  // namespace database_proxy::testbench
