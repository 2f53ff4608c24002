#include "workers/worker_pool.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "net/system_errors.h"
#include "workers/remote_decider.h"
#include "workers/thread_name.h"
#include "workers/worker_settings.h"

namespace database_proxy::workers {
namespace {

using namespace std::chrono_literals;

// New clients accepted in one iteration, limited as in proxy.cpp; the others wait in the kernel's backlog.
constexpr int kAcceptsPerIteration = 64;
// The delay before accepting again when no client may be accepted. A worker that was requested to release a
// descriptor has closed a connection by then.
constexpr Micros kAcceptRetry = 5ms;
// The minimum interval between two requests of a worker for a descriptor, so that a worker that needs one
// does not flood the others.
constexpr Micros kDescriptorRequestInterval = 5ms;
// As in proxy.cpp: the share of the descriptors for clients, the descriptors that the process itself needs,
// and those that each proxy needs.
constexpr double kClientShare = 2.0 / 3;
constexpr std::size_t kOwnDescriptors = 16, kDescriptorsPerProxy = 2;
// The time to wait for discovery's first endpoint list, as in proxy.cpp.
constexpr Micros kFirstListTimeout = 300ms;

}  // namespace

// ---- Worker: one proxy with its thread ----

class WorkerPool::Worker : public proxy::SiblingWorkers {
 public:
  Worker(WorkerPool& pool, std::size_t index)
      : pool_(pool),
        index_(index),
        log_(pool.make_log_(fmt::format("w{}", index))),
        tasks_(loop_, [this] { return remote_decider_ && remote_decider_->has_decisions(); }) {
    auto& c = pool.config_;
    if (c.options.decisions == DecisionMode::kShared) {
      remote_decider_ = std::make_unique<RemoteDecider>(
          pool.decision_thread_->channel(index), pool.decision_thread_->facade().classes(),
          c.options.max_queued_requests, [&pool] { pool.decision_thread_->wake(); });
      decider_ = remote_decider_.get();
    } else {
      facade_ = std::make_unique<routing::DecisionFacade>(
          settings_of_worker(c.settings, index, c.options.count), seed_of_worker(c.seed, index),
          routing::UnixClock::measured(),
          [this](const std::string& text) { log_(net::Level::kInfo, "decisions: " + text); });
      local_decider_ = std::make_unique<routing::LocalDecider>(*facade_);
      decider_ = local_decider_.get();
    }
    auto options = c.proxy;
    options.number = static_cast<std::uint32_t>(index);
    options.count = static_cast<std::uint32_t>(c.options.count);
    options.listens = c.options.accept == AcceptMode::kReusePort;
    proxy_ = std::make_unique<proxy::Proxy>(loop_, *decider_, options, log_, *this);
    proxy_->before_iteration_end = [this] { tasks_.run_pending(); };
    proxy_->on_unknown_cancel = [this](auto number, auto secret) {
      pool_.on_cancel_not_found(number, secret);
    };
    proxy_->on_ready = [this] {
      if (!pool_.has_reported_ready_.exchange(true)) pool_.tasks_.post([this] { pool_.on_worker_ready(); });
    };
  }
  ~Worker() override { join(); }
  void join() {
    if (thread_.joinable()) thread_.join();
  }

  void start() {
    auto& cpus = pool_.config_.options.cpus;
    int cpu = cpus.empty() ? -1 : cpus[index_ % cpus.size()];
    running_ = true;
    thread_ = std::thread([this, cpu] {
      name_and_pin(fmt::format("worker-{}", index_), cpu);
      proxy_->run();
      running_ = false;
      pool_.tasks_.post([this] { pool_.on_worker_stopped(); });
    });
  }
  void post(std::function<void()> call) { tasks_.post(std::move(call)); }
  void wake() { tasks_.notify(); }
  void assign_client(net::Fd fd) {
    ++assigned_;
    // std::function requires a callable that can be copied, and the descriptor must be closed even if the
    // call never runs.
    auto shared_fd = std::make_shared<net::Fd>(std::move(fd));
    post([this, shared_fd] {
      --assigned_;
      proxy_->adopt(std::move(*shared_fd));
    });
  }
  WorkerSlot slot() const {
    return {pool_.resource_usage_.of(index_).clients, assigned_.load(), running_.load()};
  }
  proxy::Proxy& proxy() { return *proxy_; }
  std::uint64_t stale_decisions() const { return remote_decider_ ? remote_decider_->stale_decisions() : 0; }

  // SiblingWorkers: called in the worker's own thread.
  void publish(const proxy::ResourceUsage& usage) override { pool_.resource_usage_.publish(index_, usage); }
  proxy::ResourceUsage sibling_usage() const override {
    auto sum = pool_.resource_usage_.sum_except(index_);
    if (pool_.decision_thread_) sum.descriptors += pool_.decision_thread_->descriptors();
    return sum;
  }
  bool may_be_assigned_clients() const override { return pool_.is_accepting() || assigned_.load() > 0; }
  void request_descriptor() override {
    if (loop_.now() - requested_descriptor_at_ < kDescriptorRequestInterval) return;
    requested_descriptor_at_ = loop_.now();
    pool_.request_descriptor(index_);
  }
  void cancel(std::uint32_t number, std::uint32_t secret) override { pool_.cancel(number, secret); }
  bool reserve_request_name(std::string_view name) override { return pool_.request_names_.reserve(name); }
  void release_request_name(std::string_view name) override { pool_.request_names_.release(name); }
  void connection_opened(const std::string& server) override { ++*counter(server); }
  void connection_closed(const std::string& server) override { --*counter(server); }
  bool has_too_many_connections(const std::string& server) const override {
    auto limit = pool_.connections_per_server();
    auto it = counters_.find(server);
    return limit > 0 && it != counters_.end() && it->second->load(std::memory_order_relaxed) > limit;
  }
  void request_closing_idle(const std::string& server) override {
    for (auto& other : pool_.workers_)
      if (other.get() != this)
        other->post([server, &p = *other->proxy_] { p.pool().close_one_idle(server); });
  }
  void share_probe_result(const routing::ProbeResult& result) override {
    if (!pool_.config_.options.share_probes) return;
    for (auto& other : pool_.workers_)
      if (other.get() != this)
        other->post([result, &p = *other->proxy_] { p.dispatcher().on_sibling_probe(result); });
  }

 private:
  std::atomic<int>* counter(const std::string& server) {
    // Servers are replaced all day: counters of servers without a connection in any worker are dropped when
    // there are too many counters.
    constexpr std::size_t kMaxCounters = 512;
    if (counters_.size() > kMaxCounters)
      std::erase_if(counters_, [](auto& entry) { return entry.second->load() == 0; });
    auto& cached = counters_[server];
    if (!cached) cached = pool_.server_connections_.counter(server);
    return cached.get();
  }

  WorkerPool& pool_;
  std::size_t index_;
  net::Log log_;
  net::Loop loop_;
  net::TaskQueue tasks_;
  std::unique_ptr<RemoteDecider> remote_decider_;
  std::unique_ptr<routing::DecisionFacade> facade_;
  std::unique_ptr<routing::LocalDecider> local_decider_;
  routing::Decider* decider_ = nullptr;
  std::unordered_map<std::string, ServerConnections::Counter> counters_;
  std::unique_ptr<proxy::Proxy> proxy_;
  std::atomic<std::size_t> assigned_{0};
  std::atomic<bool> running_{false};
  Micros requested_descriptor_at_{0};
  std::thread thread_;
};

// ---- Acceptor: accepts clients and assigns them to workers ----

class WorkerPool::Acceptor : public net::Handler {
 public:
  explicit Acceptor(WorkerPool& pool) : pool_(pool) {
    auto& options = pool.config_.proxy;
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
    if (!pool_.control_.add(listener_, this))
      throw std::system_error(errno, std::generic_category(), "cannot watch the listener");
    is_accepting_ = true;
  }
  void stop() {
    pool_.control_.cancel(&retry_timer_);
    if (is_accepting_.exchange(false)) pool_.control_.remove(listener_, this);
  }
  int port() const { return net::local_port(listener_); }
  // May be called from any thread. A client that is accepted is counted as assigned before this is false.
  bool is_accepting() const { return is_accepting_.load(); }
  // Shutdown: accepts the clients that wait, until no worker has a client. The workers may end after that.
  void finish(const proxy::ShutdownSchedule& schedule) {
    if (!is_accepting_) return;
    auto now = pool_.control_.now();
    if (schedule.rejects_requests(now)) {
      on_ready(EPOLLIN);
      bool is_backlog_done = is_backlog_empty_ || is_inherited();
      if (is_backlog_done && !has_clients()) return stop();
    }
    pool_.control_.at(now + kAcceptRetry, [this, schedule] { finish(schedule); });
  }
  void on_ready(std::uint32_t) override {
    is_backlog_empty_ = false;
    if (is_inherited()) net::ensure_non_blocking(listener_);
    for (int accepted = 0; accepted < kAcceptsPerIteration; ++accepted) {
      auto worker_slots = pool_.worker_slots();
      if (!has_descriptor_for_client(worker_slots)) return release_and_retry(worker_slots);
      auto worker = choose_worker_for_client(worker_slots, last_assigned_);
      if (!worker) return retry_later();
      int error = 0;
      auto fd = net::accept_from(listener_, &error);
      if (!fd) {
        if (error == ECONNABORTED || error == EINTR || error == EPROTO) continue;
        return on_none_accepted(error);
      }
      last_assigned_ = *worker;
      pool_.workers_[*worker]->assign_client(std::move(fd));
    }
    pool_.control_.call_again(this);
  }

 private:
  bool has_descriptor_for_client(const std::vector<WorkerSlot>& worker_slots) const {
    auto total = pool_.resource_usage_.sum_except(worker_slots.size());
    std::size_t assigned = 0;
    for (auto& slot : worker_slots) assigned += slot.assigned;
    auto limit = pool_.descriptors_allowed();
    auto max_clients = static_cast<double>(limit - kOwnDescriptors) * kClientShare;
    auto own_descriptors = kOwnDescriptors + pool_.config_.proxy.reserved_descriptors +
                           kDescriptorsPerProxy * worker_slots.size() +
                           (pool_.decision_thread_ ? pool_.decision_thread_->descriptors() : 0);
    return static_cast<double>(total.clients + assigned) < max_clients &&
           total.descriptors + assigned + own_descriptors < limit;
  }
  void release_and_retry(const std::vector<WorkerSlot>& worker_slots) {
    if (auto releasing_worker = choose_worker_to_release_descriptor(worker_slots, std::nullopt))
      pool_.workers_[*releasing_worker]->post(
          [&p = pool_.workers_[*releasing_worker]->proxy()] { p.release_descriptor(); });
    retry_later();
  }
  void on_none_accepted(int error) {
    is_backlog_empty_ = error == EAGAIN || error == EWOULDBLOCK;
    if (is_backlog_empty_) return;
    if (++accepts_without_descriptor_ == 1)
      pool_.log_(net::Level::kError,
                 fmt::format("cannot accept clients for now: {}", net::message_of(error)));
    retry_later();
  }
  // The listener's edge-triggered event has been consumed, so a timer makes the next try.
  void retry_later() {
    pool_.control_.cancel(&retry_timer_);
    retry_timer_ = pool_.control_.at(pool_.control_.now() + kAcceptRetry, [this] { on_ready(EPOLLIN); });
  }
  bool is_inherited() const { return pool_.config_.proxy.inherited_listener >= 0; }
  bool has_clients() const {
    auto slots = pool_.worker_slots();
    return std::any_of(slots.begin(), slots.end(),
                       [](const WorkerSlot& slot) { return slot.clients + slot.assigned > 0; });
  }

  WorkerPool& pool_;
  net::Fd own_listener_;
  int listener_ = -1;  // own_listener_ or the inherited one
  std::atomic<bool> is_accepting_{false};
  bool is_backlog_empty_ = false;  // as the last accept found it
  std::size_t last_assigned_ = 0;
  std::uint64_t accepts_without_descriptor_ = 0;
  net::Loop::TimerId retry_timer_ = net::Loop::kNoTimer;
};

// ---- WorkerPool ----

WorkerPool::WorkerPool(net::Loop& control, WorkerPoolConfig config,
                       std::function<net::Log(const std::string&)> log)
    : control_(control),
      config_(std::move(config)),
      make_log_(std::move(log)),
      log_(make_log_("")),
      resource_usage_(config_.options.count),
      configured_descriptors_(config_.proxy.descriptors),
      connections_per_server_(config_.options.connections_per_server),
      tasks_(control),
      started_at_(control.now()) {
  if (!config_.proxy.effects) config_.proxy.effects = std::make_shared<proxy::EffectMemory>();
  auto& o = config_.options;
  if (o.decisions == DecisionMode::kShared) {
    auto decisions_log = make_log_("decisions");
    auto facade = std::make_unique<routing::DecisionFacade>(
        config_.settings, config_.seed, routing::UnixClock::measured(),
        [decisions_log](const std::string& text) { decisions_log(net::Level::kInfo, "decisions: " + text); });
    decision_thread_ = std::make_unique<DecisionThread>(
        std::move(facade), o.count, o.ring_capacity, config_.proxy.pool, decisions_log,
        [this](std::size_t worker) { workers_[worker]->wake(); });
  }
  if (o.accept == AcceptMode::kBalanced) acceptor_ = std::make_unique<Acceptor>(*this);
  auto configured = config_.proxy.listen;
  for (std::size_t i = 0; i < o.count; ++i) {
    workers_.push_back(std::make_unique<Worker>(*this, i));
    // If the system picks the port, the other workers listen on the one that the first worker got.
    if (o.accept == AcceptMode::kReusePort)
      config_.proxy.listen =
          fmt::format("{}:{}", configured.substr(0, configured.rfind(':')), workers_[0]->proxy().port());
  }
  auto known = config_.proxy.known;
  known.reset = true;
  known = config_.proxy.overlay(std::move(known));
  if (decision_thread_)
    decision_thread_->update_endpoint_list(known, true);  // the workers have this list from their options
  update_usable_servers(known);
  discovery_.emplace(
      control_, config_.proxy.discovery, known.generation, config_.proxy.schedule,
      [this](discovery::EndpointListUpdate update) {
        has_discovery_answered_ = true;
        update_endpoint_list(config_.proxy.overlay(std::move(update)), false);
      },
      log_);
}

WorkerPool::~WorkerPool() {
  if (decision_thread_) decision_thread_->stop();
}

void WorkerPool::stop_now() {
  for (auto& worker : workers_) worker->post([&p = worker->proxy()] { p.stop_now(); });
}

void WorkerPool::update_usable_servers(const discovery::EndpointListUpdate& update) {
  if (update.reset) usable_servers_.clear();
  for (auto& endpoint : update.endpoints) {
    if (endpoint.lifecycle == discovery::Lifecycle::kUp)
      usable_servers_.insert(endpoint.id);
    else
      usable_servers_.erase(endpoint.id);
  }
}

// Updates the workers first: a decision based on this list must not reach a worker that does not have it. If
// one does all the same, it waits in the worker's queue.
void WorkerPool::update_endpoint_list(discovery::EndpointListUpdate update, bool cached) {
  update_usable_servers(update);
  for (auto& worker : workers_)
    worker->post([update, cached, &p = worker->proxy()] { p.update_endpoint_list(update, cached); });
  if (decision_thread_) decision_thread_->update_endpoint_list(std::move(update), cached);
}

void WorkerPool::run() {
  if (decision_thread_) {
    auto& cpus = config_.options.cpus;
    decision_thread_->start(cpus.empty() ? -1 : cpus[config_.options.count % cpus.size()]);
  }
  running_ = workers_.size();
  for (auto& worker : workers_) worker->start();
  discovery_->start();
  control_.run([this] { tasks_.run_pending(); });
  for (auto& worker : workers_) worker->join();  // it may still be posting on_worker_stopped()
  if (decision_thread_) decision_thread_->stop();
  for (auto& worker : workers_) counters_.add(worker->proxy().dispatcher().counters());
  if (decision_thread_) counters_.probes += decision_thread_->probes();
  log_(net::Level::kInfo, counters_.summary());
}

void WorkerPool::on_worker_ready() {
  is_worker_ready_ = true;
  start_serving();
}

void WorkerPool::set_waiting_for_other_processes(bool is_waiting) {
  is_waiting_for_other_processes_ = is_waiting;
  start_serving();
}

void WorkerPool::start_serving() {
  if (!is_worker_ready_ || is_waiting_for_other_processes_ || std::exchange(is_serving_, true)) return;
  log_(net::Level::kInfo, "ready to serve");
  if (acceptor_ && !stopping_) acceptor_->start();
  on_ready();
}

std::string WorkerPool::unhealthy_reason() const {
  if (stopping_) return "it is shutting down";
  if (!has_reported_ready_ || usable_servers_.empty()) return "no data server is known that is up";
  if (!has_discovery_answered_ && control_.now() - started_at_ < kFirstListTimeout)
    return "discovery has not answered yet";
  return "";
}

void WorkerPool::on_worker_stopped() {
  if (--running_ == 0) control_.stop();
}

void WorkerPool::shut_down(proxy::ShutdownMode mode) {
  if (!std::exchange(stopping_, true)) begin_shutdown();
  if (mode == proxy::ShutdownMode::kSuccessorServes && acceptor_) acceptor_->stop();
  for (auto& worker : workers_) worker->post([mode, &p = worker->proxy()] { p.shut_down(mode); });
}

void WorkerPool::begin_shutdown() {
  log_shutdown();
  if (!acceptor_) return;
  proxy::ShutdownSchedule schedule(net::monotonic_now(), config_.proxy.shutdown_limit);
  tasks_.post([this, schedule] { acceptor_->finish(schedule); });
}

bool WorkerPool::is_accepting() const { return acceptor_ && acceptor_->is_accepting(); }

void WorkerPool::log_shutdown() {
  std::size_t clients = 0;
  for (auto& slot : worker_slots()) clients += slot.clients;
  log_(net::Level::kInfo,
       fmt::format("told to stop: {} clients, {} requests open", clients, request_names_.size()));
}

void WorkerPool::reconfigure(const proxy::ProxyOptions& options, int connections_per_server) {
  configured_descriptors_ = options.descriptors;
  connections_per_server_ = connections_per_server;
  for (auto& worker : workers_) worker->post([options, &p = worker->proxy()] { p.reconfigure(options); });
  if (decision_thread_) decision_thread_->set_limits(options.pool);
  discovery_->change_address(options.discovery);
}

int WorkerPool::port() const { return acceptor_ ? acceptor_->port() : workers_[0]->proxy().port(); }

std::vector<WorkerSlot> WorkerPool::worker_slots() const {
  std::vector<WorkerSlot> slots;
  for (auto& worker : workers_) slots.push_back(worker->slot());
  return slots;
}

void WorkerPool::request_descriptor(std::optional<std::size_t> requester) {
  if (auto releasing_worker = choose_worker_to_release_descriptor(worker_slots(), requester))
    workers_[*releasing_worker]->post(
        [&p = workers_[*releasing_worker]->proxy()] { p.release_descriptor(); });
}

void WorkerPool::cancel(std::uint32_t number, std::uint32_t secret) {
  auto& worker = *workers_[number % workers_.size()];
  worker.post([this, number, secret, &p = worker.proxy()] {
    if (!p.cancel(number, secret)) on_cancel_not_found(number, secret);
  });
}

// Called from any thread.
void WorkerPool::on_cancel_not_found(std::uint32_t number, std::uint32_t secret) {
  tasks_.post([this, number, secret] { on_unknown_cancel(number, secret); });
}

void WorkerPool::set_other_processes_usage(const proxy::OtherProcessesUsage& others) {
  other_processes_ = others.processes;
  other_descriptors_ = others.descriptors;
  for (auto& worker : workers_)
    worker->post([others, &p = worker->proxy()] { p.set_other_processes_usage(others); });
  if (decision_thread_) decision_thread_->share_sessions(others.takes_requests);
}

std::size_t WorkerPool::descriptors_held() const {
  return resource_usage_.sum_except(workers_.size()).descriptors + kOwnDescriptors +
         config_.proxy.reserved_descriptors + kDescriptorsPerProxy * workers_.size() +
         (decision_thread_ ? decision_thread_->descriptors() : 0);
}

std::size_t WorkerPool::descriptors_allowed() const {
  return proxy::descriptors_allowed(configured_descriptors_, {other_processes_, other_descriptors_},
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

void WorkerPool::post_to_decision_thread(std::function<void()> call) {
  if (decision_thread_) decision_thread_->post(std::move(call));
}

std::uint64_t WorkerPool::stale_decisions() const {
  std::uint64_t sum = 0;
  for (auto& worker : workers_) sum += worker->stale_decisions();
  return sum;
}

}  // namespace database_proxy::workers
