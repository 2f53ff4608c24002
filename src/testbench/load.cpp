#include "testbench/load.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <exception>
#include <queue>
#include <random>
#include <stdexcept>
#include <thread>

#include "net/buffer.h"
#include "pg/message.h"
#include "testbench/loop_thread.h"

namespace database_proxy::testbench {
namespace {

constexpr std::size_t kMaxReadBytes = 1 << 20;
constexpr Micros kFinalAnswerTimeout{2'500'000};  // time for requests in flight at the end of the run
constexpr Micros kReconnectDelay{20'000};
constexpr Micros kSeriesInterval{500'000};
constexpr std::size_t kMaxListedUnanswered = 40;

enum LoadClass { kBrowse, kOwnView, kBook };
constexpr const char* kClassNames[] = {"browse", "own-view", "book"};

struct LoadRequest {
  Micros intended_at{0}, created_at{0};
  LoadClass request_class = kBrowse;
  int session = 0, retries = 0;
  std::int64_t shard_group = 1;
  std::uint64_t idempotency_key = 0;
};

class Generator;

class Client : public net::Handler {
 public:
  Client(Generator& generator, int number) : generator_(generator), number_(number) {}
  void connect();
  void on_ready(std::uint32_t events) override;
  void send_request(LoadRequest request);
  bool has_max_in_flight() const;
  bool is_ready() const { return ready_; }
  void record_unanswered(const char* why);
  // Returns whether the peer has closed the connection, although the loop has not reported it yet. Requests
  // are not sent on such a connection.
  bool has_ended() const { return fd_ && net::peer_has_closed(fd_.get()); }
  std::size_t in_flight_count() const { return in_flight_.size(); }
  void flush();
  int number() const { return number_; }

 private:
  void handle_disconnect();
  void handle_answer(const std::string& code, std::string_view value, int retry_after_ms);

  Generator& generator_;
  int number_;
  net::Fd fd_;
  net::InBuffer in_;
  net::OutBuffer out_;
  std::string pending_;
  bool ready_ = false, startup_sent_ = false;
  struct InFlightRequest {
    std::string id;
    LoadRequest request;
    Micros sent_at{0};
  };
  std::deque<InFlightRequest> in_flight_;
  // The part of the current answer that has been received so far.
  bool has_row_ = false;
  std::string error_code_, value_;
  int retry_after_ms_ = 0;
  std::vector<std::int64_t> last_write_unix_ms_ = {};  // by session: when its last write was answered
  friend class Generator;
};

class Generator {
 public:
  Generator(const LoadOptions& options, int thread)
      : options(options),
        random(seed_of(options, thread)),
        thread_(thread),
        cpu_(options.cpus.empty() ? -1
                                  : options.cpus[static_cast<std::size_t>(thread) % options.cpus.size()]) {
    for (const char* name : kClassNames) figures.latency.emplace(name, make_latencies());
    int client_count =
        options.connections / options.threads + (thread < options.connections % options.threads);
    for (int i = 0; i < std::max(1, client_count); ++i)
      clients_.push_back(std::make_unique<Client>(*this, thread + i * options.threads));
  }

  void run() {
    if (cpu_ >= 0) pin_to_cpu(cpu_);
    loop.set_precise_sleep(true);
    for (auto& client : clients_) client->connect();
    auto began = net::monotonic_now();
    measure_from = began + options.warm_up;
    measure_until = measure_from + options.duration;
    loop.at(measure_until + kFinalAnswerTimeout, [this] { loop.stop(); });
    loop.at(measure_from, [this] { cpu_seconds_at_start_ = thread_cpu_seconds(); });
    loop.at(measure_until, [this] { figures.cpu_seconds = {thread_cpu_seconds() - cpu_seconds_at_start_}; });
    next_arrival_ = began;
    loop.run([this] { after_loop_iteration(); });
    for (auto& client : clients_) client->record_unanswered("still in flight at the end of the run");
    figures.unanswered += queued_requests_.size();
    figures.unsent += queued_requests_.size();
    figures.seconds = static_cast<double>(options.duration.count()) * 1e-6;
  }

  // Returns a seed that depends on the id prefix, so that loads with different prefixes draw different
  // idempotency keys. With equal keys, a server would take a write of one load for a repeat of the other's.
  static std::uint64_t seed_of(const LoadOptions& options, int thread) {
    constexpr std::uint64_t kThreadStride = 7919;
    auto prefix = std::hash<std::string>{}(options.id_prefix);
    return options.seed * kThreadStride + static_cast<std::uint64_t>(thread) + prefix;
  }

  LoadRequest draw_request(Micros intended_at) {
    LoadRequest request;
    request.intended_at = request.created_at = intended_at;
    double u = uniform_(random);
    request.request_class = u < options.book_share                            ? kBook
                            : u < options.book_share + options.own_view_share ? kOwnView
                                                                              : kBrowse;
    request.session = static_cast<int>(random() % static_cast<std::uint64_t>(options.sessions));
    request.shard_group = options.shard_groups[random() % options.shard_groups.size()];
    if (request.request_class == kBook) request.idempotency_key = random();
    return request;
  }

  void after_loop_iteration() {
    auto now = loop.now();
    if (now < measure_until) {
      while (!retry_queue_.empty() && retry_queue_.top().first <= now) {
        queued_requests_.push_back(retry_queue_.top().second);
        retry_queue_.pop();
      }
      if (options.rate > 0)
        enqueue_due_arrivals(now);
      else
        for (auto& client : clients_)
          while (client->is_ready() && !client->has_max_in_flight()) client->send_request(next_request(now));
    }
    // Requests still queued at the end of the load are not sent: they could not be answered in time.
    bool may_send = options.rate > 0 && now < measure_until;
    for (std::size_t left = queued_requests_.size(); left > 0 && may_send; --left) {
      auto* client = free_client();
      if (!client) break;
      client->send_request(queued_requests_.front());
      queued_requests_.pop_front();
    }
    for (auto& client : clients_) client->flush();
    if (now >= measure_until &&
        std::all_of(clients_.begin(), clients_.end(), [](auto& c) { return c->in_flight_count() == 0; }))
      loop.stop();
    loop.cancel(&retry_timer_);
    if (!retry_queue_.empty() && now < measure_until) retry_timer_ = loop.at(retry_queue_.top().first, [] {});
  }

  LoadRequest next_request(Micros now) {
    if (queued_requests_.empty()) return draw_request(now);
    auto request = queued_requests_.front();
    queued_requests_.pop_front();
    return request;
  }

  // Queues the arrivals that are due and draws the time of the next one. A request that finds no free
  // connection stays in the queue, and that time counts towards its latency.
  void enqueue_due_arrivals(Micros now) {
    std::exponential_distribution<double> gap(options.rate / options.threads / 1e6);
    while (next_arrival_ <= now) {
      queued_requests_.push_back(draw_request(next_arrival_));
      next_arrival_ += Micros(std::max<std::int64_t>(1, static_cast<std::int64_t>(gap(random))));
    }
    loop.cancel(&arrival_timer_);
    arrival_timer_ = loop.at(next_arrival_, [] {});
  }

  Client* free_client() {
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      auto& c = clients_[next_client_++ % clients_.size()];
      if (c->is_ready() && !c->has_max_in_flight() && !c->has_ended()) return c.get();
    }
    return nullptr;
  }

  void schedule_retry(LoadRequest request, int retry_after_ms) {
    ++request.retries;
    ++figures.retries;
    retry_queue_.emplace(loop.now() + Micros(std::max(1, retry_after_ms) * 1000), request);
  }

  bool is_measured(const LoadRequest& request) const {
    return request.intended_at >= measure_from && request.intended_at < measure_until;
  }

  const LoadOptions& options;
  net::Loop loop;
  LoadFigures figures;
  std::mt19937_64 random;
  Micros measure_from{0}, measure_until{0}, last_answer{0};
  std::uint64_t next_id = 1;

 private:
  struct LaterFirst {
    bool operator()(const std::pair<Micros, LoadRequest>& a, const std::pair<Micros, LoadRequest>& b) const {
      return a.first > b.first;
    }
  };
  int thread_, cpu_;
  std::uniform_real_distribution<double> uniform_{0, 1};
  std::vector<std::unique_ptr<Client>> clients_;
  std::deque<LoadRequest> queued_requests_;
  std::priority_queue<std::pair<Micros, LoadRequest>, std::vector<std::pair<Micros, LoadRequest>>, LaterFirst>
      retry_queue_;
  Micros next_arrival_{0};
  net::Loop::TimerId arrival_timer_ = net::Loop::kNoTimer, retry_timer_ = net::Loop::kNoTimer;
  std::size_t next_client_ = 0;
  double cpu_seconds_at_start_ = 0;
};

void Client::connect() {
  int error = 0;
  fd_ = net::start_connect(generator_.options.target, &error);
  if (!fd_ || !generator_.loop.add(fd_.get(), this)) return handle_disconnect();
  last_write_unix_ms_.assign(static_cast<std::size_t>(generator_.options.sessions), 0);
}

void Client::handle_disconnect() {
  ++generator_.figures.broken_connections;
  if (fd_) generator_.loop.remove(fd_.get(), this);
  fd_.reset();
  in_ = {};
  out_ = {};
  pending_.clear();
  ready_ = startup_sent_ = has_row_ = false;
  record_unanswered("connection closed");
  in_flight_.clear();
  if (generator_.loop.now() < generator_.measure_until || generator_.measure_until.count() == 0)
    generator_.loop.at(generator_.loop.now() + kReconnectDelay, [this] { connect(); });
}

void Client::record_unanswered(const char* why) {
  auto& figures = generator_.figures;
  auto* invariants = generator_.options.invariants;
  auto now = generator_.loop.now();
  auto seconds = [](Micros time) { return static_cast<double>(time.count()) * 1e-6; };
  figures.unanswered += in_flight_.size();
  for (auto& out : in_flight_) {
    bool is_lost = invariants && invariants->was_attempted(out.id);
    figures.lost += is_lost;
    if (figures.unanswered_requests.size() >= kMaxListedUnanswered) continue;
    figures.unanswered_requests.push_back(fmt::format("{} ({}{}): {}, {:.3f} s after it was sent, at {:.3f}",
                                                      out.id, kClassNames[out.request.request_class],
                                                      is_lost ? ", lost" : "", why,
                                                      seconds(now - out.sent_at), seconds(now)));
  }
}

bool Client::has_max_in_flight() const {
  return in_flight_.size() >= static_cast<std::size_t>(generator_.options.depth);
}

void Client::send_request(LoadRequest request) {
  auto& o = generator_.options;
  ++generator_.figures.attempts;
  if (request.retries == 0) ++generator_.figures.series[request.created_at / kSeriesInterval].first;
  auto id = fmt::format("{}{}-{}", o.id_prefix, number_, generator_.next_id++);
  auto name = fmt::format("{}k{}-{}", o.id_prefix, number_, request.session);
  auto deadline_ms = o.deadline_ms;
  std::string sql;
  auto retry = request.retries > 0 ? ",r=1" : "";
  if (request.request_class == kBook) {
    sql = fmt::format(
        "INSERT INTO kv (name, content) VALUES ('{}', '\\x9f03') RETURNING content /* "
        "id={},c=book,d={},k={:x},cluster={}{} */",
        name, id, deadline_ms, request.idempotency_key, request.shard_group, retry);
  } else {
    auto after = last_write_unix_ms_[static_cast<std::size_t>(request.session)];
    sql = fmt::format("SELECT content FROM kv WHERE name = '{}' /* id={},c={},d={},cluster={}{}{} */", name,
                      id, kClassNames[request.request_class], deadline_ms, request.shard_group,
                      request.request_class == kOwnView && after > 0 ? fmt::format(",after={}", after) : "",
                      retry);
  }
  pending_ += pg::simple_query(sql);
  in_flight_.push_back({std::move(id), request, generator_.loop.now()});
}

void Client::flush() {
  if (pending_.empty() || !fd_) return;
  if (!out_.write(fd_.get(), {pending_})) return handle_disconnect();
  pending_.clear();
}

void Client::on_ready(std::uint32_t events) {
  if (!startup_sent_) {
    if (net::socket_error(fd_.get()) != 0) return handle_disconnect();
    if (!(events & EPOLLOUT)) return;
    startup_sent_ = true;
    if (!out_.write(fd_.get(), {pg::startup_message("backend", "store")})) return handle_disconnect();
  }
  if ((events & EPOLLOUT) && !out_.flush(fd_.get())) return handle_disconnect();
  auto end = in_.fill(fd_.get(), kMaxReadBytes);
  std::size_t at = 0;
  auto view = in_.view();
  pg::Frame frame;
  while (pg::parse_frame(view.substr(at), kMaxReadBytes, &frame) == pg::ParseStatus::kOk) {
    at += frame.size;
    switch (frame.type) {
      case 'D':
        has_row_ = true;
        value_ = pg::parse_single_column(frame.body).value_or("");
        break;
      case 'E':
        if (auto fields = pg::parse_error(frame.body)) {
          error_code_ = fields->code;
          retry_after_ms_ = std::atoi(std::string(fields->detail).c_str());
        }
        break;
      case 'Z':
        if (!ready_)
          ready_ = true;
        else
          handle_answer(has_row_ ? "" : error_code_, value_, retry_after_ms_);
        has_row_ = false;
        error_code_.clear();
        retry_after_ms_ = 0;
        break;
      default:
        break;
    }
    if (!fd_) return;
  }
  in_.consume(at);
  if (net::is_disconnected(end)) handle_disconnect();
}

void Client::handle_answer(const std::string& code, std::string_view value, int retry_after_ms) {
  auto* invariants = generator_.options.invariants;
  auto now = generator_.loop.now();
  auto& f = generator_.figures;
  if (in_flight_.empty()) {
    if (invariants)
      invariants->record_violation(
          Invariant::kUnexpectedAnswer,
          fmt::format("client {} received an answer without a request in flight", number_));
    return;
  }
  auto out = std::move(in_flight_.front());
  in_flight_.pop_front();
  auto& request = out.request;
  if (generator_.last_answer.count() > 0 && now < generator_.measure_until)
    f.longest_gap_ms =
        std::max(f.longest_gap_ms, static_cast<double>((now - generator_.last_answer).count()) / 1000);
  generator_.last_answer = now;
  if (code.empty()) {
    if (value != out.id && invariants)
      invariants->record_violation(Invariant::kWrongValue,
                                   fmt::format("request {} received the value of request {}", out.id, value));
    if (request.request_class == kBook)
      last_write_unix_ms_[static_cast<std::size_t>(request.session)] =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
    auto& o = generator_.options;
    if (now - request.created_at <=
        (request.request_class == kBook ? o.book_latency_objective : o.latency_objective))
      ++f.series[request.created_at / kSeriesInterval].second;
    if (!generator_.is_measured(request)) return;
    ++f.served;
    auto us = std::max(1.0, static_cast<double>((now - request.intended_at).count()));
    f.overall_latency(us);
    f.latency.at(kClassNames[request.request_class])(us);
    return;
  }
  bool rejected = code == "53300" || code == "57P03";
  if (generator_.is_measured(request)) ++(rejected ? f.rejected : f.failed);
  if (rejected && generator_.options.retry_rejected && request.retries < generator_.options.max_retries)
    generator_.schedule_retry(request, retry_after_ms);
}

}  // namespace

Latencies make_latencies() {
  return boost::histogram::make_histogram(
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(1852, 1, 1e8));
}

double percentile(const Latencies& latencies, double share) {
  double all = 0, sum = 0;
  for (auto&& bin : boost::histogram::indexed(latencies)) all += *bin;
  if (all <= 0) return 0;
  for (auto&& bin : boost::histogram::indexed(latencies)) {
    sum += *bin;
    if (sum >= all * share) return bin.bin(0).upper();
  }
  return 0;
}

std::string LoadFigures::describe() const {
  auto text = fmt::format(
      "attempts {}, served {}, rejected {}, failed {}, retries {}, unanswered {}, broken connections {}, "
      "unsent {}, lost {}, longest gap {:.0f} ms",
      attempts, served, rejected, failed, retries, unanswered, broken_connections, unsent, lost,
      longest_gap_ms);
  for (auto& request : unanswered_requests) text += "\n" + request;
  return text;
}

void LoadFigures::add(const LoadFigures& o) {
  attempts += o.attempts;
  served += o.served;
  rejected += o.rejected;
  failed += o.failed;
  retries += o.retries;
  unanswered += o.unanswered;
  broken_connections += o.broken_connections;
  lost += o.lost;
  unsent += o.unsent;
  unanswered_requests.insert(unanswered_requests.end(), o.unanswered_requests.begin(),
                             o.unanswered_requests.end());
  for (auto& [name, histogram] : o.latency) {
    auto [it, fresh] = latency.try_emplace(name, histogram);
    if (!fresh) it->second += histogram;
  }
  overall_latency += o.overall_latency;
  for (auto& [at, n] : o.series) {
    series[at].first += n.first;
    series[at].second += n.second;
  }
  seconds = std::max(seconds, o.seconds);
  cpu_seconds.insert(cpu_seconds.end(), o.cpu_seconds.begin(), o.cpu_seconds.end());
  longest_gap_ms = std::max(longest_gap_ms, o.longest_gap_ms);
}

LoadFigures run_load(const LoadOptions& options) {
  std::vector<std::unique_ptr<Generator>> generators;
  for (int i = 0; i < options.threads; ++i) generators.push_back(std::make_unique<Generator>(options, i));
  std::vector<std::thread> threads;
  std::vector<std::exception_ptr> errors(generators.size());
  for (std::size_t i = 0; i < generators.size(); ++i)
    threads.emplace_back([&, i] {
      try {
        generators[i]->run();
      } catch (...) {
        errors[i] = std::current_exception();
      }
    });
  for (auto& t : threads) t.join();
  for (auto& e : errors)
    if (e) std::rethrow_exception(e);
  LoadFigures all;
  for (auto& g : generators) all.add(g->figures);
  return all;
}

}  // namespace database_proxy::testbench
