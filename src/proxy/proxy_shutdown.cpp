// The part of Proxy that shuts it down. ShutdownSchedule has the times.
#include <fmt/format.h>

#include <utility>
#include <vector>

#include "proxy/proxy.h"

namespace database_proxy::proxy {
namespace {

using namespace std::chrono_literals;

// The time after which a client that does not read its last answers no longer delays the shutdown. Open
// requests are never cut off: each ends by its own deadline.
constexpr Micros kMaxShutdownTime = 15s;

}  // namespace

void Proxy::shut_down(ShutdownMode mode) {
  if (!shutdown_) begin_shutdown();
  bool has_new_successor = mode == ShutdownMode::kSuccessorServes && shutdown_mode_ == ShutdownMode::kLast;
  if (has_new_successor) close_clients_for_successor();
}

void Proxy::begin_shutdown() {
  auto now = loop_.now();
  shutdown_.emplace(now, options_.shutdown_limit);
  if (!siblings_)
    log_(net::Level::kInfo, fmt::format("told to stop: {} clients, {} requests open", sessions_.size(),
                                        dispatcher_.open_requests()));
  for (auto when : shutdown_->phase_starts()) loop_.at(when, [] {});
  loop_.at(now + kMaxShutdownTime, [] {});
}

// Closes each connection together with its next answer, so that the client sees both at once and has no
// request in flight. Connections that stay unused for a while are closed later, as without a successor.
void Proxy::close_clients_for_successor() {
  shutdown_mode_ = ShutdownMode::kSuccessorServes;
  stop_accepting();
  dispatcher_.set_latest_deadline(shutdown_->last_answer_at());
  for (auto& [session, owned] : sessions_) session->close_when_idle();
}

void Proxy::continue_shutdown() {
  if (shutdown_->ends_requests(loop_.now())) log_shutdown_backlog();
  shutdown_mode_ == ShutdownMode::kLast ? close_idle_clients() : enforce_shutdown_limit();
}

// Logs once what the remaining clients are still owed when the time for it ends.
void Proxy::log_shutdown_backlog() {
  if (std::exchange(has_logged_shutdown_backlog_, true) || sessions_.empty()) return;
  SessionBacklog total;
  for (auto& [session, owned] : sessions_) total.add(session->backlog());
  log_(net::Level::kInfo,
       fmt::format("shutdown, {} ms before the limit: {} clients, {} requests open, {} answers ready behind "
                   "them, {} bytes of commands waiting, {} bytes of answers unsent",
                   shutdown_->time_to_kill(loop_.now()) / 1ms, sessions_.size(), total.open_requests,
                   total.ready_answers, total.waiting_input_bytes, total.unsent_bytes));
}

// Closes idle clients as without a successor. In addition, every request gets its answer and the process ends
// before the platform kills it.
void Proxy::enforce_shutdown_limit() {
  auto now = loop_.now();
  close_idle_clients();
  if (shutdown_->ends_requests(now)) dispatcher_.fail_open_requests("the proxy is shutting down");
  if (!shutdown_->ends_connections(now)) return stop_if_empty();
  for (auto* session : all_sessions())
    if (sessions_.count(session)) session->close();
  stop_if_empty();
}

void Proxy::close_idle_clients() {
  auto now = loop_.now();
  if (!shutdown_->closes_idle_connections(now)) return;
  if (is_accepting_) accept_all();
  auto all = all_sessions();
  for (auto* session : all) {
    session->close_when_idle();
    if (sessions_.count(session) && session->is_idle()) session->poll_input();
  }
  if (!shutdown_->rejects_requests(now)) return;
  bool is_over = shutdown_->time_to_kill(now) <= options_.shutdown_limit - kMaxShutdownTime;
  for (auto* session : all) {
    if (!sessions_.count(session)) continue;
    session->reject_new_requests();
    bool is_in_grace_period =
        session->is_lingering() || (session->is_mid_command() && shutdown_->awaits_partial_commands(now));
    if (is_in_grace_period ? is_over
                           : !session->is_busy() || (is_over && !session->has_unanswered_commands()))
      session->close();
  }
  stop_if_empty();
}

std::vector<ClientSession*> Proxy::all_sessions() const {
  std::vector<ClientSession*> all;
  all.reserve(sessions_.size());
  for (auto& [session, owned] : sessions_) all.push_back(session);
  return all;
}

void Proxy::stop_if_empty() {
  if (!sessions_.empty()) return;
  if (!siblings_) log_(net::Level::kInfo, dispatcher_.counters().summary());
  loop_.stop();
}

}  // namespace database_proxy::proxy
