#include "workers/decision_thread.h"

#include <algorithm>

#include "workers/thread_name.h"

namespace database_proxy::workers {
namespace {

using Kind = routing::Decision::Kind;

// One turn's share of a worker: with more, a worker that floods would delay the decisions for all others.
constexpr int kEventsPerIteration = 256;
// While a worker's ring is full: how soon the rest is tried again.
constexpr Micros kRetryInterval{1000};

}  // namespace

DecisionThread::DecisionThread(std::unique_ptr<routing::DecisionFacade> facade, std::size_t workers,
                               std::size_t ring, proxy::PoolLimits limits, net::Log log,
                               std::function<void(std::size_t)> wake)
    : tasks_(loop_,
             [this] {
               return std::any_of(channels_.begin(), channels_.end(),
                                  [](auto& l) { return l->told.waiting(); });
             }),
      facade_(std::move(facade)),
      pool_(loop_, limits, *this, std::move(log)),
      wake_(std::move(wake)),
      told_(workers, false) {
  for (std::size_t i = 0; i < workers; ++i) channels_.push_back(std::make_unique<DecisionChannel>(ring));
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

void DecisionThread::list(discovery::EndpointListUpdate update, bool cached) {
  post([this, update = std::move(update), cached] {
    ++list_;
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

void DecisionThread::take(DecisionChannel& line) {
  auto now = loop_.now();
  for (int i = 0; i < kEventsPerIteration; ++i) {
    auto* told = line.told.front();
    if (!told) return;
    switch (told->kind) {
      case Told::Kind::kResult:
        facade_->report(now, told->result);
        break;
      case Told::Kind::kGone:
        // It may have come in this same turn: then the decisions never hear of it.
        if (std::erase_if(asked_, [&](auto& r) { return r.id == told->on_client_disconnected; }) == 0)
          facade_->on_client_disconnected(now, told->on_client_disconnected);
        break;
      case Told::Kind::kRequest:
        asked_.push_back(told->request);
        break;
    }
    line.told.pop();
  }
}

void DecisionThread::on_iteration_end() {
  auto now = loop_.now();
  tasks_.run_pending();
  for (auto& probe : std::exchange(probed_, {})) facade_->report(now, probe);
  for (std::size_t i = 0; i < channels_.size(); ++i) take(*channels_[(first_ + i) % channels_.size()]);
  ++first_;
  for (auto& request : asked_) facade_->submit(now, request);
  asked_.clear();
  auto ticked = facade_->tick(now);
  route(std::move(ticked.decisions));
  bool ready = facade_->ready(), left = false;
  for (std::size_t w = 0; w < channels_.size(); ++w) {
    left |= channels_[w]->made.flush();
    if (channels_[w]->ready.exchange(ready, std::memory_order_acq_rel) != ready) told_[w] = true;
    if (told_[w]) wake_(w);
    told_[w] = false;
  }
  pool_.free_closed();
  descriptors_.store(loop_.watched(), std::memory_order_relaxed);
  auto next_due = ticked.next_due;
  if (left) next_due = std::min(next_due.value_or(now + kRetryInterval), now + kRetryInterval);
  if (!probed_.empty()) next_due = now;  // a probe that ended at once
  loop_.cancel(&due_);
  if (next_due) due_ = loop_.at(*next_due, [] {});
}

void DecisionThread::route(std::vector<routing::Decision> decisions) {
  for (auto& d : decisions) {
    if (d.kind == Kind::kProbe) {
      probes_made_.fetch_add(1, std::memory_order_relaxed);
      pool_.probe(d.server);
      continue;
    }
    d.decided_at = loop_.now();
    d.endpoint_list_version = list_;
    auto worker = static_cast<std::size_t>((d.request - 1) % channels_.size());
    channels_[worker]->made.send(std::move(d));
    told_[worker] = true;
  }
}

}  // namespace database_proxy::workers
