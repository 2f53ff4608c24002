// The operator interface of a running process: serves commands on the operators' address, if one is
// configured, and coordinates with the other processes on an inherited listening socket.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "app/config.h"
#include "endpoint_list/endpoint_overlay.h"
#include "handover/listener_owner.h"
#include "handover/process_exchange.h"
#include "operator_endpoint/operator_listener.h"
#include "proxy/proxy.h"

namespace database_proxy::app {

// The settings that this start takes from the environment.
struct StartEnvironment {
  std::string operator_address;  // NODE_OPERATOR, overrides the configuration; empty: not given
  int inherited_listener = -1;   // NODE_ACCEPT_FD; -1: not given
  std::string shared_folder;     // TMPDIR; empty: not given

  // Throws ConfigError if a variable has an invalid value.
  static StartEnvironment read();
};

// Owned and used by the thread of its loop.
class Operations {
 public:
  // Callbacks into the process, called in the thread of the loop.
  struct Process {
    std::function<std::string()> unhealthy_reason;  // empty: the process can serve
    std::function<void(discovery::EndpointListUpdate)> apply_overlay_change;
    std::function<std::size_t()> descriptors_held;
    std::function<void(const proxy::OtherProcessesUsage&)> set_other_processes_usage;
    std::function<void()> hand_over;  // another process serves while this one shuts down
    std::function<void(bool)> set_waiting_for_other_processes;  // while this is set, no client is accepted
    std::function<void(std::uint32_t, std::uint32_t)> cancel;   // takes the session number and its secret
  };

  // Checks the inherited socket. Throws std::runtime_error if it does not match the configuration.
  Operations(net::Loop& loop, const Config& config, const StartEnvironment& environment, net::Log log);

  // Sets the options that follow from this start. To be called before a proxy is created from them.
  void prepare(proxy::ProxyOptions* options);
  // Serves operators from now on. What the callbacks of `process` refer to must outlive this object.
  void open(Process process);
  ~Operations();
  Operations(const Operations&) = delete;
  Operations& operator=(const Operations&) = delete;

  // To be called when this process accepts clients.
  void on_serving();
  // Forwards a cancel request for a session that this process does not have.
  void forward_cancel(std::uint32_t number, std::uint32_t secret);
  // To be called when the process receives a signal to stop. Returns whether another process serves the same
  // socket. If one starts to serve later, Process::hand_over() is called.
  proxy::ShutdownMode on_shutdown();

 private:
  void watch_owner();
  void wait_for_successor();
  void update_limit_shares();
  void start_exchange();
  void wait_for_other_processes();
  void stop_waiting_for_other_processes();
  std::string unhealthy_reason() const;
  bool merge_cordons(const endpoint_list::CordonMarks& marks, pid_t from);
  bool add_endpoints(const endpoint_list::EndpointListView& view);
  // A command whose answer is delayed until processes that start later are certain to learn of it.
  struct CordonCommand {
    std::string server;
    bool is_cordoned = false;
    std::optional<endpoint_list::Micros> changed_at;  // empty: the command changed nothing
    std::string remark;                               // follows YES in the answer
    operator_endpoint::OperatorListener::Answer answer;
  };
  void set_cordon(const std::string& server, bool is_cordoned,
                  const operator_endpoint::OperatorListener::Answer& answer);
  void answer_when_stored(const CordonCommand& command, int attempts);
  void revert(const CordonCommand& command);
  void handle(const operator_endpoint::OperatorCommand& command,
              const operator_endpoint::OperatorListener::Answer& answer);

  net::Loop& loop_;
  net::Log log_;
  std::string address_, shared_folder_;
  int inherited_listener_;
  std::optional<handover::ListenerOwner> owner_;  // if the socket is inherited
  net::Loop::TimerId owner_timer_ = net::Loop::kNoTimer;
  bool is_shutting_down_ = false;
  pid_t predecessor_ = 0;  // served the socket when this process started; 0: none
  handover::OtherProcesses other_processes_;
  // Runs while waiting for the other processes.
  net::Loop::TimerId acknowledgement_timer_ = net::Loop::kNoTimer;
  Process process_;
  endpoint_list::EndpointOverlay overlay_;
  std::optional<handover::ProcessExchange> exchange_;
  std::optional<operator_endpoint::OperatorListener> listener_;
};

}  // namespace database_proxy::app
