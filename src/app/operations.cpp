#include "app/operations.h"

#include <fmt/format.h>

#include <charconv>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "net/socket.h"

namespace database_proxy::app {
namespace {

using operator_endpoint::OperatorCommand;

using namespace std::chrono_literals;

// A process that serves takes over the socket of one that has ended within this.
constexpr net::Micros kOwnerCheckInterval = 100ms;
// A process that is ending looks so often whether another one serves by now.
constexpr net::Micros kSuccessorCheckInterval = 25ms;
// The answer to a command is owed within a second: so often and so long its keeping is tried before.
constexpr int kKeepAttempts = 15;
constexpr net::Micros kKeepRetry = 50ms;
// The processes beside this one read its record 40 times a second; one that does not is not waited for
// any longer.
constexpr net::Micros kAcknowledgementTimeout = 500ms;
// The standard streams are no listening sockets.
constexpr int kFirstInheritedDescriptor = 3;

int descriptor_from(const char* text) {
  int descriptor = -1;
  auto [end, error] = std::from_chars(text, text + std::strlen(text), descriptor);
  bool is_number = error == std::errc() && *end == '\0';
  if (!is_number || descriptor < kFirstInheritedDescriptor)
    throw ConfigError(fmt::format("NODE_ACCEPT_FD is no number of a descriptor: '{}'", text));
  return descriptor;
}

}  // namespace

StartEnvironment StartEnvironment::read() {
  StartEnvironment environment;
  if (const char* address = std::getenv("NODE_OPERATOR")) {
    environment.operator_address = address;
    if (!environment.operator_address.empty() && !net::parse_address(address))
      throw ConfigError(fmt::format("NODE_OPERATOR is no address: '{}'", address));
  }
  if (const char* folder = std::getenv("TMPDIR")) environment.shared_folder = folder;
  const char* descriptor = std::getenv("NODE_ACCEPT_FD");
  if (descriptor && *descriptor) environment.inherited_listener = descriptor_from(descriptor);
  return environment;
}

Operations::Operations(net::Loop& loop, const Config& config, const StartEnvironment& environment,
                       net::Log log)
    : loop_(loop),
      log_(std::move(log)),
      address_(environment.operator_address.empty() ? config.operator_address : environment.operator_address),
      shared_folder_(environment.shared_folder),
      inherited_listener_(environment.inherited_listener) {
  if (inherited_listener_ < 0) return;
  try {
    net::prepare_inherited_listener(inherited_listener_, *net::parse_address(config.listen));
  } catch (const std::runtime_error& e) {
    throw std::runtime_error(fmt::format("cannot listen on {}: {}", config.listen, e.what()));
  }
  owner_.emplace(inherited_listener_);
  predecessor_ = owner_->other_owner();
}

Operations::~Operations() {
  loop_.cancel(&owner_timer_);
  loop_.cancel(&others_timer_);
}

void Operations::on_serving() {
  if (!owner_ || is_shutting_down_) return;
  if (exchange_) exchange_->set_stage(handover::ProcessStage::kServing);
  if (!owner_->claim()) log_(net::Level::kWarning, "the listening socket does not take an owner");
  watch_owner();
}

// The newest process that serves has claimed the socket last. Where that one ends, this one does again.
void Operations::watch_owner() {
  if (owner_->is_vacant()) owner_->claim();
  share_with_others();
  owner_timer_ = loop_.at(loop_.now() + kOwnerCheckInterval, [this] { watch_owner(); });
}

proxy::ShutdownMode Operations::on_shutdown() {
  is_shutting_down_ = true;
  loop_.cancel(&owner_timer_);
  if (exchange_) exchange_->set_stage(handover::ProcessStage::kShuttingDown);
  if (!owner_) return proxy::ShutdownMode::kLast;
  if (owner_->is_served_by_other()) return proxy::ShutdownMode::kSuccessorServes;
  if (owner_->other_owner() == 0) owner_->release();
  wait_for_successor();
  return proxy::ShutdownMode::kLast;
}

// One that serves claims the socket that this one has given up, and one that starts once it can serve.
void Operations::wait_for_successor() {
  owner_timer_ = loop_.at(loop_.now() + kSuccessorCheckInterval, [this] {
    if (!owner_->is_served_by_other()) return wait_for_successor();
    log_(net::Level::kInfo, fmt::format("process {} serves on the listening socket", owner_->other_owner()));
    process_.hand_over();
  });
}

void Operations::prepare(proxy::ProxyOptions* options) {
  options->inherited_listener = inherited_listener_;
  options->overlay = [this](discovery::EndpointListUpdate update) {
    if (exchange_) exchange_->merge_from_socket();
    auto shown = overlay_.apply_to(std::move(update), net::monotonic_now());
    if (exchange_) exchange_->publish();
    return shown;
  };
  options->reserved_descriptors = address_.empty() ? 0 : operator_endpoint::kListenerDescriptors;
  if (inherited_listener_ >= 0) options->reserved_descriptors += handover::kFolderDescriptors;
}

void Operations::open(Process process) {
  process_ = std::move(process);
  if (inherited_listener_ >= 0) start_exchange();
  if (address_.empty()) return;
  listener_.emplace(
      loop_, address_, [this](auto& command, auto answer) { handle(command, answer); }, log_);
}

// Only with an inherited socket can another process serve beside this one.
void Operations::start_exchange() {
  if (shared_folder_.empty())
    log_(net::Level::kWarning, "TMPDIR is not set: a successor learns nothing of cancel requests and limits");
  handover::ProcessExchange::Host host;
  host.cordons = [this] { return overlay_.cordons(); };
  host.merge_cordons = [this](auto& marks, pid_t from) { return merge_cordons(marks, from); };
  host.endpoints = [this] { return overlay_.view(); };
  host.add_endpoints = [this](auto& view) { return add_endpoints(view); };
  host.descriptors = process_.descriptors_held;
  host.on_other_processes_changed = [this](const handover::OtherProcesses& others) {
    others_ = others;
    share_with_others();
    if (others_.know_this_process) stop_waiting_for_others();
  };
  host.cancel = [this](const handover::ForwardedCancel& cancel) {
    process_.cancel(cancel.session_number, cancel.secret);
  };
  // Whoever served the socket up to now may have taken writes of any session.
  process_.share_limits_with({0, 0, true});
  exchange_.emplace(loop_, shared_folder_, inherited_listener_, std::move(host), log_);
  share_with_others();
  if (!others_.know_this_process) wait_for_others();
}

// Until they know of this process, the others hold more than their part of what all share.
void Operations::wait_for_others() {
  process_.set_waiting_for_others(true);
  others_timer_ = loop_.at(loop_.now() + kAcknowledgementTimeout, [this] {
    log_(net::Level::kWarning, "a process with the same listening socket does not read this one's record");
    stop_waiting_for_others();
  });
}

void Operations::stop_waiting_for_others() {
  if (others_timer_ == net::Loop::kNoTimer) return;
  loop_.cancel(&others_timer_);
  process_.set_waiting_for_others(false);
}

std::string Operations::unhealthy_reason() const {
  auto reason = process_.unhealthy_reason();
  bool is_waiting = others_timer_ != net::Loop::kNoTimer;
  if (reason.empty() && is_waiting) return "a process with the same listening socket has not heard of it yet";
  return reason;
}

void Operations::share_with_others() {
  if (predecessor_ > 0 && handover::state_of(predecessor_) == handover::ProcessState::kGone) predecessor_ = 0;
  bool takes_requests = others_.count > 0 || predecessor_ > 0 || owner_->other_owner() > 0;
  process_.share_limits_with({others_.count, others_.descriptors, takes_requests});
}

bool Operations::merge_cordons(const endpoint_list::CordonMarks& marks, pid_t from) {
  auto merge = overlay_.merge_cordons(marks);
  if (!merge) return false;
  auto now = net::monotonic_now();
  for (auto& [server, mark] : merge->accepted)
    log_(net::Level::kInfo,
         fmt::format("server {} {}, as process {} has it, {:.3f} s after the call", server,
                     mark.is_cordoned ? "is cordoned by an operator" : "was put back by an operator", from,
                     std::chrono::duration<double>(now - mark.changed_at).count()));
  process_.apply_change(std::move(merge->change));
  return true;
}

bool Operations::add_endpoints(const endpoint_list::EndpointListView& view) {
  auto change = overlay_.add_view(view);
  if (!change) return false;
  if (!change->endpoints.empty())
    log_(net::Level::kInfo, fmt::format("another process has list version {}: {} servers are out by it",
                                        view.generation, change->endpoints.size()));
  process_.apply_change(std::move(*change));
  return true;
}

void Operations::forward_cancel(std::uint32_t number, std::uint32_t secret) {
  if (exchange_) exchange_->forward_cancel(number, secret);
}

void Operations::set_cordon(const std::string& server, bool is_cordoned,
                            const operator_endpoint::OperatorListener::Answer& answer) {
  using Result = endpoint_list::EndpointOverlay::Result;
  CordonCommand command{server, is_cordoned, std::nullopt, "", answer};
  if (exchange_) exchange_->merge_from_socket();
  discovery::EndpointListUpdate change;
  switch (overlay_.set_cordon(server, is_cordoned, net::monotonic_now(), &change)) {
    case Result::kUnknownServer:
      return answer(operator_endpoint::no(fmt::format("no data server {} is known", server)));
    case Result::kTooMany:
      return answer(operator_endpoint::no(
          fmt::format("{} data servers are cordoned already", endpoint_list::kMostCordonMarks)));
    case Result::kUnchanged:
      command.remark = is_cordoned ? "it was cordoned already" : "it was not cordoned";
      return answer_when_kept(command, kKeepAttempts);
    case Result::kDone:
      break;
  }
  command.changed_at = overlay_.cordons().at(server).changed_at;
  bool is_last = is_cordoned && overlay_.is_last_of_group(server);
  if (is_last) command.remark = "warning: no other data server of its group takes work";
  log_(is_last ? net::Level::kWarning : net::Level::kInfo,
       fmt::format("server {} is {} by an operator{}", server, is_cordoned ? "cordoned" : "put back",
                   is_last ? "; no other server of its group takes work" : ""));
  process_.apply_change(std::move(change));
  answer_when_kept(command, kKeepAttempts);
}

// YES is a promise for every later process: it is not given before one is sure to know.
void Operations::answer_when_kept(const CordonCommand& command, int attempts) {
  if (exchange_) exchange_->publish();
  if (!exchange_ || exchange_->are_cordons_stored())
    return command.answer(operator_endpoint::yes(command.remark));
  if (attempts > 0) {
    loop_.at(loop_.now() + kKeepRetry,
             [this, command, attempts] { answer_when_kept(command, attempts - 1); });
    return;
  }
  if (command.changed_at) take_back(command);
  command.answer(operator_endpoint::no(
      "it cannot be kept for later processes: neither the listening socket nor TMPDIR takes it"));
}

void Operations::take_back(const CordonCommand& command) {
  auto mark = overlay_.cordons().find(command.server);
  bool is_last_word = mark != overlay_.cordons().end() && mark->second.changed_at == *command.changed_at;
  if (!is_last_word) return;
  discovery::EndpointListUpdate change;
  overlay_.set_cordon(command.server, !command.is_cordoned, net::monotonic_now(), &change);
  log_(net::Level::kWarning, fmt::format("server {} is {} again: the command cannot be kept", command.server,
                                         command.is_cordoned ? "put back" : "cordoned"));
  process_.apply_change(std::move(change));
  if (exchange_) exchange_->publish();
}

void Operations::handle(const OperatorCommand& command,
                        const operator_endpoint::OperatorListener::Answer& answer) {
  switch (command.kind) {
    case OperatorCommand::Kind::kHealth: {
      auto reason = unhealthy_reason();
      return answer(reason.empty() ? operator_endpoint::yes() : operator_endpoint::no(reason));
    }
    case OperatorCommand::Kind::kCordon:
      return set_cordon(command.server, true, answer);
    case OperatorCommand::Kind::kUncordon:
      return set_cordon(command.server, false, answer);
    case OperatorCommand::Kind::kMalformed:
      return answer(operator_endpoint::no(command.error));
  }
}

}  // namespace database_proxy::app
