#include "workers/decision_thread.h"

#include <algorithm>

#include "workers/thread_name.h"

namespace database_proxy::workers {
namespace {

using Kind = routing::Decision::Kind;

// The number of events received from one worker in one iteration: with more, a worker that sends a flood of
// events would delay the decisions for all others.
constexpr int kEventsPerIteration = 256;
// The interval for flushing the backlog again while a worker's ring is full.
constexpr Micros kRetryInterval{1000};

}  // namespace

DecisionThread::DecisionThread(std::unique_ptr<routing::DecisionFacade> facade, std::size_t workers,
                               std::size_t ring_capacity, proxy::PoolLimits limits, net::Log log,
                               std::function<void(std::size_t)> wake)
    : tasks_(loop_,
             [this] {
               return std::any_of(channels_.begin(), channels_.end(),
                                  [](auto& channel) { return channel->events.has_items(); });
             }),
      facade_(std::move(facade)),
      pool_(loop_, limits, *this, std::move(log)),
      wake_(std::move(wake)),
      workers_to_wake_(workers, false) {
  for (std::size_t i = 0; i < workers; ++i)
    channels_.push_back(std::make_unique<DecisionChannel>(ring_capacity));
}

DecisionThread::~DecisionThread() { stop(); }

void DecisionThread::start(int cpu) {
  thread_ = std::thread([this, cpu] {
    name_and_pin("decisions", cpu);
    loop_.run([this] { on_iteration_end(); });
  });
}

void DecisionThread::stop() {
  if (!thread_.joinable()) return;
  post([this] { loop_.stop(); });
  thread_.join();
}

void DecisionThread::update_endpoint_list(discovery::EndpointListUpdate update, bool cached) {
  post([this, update = std::move(update), cached] {
    ++endpoint_list_version_;
    pool_.update(update);
    facade_->update(loop_.now(), update, cached);
  });
}

void DecisionThread::share_sessions(bool is_shared) {
  post([this, is_shared] { facade_->share_sessions(loop_.now(), is_shared); });
}

void DecisionThread::set_limits(proxy::PoolLimits limits) {
  post([this, limits] { pool_.set_limits(limits); });
}

void DecisionThread::receive_events(DecisionChannel& channel) {
  auto now = loop_.now();
  for (int i = 0; i < kEventsPerIteration; ++i) {
    auto* event = channel.events.front();
    if (!event) return;
    switch (event->kind) {
      case WorkerEvent::Kind::kResult:
        facade_->report(now, event->result);
        break;
      case WorkerEvent::Kind::kClientDisconnected:
        // A request that arrived in this same iteration has not been submitted yet: it is dropped, and the
        // facade never learns of it.
        if (std::erase_if(new_requests_, [&](auto& r) { return r.id == event->disconnected_request; }) == 0)
          facade_->on_client_disconnected(now, event->disconnected_request);
        break;
      case WorkerEvent::Kind::kRequest:
        new_requests_.push_back(event->request);
        break;
    }
    channel.events.pop();
  }
}

void DecisionThread::on_iteration_end() {
  auto now = loop_.now();
  tasks_.run_pending();
  for (auto& probe : std::exchange(probe_results_, {})) facade_->report(now, probe);
  for (std::size_t i = 0; i < channels_.size(); ++i)
    receive_events(*channels_[(first_channel_ + i) % channels_.size()]);
  ++first_channel_;
  for (auto& request : new_requests_) facade_->submit(now, request);
  new_requests_.clear();
  auto tick_result = facade_->tick(now);
  send_decisions(std::move(tick_result.decisions));
  bool ready = facade_->ready(), has_backlog = false;
  for (std::size_t w = 0; w < channels_.size(); ++w) {
    has_backlog |= channels_[w]->decisions.flush();
    if (channels_[w]->ready.exchange(ready, std::memory_order_acq_rel) != ready) workers_to_wake_[w] = true;
    if (workers_to_wake_[w]) wake_(w);
    workers_to_wake_[w] = false;
  }
  pool_.free_closed();
  descriptors_.store(loop_.watched(), std::memory_order_relaxed);
  auto next_due = tick_result.next_due;
  if (has_backlog) next_due = std::min(next_due.value_or(now + kRetryInterval), now + kRetryInterval);
  if (!probe_results_.empty()) next_due = now;  // a probe ended at once
  loop_.cancel(&due_timer_);
  if (next_due) due_timer_ = loop_.at(*next_due, [] {});
}

void DecisionThread::send_decisions(std::vector<routing::Decision> decisions) {
  for (auto& decision : decisions) {
    if (decision.kind == Kind::kProbe) {
      probes_made_.fetch_add(1, std::memory_order_relaxed);
      pool_.probe(decision.server);
      continue;
    }
    decision.decided_at = loop_.now();
    decision.endpoint_list_version = endpoint_list_version_;
    auto worker = static_cast<std::size_t>((decision.request - 1) % channels_.size());
    channels_[worker]->decisions.send(std::move(decision));
    workers_to_wake_[worker] = true;
  }
}

}  // namespace database_proxy::workers
