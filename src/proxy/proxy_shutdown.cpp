// The part of Proxy that shuts it down. ShutdownSchedule has the times.
#include <fmt/format.h>

#include <utility>
#include <vector>

#include "proxy/proxy.h"

namespace database_proxy::proxy {

using namespace std::chrono_literals;

namespace {

// The time after which a proxy without clients looks again whether it may get any.
constexpr Micros kWaitForClients = 5ms;

}  // namespace

void Proxy::shut_down(ShutdownMode mode) {
  if (!shutdown_) begin_shutdown();
  bool has_new_successor = mode == ShutdownMode::kSuccessorServes && shutdown_mode_ == ShutdownMode::kLast;
  if (has_new_successor) close_clients_for_successor();
}

void Proxy::begin_shutdown() {
  shutdown_.emplace(loop_.now(), options_.shutdown_limit);
  if (!siblings_)
    log_(net::Level::kInfo, fmt::format("told to stop: {} clients, {} requests open", sessions_.size(),
                                        dispatcher_.open_requests()));
  for (auto when : shutdown_->phase_starts()) loop_.at(when, [] {});
  dispatcher_.set_latest_deadline(shutdown_->last_answer_at());
}

// Closes each connection together with its next answer, so that the client sees both at once and has no
// request in flight. Connections that stay unused for a while are closed later, as without a successor.
void Proxy::close_clients_for_successor() {
  shutdown_mode_ = ShutdownMode::kSuccessorServes;
  stop_accepting();
  for (auto& [session, owned] : sessions_) session->close_when_idle();
}

// Every command that was read gets its answer, and the process ends, before the platform kills it.
void Proxy::continue_shutdown() {
  auto now = loop_.now();
  if (shutdown_->closes_idle_connections(now)) poll_idle_clients();
  if (shutdown_->rejects_requests(now)) close_clients_without_commands();
  if (shutdown_->ends_requests(now)) {
    log_shutdown_backlog();
    dispatcher_.end_open_requests();
  }
  if (shutdown_->ends_connections(now)) close_all_clients();
  bool may_stop = shutdown_mode_ == ShutdownMode::kSuccessorServes || shutdown_->rejects_requests(now);
  if (!may_stop || !sessions_.empty()) return;
  if (!may_get_clients() || shutdown_->ends_connections(now)) return stop();
  wake_to_accept(kWaitForClients);
}

// Whether clients wait to be accepted by this process, or may be assigned to this proxy. Those in the backlog
// of an inherited socket are the next process's.
bool Proxy::may_get_clients() const {
  if (siblings_ && siblings_->may_be_assigned_clients()) return true;
  return is_accepting_ && options_.inherited_listener < 0 && backlog_since_.has_value();
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

// Applies the phase to each session, and reads what idle clients have sent until now.
void Proxy::poll_idle_clients() {
  if (is_accepting_) accept_all();
  for (auto* session : all_sessions()) {
    apply_phase(*session);
    if (sessions_.count(session) && session->is_idle()) session->poll_input();
  }
}

void Proxy::apply_phase(ClientSession& session) const {
  if (shutdown_->rejects_requests(loop_.now())) return session.reject_new_requests();
  if (shutdown_->closes_idle_connections(loop_.now())) session.close_when_idle();
}

// Closes the connections on which no answer is outstanding and no command is awaited.
void Proxy::close_clients_without_commands() {
  bool awaits_partial_commands = shutdown_->awaits_partial_commands(loop_.now());
  for (auto* session : all_sessions()) {
    if (!sessions_.count(session)) continue;
    bool is_awaited = session->is_lingering() || session->is_busy() || session->continues() ||
                      (session->is_mid_command() && awaits_partial_commands);
    if (!is_awaited) session->close();
  }
}

void Proxy::close_all_clients() {
  for (auto* session : all_sessions())
    if (sessions_.count(session)) session->finish_and_close();
}

std::vector<ClientSession*> Proxy::all_sessions() const {
  std::vector<ClientSession*> all;
  all.reserve(sessions_.size());
  for (auto& [session, owned] : sessions_) all.push_back(session);
  return all;
}

void Proxy::stop() {
  if (!siblings_) log_(net::Level::kInfo, dispatcher_.counters().summary());
  loop_.stop();
}

}  // namespace database_proxy::proxy
