#include "app/operations.h"

#include <fmt/format.h>
#include <sys/stat.h>

#include <charconv>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <stdexcept>
#include <utility>

#include "handover/shared_memory_file.h"
#include "net/socket.h"

namespace database_proxy::app {
namespace {

using operator_endpoint::OperatorCommand;

using namespace std::chrono_literals;

// A serving process claims the socket within this time after its owner has ended.
constexpr net::Micros kOwnerCheckInterval = 100ms;
// Interval at which a process that shuts down checks whether another one serves.
constexpr net::Micros kSuccessorCheckInterval = 25ms;
// Attempts to store a cordon before the command is answered, and the time between them: the answer is due
// within 1 s.
constexpr int kStoreAttempts = 15;
constexpr net::Micros kStoreRetryInterval = 50ms;
// The other processes on the listening socket read the record of this process 40 times a second; one that has
// not read it after this time is not waited for.
constexpr net::Micros kAcknowledgementTimeout = 500ms;
// Lower descriptors are the standard streams.
constexpr int kFirstInheritedDescriptor = 3;

int descriptor_from(const char* text) {
  int descriptor = -1;
  auto [end, error] = std::from_chars(text, text + std::strlen(text), descriptor);
  bool is_number = error == std::errc() && *end == '\0';
  if (!is_number || descriptor < kFirstInheritedDescriptor)
    throw ConfigError(fmt::format("NODE_ACCEPT_FD is no number of a descriptor: '{}'", text));
  return descriptor;
}

// Changes with the layout of the memory, so that versions which differ in it do not share it.
constexpr int kEffectMemoryVersion = 1;
constexpr std::size_t kEffectMemoryDescriptors = 1;

// Returns the memory of effects that all processes on the listening socket share.
std::shared_ptr<proxy::EffectMemory> open_effect_memory(int listener, const net::Log& log) {
  struct stat info {};
  auto inode = fstat(listener, &info) == 0 ? info.st_ino : 0;
  auto name = fmt::format("database-proxy-effects-{}-{}", kEffectMemoryVersion, inode);
  auto file = handover::open_shared_memory_file(name, proxy::EffectMemory::size_in_bytes());
  if (file) return std::make_shared<proxy::EffectMemory>(std::move(file));
  log(net::Level::kWarning,
      "no memory can be shared with other processes: a write that comes again at another process may run "
      "again");
  return std::make_shared<proxy::EffectMemory>();
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
  loop_.cancel(&acknowledgement_timer_);
}

void Operations::on_serving() {
  if (!owner_ || is_shutting_down_) return;
  if (exchange_) exchange_->set_stage(handover::ProcessStage::kServing);
  if (!owner_->claim()) log_(net::Level::kWarning, "cannot set the owner of the listening socket");
  watch_owner();
}

// The newest serving process has claimed the socket last. When that process ends, this one claims it again.
void Operations::watch_owner() {
  if (owner_->is_vacant()) owner_->claim();
  update_limit_shares();
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

// A serving process claims the socket that this process has released; a starting process claims it once it
// can serve.
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
    auto overlaid = overlay_.apply_to(std::move(update), net::monotonic_now());
    if (exchange_) exchange_->publish();
    return overlaid;
  };
  options->reserved_descriptors = address_.empty() ? 0 : operator_endpoint::kListenerDescriptors;
  if (inherited_listener_ < 0) return;
  options->reserved_descriptors += handover::kFolderDescriptors + kEffectMemoryDescriptors;
  options->effects = open_effect_memory(inherited_listener_, log_);
}

void Operations::open(Process process) {
  process_ = std::move(process);
  if (inherited_listener_ >= 0) start_exchange();
  if (address_.empty()) return;
  listener_.emplace(
      loop_, address_, [this](auto& command, auto answer) { handle(command, answer); }, log_);
}

// Another process can serve concurrently only if the listening socket is inherited.
void Operations::start_exchange() {
  if (shared_folder_.empty())
    log_(net::Level::kWarning,
         "TMPDIR is not set: a successor receives no cancel requests and no limits of this process");
  handover::ProcessExchange::Host host;
  host.cordons = [this] { return overlay_.cordons(); };
  host.merge_cordons = [this](auto& marks, pid_t from) { return merge_cordons(marks, from); };
  host.endpoints = [this] { return overlay_.view(); };
  host.add_endpoints = [this](auto& view) { return add_endpoints(view); };
  host.descriptors = process_.descriptors_held;
  host.on_other_processes_changed = [this](const handover::OtherProcesses& others) {
    other_processes_ = others;
    update_limit_shares();
    if (other_processes_.know_this_process) stop_waiting_for_other_processes();
  };
  host.cancel = [this](const handover::ForwardedCancel& cancel) {
    process_.cancel(cancel.session_number, cancel.secret);
  };
  // The process that has served the socket so far may have accepted writes of any session.
  process_.set_other_processes_usage({0, 0, true});
  exchange_.emplace(loop_, shared_folder_, inherited_listener_, std::move(host), log_);
  update_limit_shares();
  if (!other_processes_.know_this_process) wait_for_other_processes();
}

// Until the other processes have read the record of this one, they hold more than their share of the common
// limits.
void Operations::wait_for_other_processes() {
  process_.set_waiting_for_other_processes(true);
  acknowledgement_timer_ = loop_.at(loop_.now() + kAcknowledgementTimeout, [this] {
    log_(net::Level::kWarning,
         "a process with the same listening socket does not read this process's record");
    stop_waiting_for_other_processes();
  });
}

void Operations::stop_waiting_for_other_processes() {
  if (acknowledgement_timer_ == net::Loop::kNoTimer) return;
  loop_.cancel(&acknowledgement_timer_);
  process_.set_waiting_for_other_processes(false);
}

std::string Operations::unhealthy_reason() const {
  auto reason = process_.unhealthy_reason();
  bool is_waiting = acknowledgement_timer_ != net::Loop::kNoTimer;
  if (reason.empty() && is_waiting)
    return "a process with the same listening socket has not read this process's record yet";
  return reason;
}

void Operations::update_limit_shares() {
  if (predecessor_ > 0 && handover::state_of(predecessor_) == handover::ProcessState::kGone) predecessor_ = 0;
  bool takes_requests = other_processes_.count > 0 || predecessor_ > 0 || owner_->other_owner() > 0;
  process_.set_other_processes_usage({other_processes_.count, other_processes_.descriptors, takes_requests});
}

bool Operations::merge_cordons(const endpoint_list::CordonMarks& marks, pid_t from) {
  auto merge = overlay_.merge_cordons(marks);
  if (!merge) return false;
  auto now = net::monotonic_now();
  for (auto& [server, mark] : merge->accepted)
    log_(net::Level::kInfo,
         fmt::format("server {} {}, as process {} reports, {:.3f} s after the command", server,
                     mark.is_cordoned ? "is cordoned by an operator" : "was put back by an operator", from,
                     std::chrono::duration<double>(now - mark.changed_at).count()));
  process_.apply_overlay_change(std::move(merge->change));
  return true;
}

bool Operations::add_endpoints(const endpoint_list::EndpointListView& view) {
  auto change = overlay_.add_view(view);
  if (!change) return false;
  if (!change->endpoints.empty())
    log_(net::Level::kInfo,
         fmt::format("another process has list version {}: it takes {} servers out of service",
                     view.generation, change->endpoints.size()));
  process_.apply_overlay_change(std::move(*change));
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
          fmt::format("{} data servers are cordoned already", endpoint_list::kMaxCordonMarks)));
    case Result::kUnchanged:
      command.remark = is_cordoned ? "it was cordoned already" : "it was not cordoned";
      return answer_when_stored(command, kStoreAttempts);
    case Result::kDone:
      break;
  }
  command.changed_at = overlay_.cordons().at(server).changed_at;
  bool is_last = is_cordoned && overlay_.is_last_of_group(server);
  if (is_last) command.remark = "warning: no other data server of its group takes work";
  log_(is_last ? net::Level::kWarning : net::Level::kInfo,
       fmt::format("server {} is {} by an operator{}", server, is_cordoned ? "cordoned" : "uncordoned",
                   is_last ? "; no other server of its group is in service" : ""));
  process_.apply_overlay_change(std::move(change));
  answer_when_stored(command, kStoreAttempts);
}

// YES guarantees that every later process applies the command, so it is not sent before the cordon is stored
// where such a process finds it.
void Operations::answer_when_stored(const CordonCommand& command, int attempts) {
  if (exchange_) exchange_->publish();
  if (!exchange_ || exchange_->are_cordons_stored())
    return command.answer(operator_endpoint::yes(command.remark));
  if (attempts > 0) {
    loop_.at(loop_.now() + kStoreRetryInterval,
             [this, command, attempts] { answer_when_stored(command, attempts - 1); });
    return;
  }
  if (command.changed_at) revert(command);
  command.answer(operator_endpoint::no(
      "it cannot be stored for later processes: neither on the listening socket nor in TMPDIR"));
}

void Operations::revert(const CordonCommand& command) {
  auto mark = overlay_.cordons().find(command.server);
  bool is_latest_change = mark != overlay_.cordons().end() && mark->second.changed_at == *command.changed_at;
  if (!is_latest_change) return;
  discovery::EndpointListUpdate change;
  overlay_.set_cordon(command.server, !command.is_cordoned, net::monotonic_now(), &change);
  log_(net::Level::kWarning, fmt::format("server {} is {} again: the command cannot be stored",
                                         command.server, command.is_cordoned ? "uncordoned" : "cordoned"));
  process_.apply_overlay_change(std::move(change));
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
