#include "workers/worker_pool.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "net/system_errors.h"
#include "workers/remote_decider.h"
#include "workers/thread_name.h"

namespace database_proxy::workers {
namespace {

using namespace std::chrono_literals;

// One turn's share of new clients, as a proxy by itself has it; the rest waits in the backlog of the kernel.
constexpr int kAcceptsPerIteration = 64;
// Where no client may be let in: how soon it is looked again. A worker asked for room has closed one by then.
constexpr Micros kAcceptRetry = 5ms;
// A worker that wants room asks no more often, so that one in need does not flood the others.
constexpr Micros kDescriptorRequestInterval = 5ms;
// The same share of descriptors as a proxy by itself leaves to clients, and what the process needs of its
// own.
constexpr double kClientShare = 2.0 / 3;
constexpr std::size_t kOwnDescriptors = 16, kOfEachProxy = 2;
// As a proxy by itself waits for the first list of discovery.
constexpr Micros kFirstListTimeout = 300ms;

}  // namespace

request_router::Settings settings_of_worker(request_router::Settings settings, std::size_t worker,
                                            std::size_t count) {
  auto n = static_cast<int>(count);
  settings.ordinal = std::max(0, settings.ordinal) * n + static_cast<int>(worker);
  settings.routers = std::max(1, settings.routers) * n;
  return settings;
}

std::uint64_t seed_of_worker(std::uint64_t seed, std::size_t worker) {
  return worker == 0 ? seed : seed ^ (0x9e3779b97f4a7c15u * worker);
}

// ---- one worker
// -------------------------------------------------------------------------------------------

class WorkerPool::Worker : public proxy::SiblingWorkers {
 public:
  Worker(WorkerPool& group, std::size_t number)
      : group_(group),
        number_(number),
        log_(group.make_log_(fmt::format("w{}", number))),
        tasks_(loop_, [this] { return remote_ && remote_->waiting(); }) {
    auto& c = group.config_;
    if (c.options.decisions == Decisions::kShared) {
      remote_ = std::make_unique<RemoteDecider>(
          group.decisions_->line(number), group.decisions_->facade().classes(),
          c.options.most_queued_requests, [&group] { group.decisions_->wake(); });
      decider_ = remote_.get();
    } else {
      facade_ = std::make_unique<routing::DecisionFacade>(
          settings_of_worker(c.settings, number, c.options.count), seed_of_worker(c.seed, number),
          routing::UnixClock::measured(),
          [this](const std::string& text) { log_(net::Level::kInfo, "decisions: " + text); });
      local_ = std::make_unique<routing::LocalDecider>(*facade_);
      decider_ = local_.get();
    }
    auto options = c.proxy;
    options.number = static_cast<std::uint32_t>(number);
    options.count = static_cast<std::uint32_t>(c.options.count);
    options.listens = c.options.accept == Accept::kReusePort;
    proxy_ = std::make_unique<proxy::Proxy>(loop_, *decider_, options, log_, *this);
    proxy_->before_iteration_end = [this] { tasks_.run_pending(); };
    proxy_->on_unknown_cancel = [this](auto number, auto secret) {
      group_.on_cancel_not_found(number, secret);
    };
    proxy_->on_ready = [this] {
      if (!group_.logged_ready_.exchange(true)) group_.tasks_.post([this] { group_.on_worker_ready(); });
    };
  }
  ~Worker() override { join(); }
  void join() {
    if (thread_.joinable()) thread_.join();
  }

  void start() {
    auto& cpus = group_.config_.options.cpus;
    int cpu = cpus.empty() ? -1 : cpus[number_ % cpus.size()];
    running_ = true;
    thread_ = std::thread([this, cpu] {
      name_and_pin(fmt::format("worker-{}", number_), cpu);
      proxy_->run();
      running_ = false;
      group_.tasks_.post([this] { group_.ended(); });
    });
  }
  void post(std::function<void()> call) { tasks_.post(std::move(call)); }
  void wake() { tasks_.notify(); }
  void assign_worker(net::Fd fd) {
    ++assigned_;
    // std::function wants what can be copied, and a descriptor must not be lost where the call never runs.
    auto held = std::make_shared<net::Fd>(std::move(fd));
    post([this, held] {
      --assigned_;
      proxy_->adopt(std::move(*held));
    });
  }
  WorkerSlot slot() const {
    return {group_.resource_usage_.of(number_).clients, assigned_.load(), running_.load()};
  }
  proxy::Proxy& proxy() { return *proxy_; }
  std::uint64_t returned() const { return remote_ ? remote_->returned() : 0; }

  // SiblingWorkers, in the worker's own thread.
  void publish(const proxy::ResourceUsage& held) override { group_.resource_usage_.publish(number_, held); }
  proxy::ResourceUsage sibling_usage() const override {
    auto sum = group_.resource_usage_.others(number_);
    if (group_.decisions_) sum.descriptors += group_.decisions_->descriptors();
    return sum;
  }
  void request_descriptor() override {
    if (loop_.now() - requested_descriptor_at_ < kDescriptorRequestInterval) return;
    requested_descriptor_at_ = loop_.now();
    group_.request_descriptor(number_);
  }
  void cancel(std::uint32_t number, std::uint32_t secret) override { group_.cancel(number, secret); }
  bool reserve_request_name(std::string_view name) override { return group_.names_.take(name); }
  void release_request_name(std::string_view name) override { group_.names_.release(name); }
  void connection_opened(const std::string& server) override { ++*counter(server); }
  void connection_closed(const std::string& server) override { --*counter(server); }
  bool has_too_many_connections(const std::string& server) const override {
    auto most = group_.connections_per_server();
    auto it = counters_.find(server);
    return most > 0 && it != counters_.end() && it->second->load(std::memory_order_relaxed) > most;
  }
  void request_closing_idle(const std::string& server) override {
    for (auto& other : group_.workers_)
      if (other.get() != this)
        other->post([server, &p = *other->proxy_] { p.pool().close_one_idle(server); });
  }
  void share_probe_result(const routing::ProbeResult& result) override {
    if (!group_.config_.options.share_probes) return;
    for (auto& other : group_.workers_)
      if (other.get() != this)
        other->post([result, &p = *other->proxy_] { p.dispatcher().on_sibling_probe(result); });
  }

 private:
  std::atomic<int>* counter(const std::string& server) {
    // Servers are replaced all day: those without a connection anywhere are let go now and then.
    constexpr std::size_t kMostKept = 512;
    if (counters_.size() > kMostKept)
      std::erase_if(counters_, [](auto& entry) { return entry.second->load() == 0; });
    auto& kept = counters_[server];
    if (!kept) kept = group_.connections_.counter(server);
    return kept.get();
  }

  WorkerPool& group_;
  std::size_t number_;
  net::Log log_;
  net::Loop loop_;
  net::TaskQueue tasks_;
  std::unique_ptr<RemoteDecider> remote_;
  std::unique_ptr<routing::DecisionFacade> facade_;
  std::unique_ptr<routing::LocalDecider> local_;
  routing::Decider* decider_ = nullptr;
  std::unordered_map<std::string, ServerConnections::Count> counters_;
  std::unique_ptr<proxy::Proxy> proxy_;
  std::atomic<std::size_t> assigned_{0};
  std::atomic<bool> running_{false};
  Micros requested_descriptor_at_{0};
  std::thread thread_;
};

// ---- dealing clients out
// ----------------------------------------------------------------------------------

class WorkerPool::Acceptor : public net::Handler {
 public:
  explicit Acceptor(WorkerPool& group) : group_(group) {
    auto& options = group.config_.proxy;
    listener_ = options.inherited_listener;
    if (is_inherited()) return;  // clients are accepted once a worker can serve
    auto address = net::parse_address(options.listen);
    if (!address) throw std::runtime_error("listen is no address: '" + options.listen + "'");
    int error = 0;
    own_listener_ = net::listen_on(*address, &error);
    if (!own_listener_)
      throw std::system_error(error, std::generic_category(),
                              fmt::format("cannot listen on {}", options.listen));
    listener_ = own_listener_.get();
    start();
  }
  ~Acceptor() override { stop(); }
  void start() {
    if (is_accepting_) return;
    if (!group_.control_.add(listener_, this))
      throw std::system_error(errno, std::generic_category(), "cannot watch the listener");
    is_accepting_ = true;
  }
  void stop() {
    group_.control_.cancel(&again_);
    if (std::exchange(is_accepting_, false)) group_.control_.remove(listener_, this);
  }
  int port() const { return net::local_port(listener_); }
  void on_ready(std::uint32_t) override {
    if (is_inherited()) net::ensure_non_blocking(listener_);
    for (int accepted = 0; accepted < kAcceptsPerIteration; ++accepted) {
      auto worker_slots = group_.worker_slots();
      auto all = group_.resource_usage_.others(worker_slots.size());
      std::size_t assigned = 0;
      for (auto& s : worker_slots) assigned += s.assigned;
      auto limit = group_.descriptors_allowed();
      auto most = static_cast<double>(limit - kOwnDescriptors) * kClientShare;
      auto own = kOwnDescriptors + group_.config_.proxy.reserved_descriptors +
                 kOfEachProxy * worker_slots.size() +
                 (group_.decisions_ ? group_.decisions_->descriptors() : 0);
      if (static_cast<double>(all.clients + assigned) >= most || all.descriptors + assigned + own >= limit) {
        if (auto giver = release_descriptor(worker_slots, std::nullopt))
          group_.workers_[*giver]->post([&p = group_.workers_[*giver]->proxy()] { p.release_descriptor(); });
        return later();
      }
      auto to = assign_worker(worker_slots, last_);
      if (!to) return later();
      int error = 0;
      auto fd = net::accept_from(listener_, &error);
      if (!fd) {
        if (error == EAGAIN || error == EWOULDBLOCK) return;
        if (error == ECONNABORTED || error == EINTR || error == EPROTO) continue;
        if (++accepts_without_descriptor_ == 1)
          group_.log_(net::Level::kError,
                      fmt::format("cannot accept clients for now: {}", net::message_of(error)));
        return later();
      }
      last_ = *to;
      group_.workers_[*to]->assign_worker(std::move(fd));
    }
    group_.control_.call_again(this);
  }

 private:
  // The edge has passed, so it must be looked again without one.
  void later() {
    group_.control_.cancel(&again_);
    again_ = group_.control_.at(group_.control_.now() + kAcceptRetry, [this] { on_ready(EPOLLIN); });
  }
  bool is_inherited() const { return group_.config_.proxy.inherited_listener >= 0; }

  WorkerPool& group_;
  net::Fd own_listener_;
  int listener_ = -1;  // its own, or the inherited one
  bool is_accepting_ = false;
  std::size_t last_ = 0;
  std::uint64_t accepts_without_descriptor_ = 0;
  net::Loop::TimerId again_ = net::Loop::kNoTimer;
};

// ---- the whole
// ----------------------------------------------------------------------------------------------

WorkerPool::WorkerPool(net::Loop& control, WorkerPoolConfig config,
                       std::function<net::Log(const std::string&)> log)
    : control_(control),
      config_(std::move(config)),
      make_log_(std::move(log)),
      log_(make_log_("")),
      resource_usage_(config_.options.count),
      descriptors_(config_.proxy.descriptors),
      connections_per_server_(config_.options.connections_per_server),
      tasks_(control),
      started_at_(control.now()) {
  auto& o = config_.options;
  if (o.decisions == Decisions::kShared) {
    auto decisions_log = make_log_("decisions");
    auto facade = std::make_unique<routing::DecisionFacade>(
        config_.settings, config_.seed, routing::UnixClock::measured(),
        [decisions_log](const std::string& text) { decisions_log(net::Level::kInfo, "decisions: " + text); });
    decisions_ = std::make_unique<DecisionThread>(std::move(facade), o.count, o.ring, config_.proxy.pool,
                                                  decisions_log,
                                                  [this](std::size_t worker) { workers_[worker]->wake(); });
  }
  if (o.accept == Accept::kBalanced) acceptor_ = std::make_unique<Acceptor>(*this);
  auto configured = config_.proxy.listen;
  for (std::size_t i = 0; i < o.count; ++i) {
    workers_.push_back(std::make_unique<Worker>(*this, i));
    // Where the system picks the port, the others listen on the one it gave to the first.
    if (o.accept == Accept::kReusePort)
      config_.proxy.listen =
          fmt::format("{}:{}", configured.substr(0, configured.rfind(':')), workers_[0]->proxy().port());
  }
  auto known = config_.proxy.known;
  known.reset = true;
  known = config_.proxy.overlay(std::move(known));
  if (decisions_) decisions_->list(known, true);  // the workers have it from their options
  note_usable_servers(known);
  discovery_.emplace(
      control_, config_.proxy.discovery, known.generation, config_.proxy.schedule,
      [this](discovery::EndpointListUpdate update) {
        has_discovery_answered_ = true;
        told(config_.proxy.overlay(std::move(update)), false);
      },
      log_);
}

WorkerPool::~WorkerPool() {
  if (decisions_) decisions_->stop();
}

void WorkerPool::stop_now() {
  for (auto& worker : workers_) worker->post([&p = worker->proxy()] { p.stop_now(); });
}

void WorkerPool::note_usable_servers(const discovery::EndpointListUpdate& update) {
  if (update.reset) usable_servers_.clear();
  for (auto& endpoint : update.endpoints) {
    if (endpoint.lifecycle == discovery::Lifecycle::kUp)
      usable_servers_.insert(endpoint.id);
    else
      usable_servers_.erase(endpoint.id);
  }
}

// Workers first: a decision that knows of this list must not reach one that does not, and where it does all
// the same, it waits there.
void WorkerPool::told(discovery::EndpointListUpdate update, bool cached) {
  note_usable_servers(update);
  for (auto& worker : workers_)
    worker->post([update, cached, &p = worker->proxy()] { p.update_endpoint_list(update, cached); });
  if (decisions_) decisions_->list(std::move(update), cached);
}

void WorkerPool::run() {
  if (decisions_) {
    auto& cpus = config_.options.cpus;
    decisions_->start(cpus.empty() ? -1 : cpus[config_.options.count % cpus.size()]);
  }
  running_ = workers_.size();
  for (auto& worker : workers_) worker->start();
  discovery_->start();
  control_.run([this] { tasks_.run_pending(); });
  for (auto& worker : workers_) worker->join();  // one may still be telling of its end
  if (decisions_) decisions_->stop();
  for (auto& worker : workers_) counters_.add(worker->proxy().dispatcher().counters());
  if (decisions_) counters_.probes += decisions_->probes();
  log_(net::Level::kInfo, counters_.summary());
}

void WorkerPool::on_worker_ready() {
  is_worker_ready_ = true;
  start_serving();
}

void WorkerPool::set_waiting_for_others(bool is_waiting) {
  is_waiting_for_others_ = is_waiting;
  start_serving();
}

void WorkerPool::start_serving() {
  if (!is_worker_ready_ || is_waiting_for_others_ || std::exchange(is_serving_, true)) return;
  log_(net::Level::kInfo, "ready to serve");
  if (acceptor_ && !stopping_) acceptor_->start();
  on_ready();
}

std::string WorkerPool::unhealthy_reason() const {
  if (stopping_) return "it is shutting down";
  if (!logged_ready_ || usable_servers_.empty()) return "no data server is known that is up";
  if (!has_discovery_answered_ && control_.now() - started_at_ < kFirstListTimeout)
    return "discovery has not answered yet";
  return "";
}

void WorkerPool::ended() {
  if (--running_ == 0) control_.stop();
}

void WorkerPool::shut_down(proxy::ShutdownMode mode) {
  if (!std::exchange(stopping_, true)) log_shutdown();
  if (mode == proxy::ShutdownMode::kSuccessorServes && acceptor_) acceptor_->stop();
  for (auto& worker : workers_) worker->post([mode, &p = worker->proxy()] { p.shut_down(mode); });
}

void WorkerPool::log_shutdown() {
  std::size_t clients = 0;
  for (auto& slot : worker_slots()) clients += slot.clients;
  log_(net::Level::kInfo, fmt::format("told to stop: {} clients, {} requests open", clients, names_.size()));
}

void WorkerPool::reconfigure(const proxy::ProxyOptions& options, int connections_per_server) {
  descriptors_ = options.descriptors;
  connections_per_server_ = connections_per_server;
  for (auto& worker : workers_) worker->post([options, &p = worker->proxy()] { p.reconfigure(options); });
  if (decisions_) decisions_->set_limits(options.pool);
  discovery_->change_address(options.discovery);
}

int WorkerPool::port() const { return acceptor_ ? acceptor_->port() : workers_[0]->proxy().port(); }

std::vector<WorkerSlot> WorkerPool::worker_slots() const {
  std::vector<WorkerSlot> all;
  for (auto& worker : workers_) all.push_back(worker->slot());
  return all;
}

void WorkerPool::request_descriptor(std::optional<std::size_t> asker) {
  if (auto giver = release_descriptor(worker_slots(), asker))
    workers_[*giver]->post([&p = workers_[*giver]->proxy()] { p.release_descriptor(); });
}

void WorkerPool::cancel(std::uint32_t number, std::uint32_t secret) {
  auto& worker = *workers_[number % workers_.size()];
  worker.post([this, number, secret, &p = worker.proxy()] {
    if (!p.cancel(number, secret)) on_cancel_not_found(number, secret);
  });
}

// From any thread.
void WorkerPool::on_cancel_not_found(std::uint32_t number, std::uint32_t secret) {
  tasks_.post([this, number, secret] { on_unknown_cancel(number, secret); });
}

void WorkerPool::share_limits_with(const proxy::OtherProcessesUsage& others) {
  other_processes_ = others.processes;
  other_descriptors_ = others.descriptors;
  for (auto& worker : workers_) worker->post([others, &p = worker->proxy()] { p.share_limits_with(others); });
  if (decisions_) decisions_->share_sessions(others.takes_requests);
}

std::size_t WorkerPool::descriptors_held() const {
  return resource_usage_.others(workers_.size()).descriptors + kOwnDescriptors +
         config_.proxy.reserved_descriptors + kOfEachProxy * workers_.size() +
         (decisions_ ? decisions_->descriptors() : 0);
}

std::size_t WorkerPool::descriptors_allowed() const {
  return proxy::descriptors_allowed(descriptors_, {other_processes_, other_descriptors_},
                                    kOwnDescriptors + config_.proxy.reserved_descriptors);
}

int WorkerPool::connections_per_server() const {
  auto configured = connections_per_server_.load(std::memory_order_relaxed);
  auto processes = 1 + static_cast<int>(other_processes_.load(std::memory_order_relaxed));
  return configured > 0 ? std::max(1, configured / processes) : configured;
}

void WorkerPool::post(std::size_t worker, std::function<void(proxy::Proxy&)> call) {
  workers_[worker]->post([call = std::move(call), &p = workers_[worker]->proxy()] { call(p); });
}

void WorkerPool::post_decisions(std::function<void()> call) {
  if (decisions_) decisions_->post(std::move(call));
}

std::uint64_t WorkerPool::returned() const {
  std::uint64_t sum = 0;
  for (auto& worker : workers_) sum += worker->returned();
  return sum;
}

}  // namespace database_proxy::workers
