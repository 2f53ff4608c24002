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

constexpr std::size_t kReadCap = 1 << 20;
constexpr Micros kSettle{2'500'000};  // after the end, what is out may still be answered
constexpr Micros kReconnect{20'000};
constexpr Micros kSeries{500'000};
constexpr std::size_t kNotedRequests = 40;

enum Cls { kBrowse, kOwnView, kBook };
constexpr const char* kClassNames[] = {"browse", "own-view", "book"};

struct Ask {
  Micros intended{0}, first{0};
  Cls request_class = kBrowse;
  int session = 0, tries = 0;
  std::int64_t set = 1;
  std::uint64_t key = 0;
};

class Generator;

class Client : public net::Handler {
 public:
  Client(Generator& owner, int number) : owner_(owner), number_(number) {}
  void connect();
  void on_ready(std::uint32_t events) override;
  void ask(Ask ask);
  bool full() const;
  bool up() const { return started_; }
  void note_unanswered(const char* why);
  // Its connection has ended, and the event is still to come: nothing is sent into it.
  bool has_ended() const { return fd_ && net::peer_has_closed(fd_.get()); }
  std::size_t out() const { return out_asks_.size(); }
  void flush();
  int number() const { return number_; }

 private:
  void broke();
  void answered(const std::string& code, std::string_view value, int come_back_ms);

  Generator& owner_;
  int number_;
  net::Fd fd_;
  net::InBuffer in_;
  net::OutBuffer out_;
  std::string pending_;
  bool started_ = false, greeted_ = false;
  struct Out {
    std::string id;
    Ask ask;
    Micros sent_at{0};
  };
  std::deque<Out> out_asks_;
  // What has come of the answer that is being read.
  bool row_ = false;
  std::string code_, value_;
  int come_back_ms_ = 0;
  std::vector<std::int64_t> wrote_ = {};  // by session: Unix time of its last write's answer, in ms
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
    int mine = options.connections / options.threads + (thread < options.connections % options.threads);
    for (int i = 0; i < std::max(1, mine); ++i)
      clients_.push_back(std::make_unique<Client>(*this, thread + i * options.threads));
  }

  void run() {
    if (cpu_ >= 0) pin_to(cpu_);
    loop.set_precise_sleep(true);
    for (auto& client : clients_) client->connect();
    auto began = net::monotonic_now();
    measure_from = began + options.warm_up;
    until = measure_from + options.duration;
    loop.at(until + kSettle, [this] { loop.stop(); });
    loop.at(measure_from, [this] { cpu_at_ = thread_cpu_seconds(); });
    loop.at(until, [this] { figures.cpu_seconds = {thread_cpu_seconds() - cpu_at_}; });
    next_arrival_ = began;
    loop.run([this] { end_of_turn(); });
    for (auto& client : clients_) client->note_unanswered("still out at the end");
    figures.unanswered += waiting_.size();
    figures.unsent += waiting_.size();
    figures.seconds = static_cast<double>(options.duration.count()) * 1e-6;
  }

  // Loads with different prefixes draw different keys, or a server would take a write of the one for a repeat
  // of the other's.
  static std::uint64_t seed_of(const LoadOptions& options, int thread) {
    constexpr std::uint64_t kThreadStride = 7919;
    auto prefix = std::hash<std::string>{}(options.id_prefix);
    return options.seed * kThreadStride + static_cast<std::uint64_t>(thread) + prefix;
  }

  Ask draw(Micros intended) {
    Ask a;
    a.intended = a.first = intended;
    double u = uniform_(random);
    a.request_class = u < options.book_share ? kBook : u < options.book_share + options.own_view_share ? kOwnView : kBrowse;
    a.session = static_cast<int>(random() % static_cast<std::uint64_t>(options.sessions));
    a.set = options.shard_groups[random() % options.shard_groups.size()];
    if (a.request_class == kBook) a.key = random();
    return a;
  }

  void end_of_turn() {
    auto now = loop.now();
    if (now < until) {
      while (!retries_.empty() && retries_.top().first <= now) {
        waiting_.push_back(retries_.top().second);
        retries_.pop();
      }
      if (options.rate > 0)
        arrivals(now);
      else
        for (auto& client : clients_)
          while (client->up() && !client->full()) client->ask(take(now));
    }
    // What is still waiting at the end could not be answered before the load ends.
    bool may_ask = options.rate > 0 && now < until;
    for (std::size_t left = waiting_.size(); left > 0 && may_ask; --left) {
      auto* client = free_client();
      if (!client) break;
      client->ask(waiting_.front());
      waiting_.pop_front();
    }
    for (auto& client : clients_) client->flush();
    if (now >= until && std::all_of(clients_.begin(), clients_.end(), [](auto& c) { return c->out() == 0; }))
      loop.stop();
    loop.cancel(&retry_timer_);
    if (!retries_.empty() && now < until) retry_timer_ = loop.at(retries_.top().first, [] {});
  }

  Ask take(Micros now) {
    if (waiting_.empty()) return draw(now);
    auto a = waiting_.front();
    waiting_.pop_front();
    return a;
  }

  // Arrivals that are due, drawn ahead: what finds no free connection waits here, and its latency counts on.
  void arrivals(Micros now) {
    std::exponential_distribution<double> gap(options.rate / options.threads / 1e6);
    while (next_arrival_ <= now) {
      waiting_.push_back(draw(next_arrival_));
      next_arrival_ += Micros(std::max<std::int64_t>(1, static_cast<std::int64_t>(gap(random))));
    }
    loop.cancel(&arrival_timer_);
    arrival_timer_ = loop.at(next_arrival_, [] {});
  }

  Client* free_client() {
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      auto& c = clients_[turn_++ % clients_.size()];
      if (c->up() && !c->full() && !c->has_ended()) return c.get();
    }
    return nullptr;
  }

  void come_back(Ask ask, int after_ms) {
    ++ask.tries;
    ++figures.retries;
    retries_.emplace(loop.now() + Micros(std::max(1, after_ms) * 1000), ask);
  }

  bool measured(const Ask& ask) const { return ask.intended >= measure_from && ask.intended < until; }

  const LoadOptions& options;
  net::Loop loop;
  LoadFigures figures;
  std::mt19937_64 random;
  Micros measure_from{0}, until{0}, last_answer{0};
  std::uint64_t next_id = 1;

 private:
  struct Later {
    bool operator()(const std::pair<Micros, Ask>& a, const std::pair<Micros, Ask>& b) const {
      return a.first > b.first;
    }
  };
  int thread_, cpu_;
  std::uniform_real_distribution<double> uniform_{0, 1};
  std::vector<std::unique_ptr<Client>> clients_;
  std::deque<Ask> waiting_;
  std::priority_queue<std::pair<Micros, Ask>, std::vector<std::pair<Micros, Ask>>, Later> retries_;
  Micros next_arrival_{0};
  net::Loop::TimerId arrival_timer_ = net::Loop::kNoTimer, retry_timer_ = net::Loop::kNoTimer;
  std::size_t turn_ = 0;
  double cpu_at_ = 0;
};

void Client::connect() {
  int error = 0;
  fd_ = net::start_connect(owner_.options.target, &error);
  if (!fd_ || !owner_.loop.add(fd_.get(), this)) return broke();
  wrote_.assign(static_cast<std::size_t>(owner_.options.sessions), 0);
}

void Client::broke() {
  ++owner_.figures.broken_connections;
  if (fd_) owner_.loop.remove(fd_.get(), this);
  fd_.reset();
  in_ = {};
  out_ = {};
  pending_.clear();
  started_ = greeted_ = row_ = false;
  note_unanswered("its connection ended");
  out_asks_.clear();
  if (owner_.loop.now() < owner_.until || owner_.until.count() == 0)
    owner_.loop.at(owner_.loop.now() + kReconnect, [this] { connect(); });
}

void Client::note_unanswered(const char* why) {
  auto& figures = owner_.figures;
  auto* rules = owner_.options.rules;
  auto now = owner_.loop.now();
  auto seconds = [](Micros time) { return static_cast<double>(time.count()) * 1e-6; };
  figures.unanswered += out_asks_.size();
  for (auto& out : out_asks_) {
    bool is_lost = rules && rules->was_attempted(out.id);
    figures.lost += is_lost;
    if (figures.unanswered_requests.size() >= kNotedRequests) continue;
    figures.unanswered_requests.push_back(fmt::format(
        "{} ({}{}): {}, {:.3f} s after it was sent, at {:.3f}", out.id, kClassNames[out.ask.request_class],
        is_lost ? ", lost" : "", why, seconds(now - out.sent_at), seconds(now)));
  }
}

bool Client::full() const { return out_asks_.size() >= static_cast<std::size_t>(owner_.options.depth); }

void Client::ask(Ask a) {
  auto& o = owner_.options;
  ++owner_.figures.attempts;
  if (a.tries == 0) ++owner_.figures.series[a.first / kSeries].first;
  auto id = fmt::format("{}{}-{}", o.id_prefix, number_, owner_.next_id++);
  auto name = fmt::format("{}k{}-{}", o.id_prefix, number_, a.session);
  auto left = o.deadline_ms;
  std::string sql;
  auto retry = a.tries > 0 ? ",r=1" : "";
  if (a.request_class == kBook) {
    sql = fmt::format(
        "INSERT INTO kv (name, content) VALUES ('{}', '\\x9f03') RETURNING content /* "
        "id={},c=book,d={},k={:x},cluster={}{} */",
        name, id, left, a.key, a.set, retry);
  } else {
    auto after = wrote_[static_cast<std::size_t>(a.session)];
    sql = fmt::format("SELECT content FROM kv WHERE name = '{}' /* id={},c={},d={},cluster={}{}{} */", name,
                      id, kClassNames[a.request_class], left, a.set,
                      a.request_class == kOwnView && after > 0 ? fmt::format(",after={}", after) : "", retry);
  }
  pending_ += pg::simple_query(sql);
  out_asks_.push_back({std::move(id), a, owner_.loop.now()});
}

void Client::flush() {
  if (pending_.empty() || !fd_) return;
  if (!out_.write(fd_.get(), {pending_})) return broke();
  pending_.clear();
}

void Client::on_ready(std::uint32_t events) {
  if (!greeted_) {
    if (net::socket_error(fd_.get()) != 0) return broke();
    if (!(events & EPOLLOUT)) return;
    greeted_ = true;
    if (!out_.write(fd_.get(), {pg::startup_message("backend", "store")})) return broke();
  }
  if ((events & EPOLLOUT) && !out_.flush(fd_.get())) return broke();
  auto end = in_.fill(fd_.get(), kReadCap);
  std::size_t at = 0;
  auto view = in_.view();
  pg::Frame frame;
  while (pg::parse_frame(view.substr(at), kReadCap, &frame) == pg::ParseStatus::kOk) {
    at += frame.size;
    switch (frame.type) {
      case 'D':
        row_ = true;
        value_ = pg::parse_single_column(frame.body).value_or("");
        break;
      case 'E':
        if (auto fields = pg::parse_error(frame.body)) {
          code_ = fields->code;
          come_back_ms_ = std::atoi(std::string(fields->detail).c_str());
        }
        break;
      case 'Z':
        if (!started_)
          started_ = true;
        else
          answered(row_ ? "" : code_, value_, come_back_ms_);
        row_ = false;
        code_.clear();
        come_back_ms_ = 0;
        break;
      default:
        break;
    }
    if (!fd_) return;
  }
  in_.consume(at);
  if (net::is_disconnected(end)) broke();
}

void Client::answered(const std::string& code, std::string_view value, int come_back_ms) {
  auto* rules = owner_.options.rules;
  auto now = owner_.loop.now();
  auto& f = owner_.figures;
  if (out_asks_.empty()) {
    if (rules)
      rules->breach(Rule::kTwoAnswers, fmt::format("an answer to client {} that asked nothing", number_));
    return;
  }
  auto out = std::move(out_asks_.front());
  out_asks_.pop_front();
  auto& a = out.ask;
  if (owner_.last_answer.count() > 0 && now < owner_.until)
    f.longest_gap_ms =
        std::max(f.longest_gap_ms, static_cast<double>((now - owner_.last_answer).count()) / 1000);
  owner_.last_answer = now;
  if (code.empty()) {
    if (value != out.id && rules)
      rules->breach(Rule::kWrongValue, fmt::format("request {} got the value of {}", out.id, value));
    if (a.request_class == kBook)
      wrote_[static_cast<std::size_t>(a.session)] = std::chrono::duration_cast<std::chrono::milliseconds>(
                                                        std::chrono::system_clock::now().time_since_epoch())
                                                        .count();
    auto& o = owner_.options;
    if (now - a.first <= (a.request_class == kBook ? o.book_latency_objective : o.latency_objective))
      ++f.series[a.first / kSeries].second;
    if (!owner_.measured(a)) return;
    ++f.served;
    auto us = std::max(1.0, static_cast<double>((now - a.intended).count()));
    f.overall_latency(us);
    f.latency.at(kClassNames[a.request_class])(us);
    return;
  }
  bool refused = code == "53300" || code == "57P03";
  if (owner_.measured(a)) ++(refused ? f.rejected : f.failed);
  if (refused && owner_.options.retry_rejected && a.tries < owner_.options.max_retries)
    owner_.come_back(a, come_back_ms);
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
