// What operators need of a running process: the address on which they ask and command it. Nothing of it
// exists where none is configured.
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

// What the environment says of this start.
struct StartEnvironment {
  std::string operator_address;  // NODE_OPERATOR, which goes before the configuration; empty: not given
  int inherited_listener = -1;   // NODE_ACCEPT_FD; -1: not given
  std::string shared_folder;     // TMPDIR; empty: not given

  // Throws ConfigError where a variable has no usable value.
  static StartEnvironment read();
};

class Operations {
 public:
  // What the process offers to operators, in the thread of the loop.
  struct Process {
    std::function<std::string()> unhealthy_reason;  // empty: it can serve
    std::function<void(discovery::EndpointListUpdate)> apply_change;
    std::function<std::size_t()> descriptors_held;
    std::function<void(const proxy::OtherProcessesUsage&)> share_limits_with;
    std::function<void()> hand_over;                           // another serves, while this one is ending
    std::function<void(bool)> set_waiting_for_others;          // while it is set, no client is accepted
    std::function<void(std::uint32_t, std::uint32_t)> cancel;  // of a session number and its secret
  };

  // Checks the inherited socket. Throws std::runtime_error where it is not what the configuration says.
  Operations(net::Loop& loop, const Config& config, const StartEnvironment& environment, net::Log log);

  // Adds to the options what follows from this start; before a proxy is made of them.
  void prepare(proxy::ProxyOptions* options);
  // Serves operators from now on. `process` must outlive this.
  void open(Process process);
  ~Operations();
  Operations(const Operations&) = delete;
  Operations& operator=(const Operations&) = delete;

  // This process accepts clients from now on.
  void on_serving();
  // A client asked to cancel what no session of this process has out.
  void forward_cancel(std::uint32_t number, std::uint32_t secret);
  // It has been told to end; returns whether another process serves the same socket. Where one does later,
  // Process::hand_over() is called.
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
  // A command whose answer waits until later processes will know of it.
  struct CordonCommand {
    std::string server;
    bool is_cordoned = false;
    std::optional<endpoint_list::Micros> changed_at;  // empty: it had been so before
    std::string remark;                               // behind the word yes
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
  std::optional<handover::ListenerOwner> owner_;  // where the socket is inherited
  net::Loop::TimerId owner_timer_ = net::Loop::kNoTimer;
  bool is_shutting_down_ = false;
  pid_t predecessor_ = 0;  // that served the socket when this process started; 0: none did
  handover::OtherProcesses other_processes_;
  net::Loop::TimerId acknowledgement_timer_ = net::Loop::kNoTimer;  // runs while the others are waited for
  Process process_;
  endpoint_list::EndpointOverlay overlay_;
  std::optional<handover::ProcessExchange> exchange_;
  std::optional<operator_endpoint::OperatorListener> listener_;
};

}  // namespace database_proxy::app
