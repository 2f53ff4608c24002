// Load generator of the testbench: many clients of a proxy, in a closed or open loop, limited in time and
// number. The open loop draws arrival times in advance (Poisson process) and measures latency from the
// intended arrival time, so a stall of the proxy shows up in the figures.
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
  std::vector<int> cpus;                   // threads are pinned to these in turn; empty: not pinned
  int connections = 32;                    // total of all threads
  int depth = 1;                           // maximum number of requests in flight on a connection
  double rate = 0;                         // open loop: requests per second of all threads; 0: closed loop
  Micros warm_up{0}, duration{1'000'000};  // the duration is measured after the warm-up
  double own_view_share = 0.2, book_share = 0.1;  // shares of the request classes; the rest is class browse
  int sessions = 64;                              // number per connection
  std::vector<std::int64_t> shard_groups{1};
  int deadline_ms = 2000;  // deadline that each request carries (field d of its SQL comment)
  Micros latency_objective{500'000}, book_latency_objective{1'200'000};  // over all attempts of a request
  bool retry_rejected = true;  // retries a rejected request after its Retry-After time, marked as a retry
  int max_retries = 3;
  std::uint64_t seed = 1;
  InvariantChecker* invariants = nullptr;  // receives wrong values and surplus answers as violations
  std::string id_prefix = "c";  // of request ids; must differ between loads that run against the same proxy
};

// Histogram of latencies in microseconds on a logarithmic axis from 1 us to 100 s, with bins 1 % wide.
using Latencies = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(1852, 1, 1e8)));
Latencies make_latencies();
double percentile(const Latencies& latencies, double share);  // upper edge of the bin; 0 if empty

struct LoadFigures {
  std::uint64_t attempts = 0, served = 0, rejected = 0, failed = 0, retries = 0, unanswered = 0,
                broken_connections = 0;
  std::uint64_t unsent = 0;  // of the unanswered: no connection became free before the end of the run
  std::uint64_t lost = 0;    // of the unanswered: an attempt had reached a server
  std::map<std::string, Latencies> latency;      // by request class, of the served requests
  std::vector<std::string> unanswered_requests;  // the first ones, with the reason
  Latencies overall_latency = make_latencies();
  double seconds = 0;
  std::vector<double> cpu_seconds;  // of each load thread, during the measurement
  double longest_gap_ms = 0;        // between two consecutive answers to the clients of one thread
  // Number of requests, and number of those served within the latency objective of their class
  // (LoadOptions::latency_objective, book_latency_objective) over all their attempts. The key is the half
  // second of the monotonic clock in which the request was created.
  std::map<std::int64_t, std::pair<std::uint64_t, std::uint64_t>> series;
  void add(const LoadFigures& other);
  std::string describe() const;  // one line of counts, and one for each listed request without an answer
};

// Runs the load until it ends and returns the figures of all threads. Throws std::runtime_error if it cannot
// connect.
LoadFigures run_load(const LoadOptions& options);

}  // namespace database_proxy::testbench
