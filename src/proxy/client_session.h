// One client connection that speaks PostgreSQL's protocol: its lifetime, its incoming messages, and its
// answers in the order of the commands. Reading is in session_input.h, the rules for statements in
// session_rules.h, what shows that a client is connected in presence_monitor.h.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "net/buffer.h"
#include "net/loop.h"
#include "pg/message.h"
#include "pg/statement.h"
#include "proxy/dispatcher.h"
#include "proxy/memory_budget.h"
#include "proxy/ports.h"
#include "proxy/presence_monitor.h"
#include "proxy/session_input.h"

namespace database_proxy::proxy {

class ClientSession;

// What a session has not yet given its client.
struct SessionBacklog {
  std::size_t open_requests = 0;
  std::size_t ready_answers = 0;        // they wait for the answers of earlier commands
  std::size_t waiting_input_bytes = 0;  // received, and not yet taken as commands
  std::size_t unsent_bytes = 0;         // of answers that the socket has not accepted
  void add(const SessionBacklog& other);
};

// Interface of a session to the proxy that owns it. Called in the proxy's thread.
class SessionOwner {
 public:
  SessionOwner() = default;
  SessionOwner(const SessionOwner&) = delete;
  SessionOwner& operator=(const SessionOwner&) = delete;
  virtual ~SessionOwner() = default;
  // The session has closed its descriptor. The session must not be destroyed within this call.
  virtual void on_session_closed(ClientSession* session) = 0;
  virtual void on_cancel_request(std::uint32_t number, std::uint32_t secret) = 0;
  // The budget for the buffers of all sessions, which outlives them.
  virtual MemoryBudget& memory_budget() = 0;
  // The session waits until a data server is known. Requests a call of resume() then.
  virtual void on_awaiting_ready(ClientSession* session) = 0;
  // Requests a call of flush() at the end of this loop iteration. Called at most once an iteration.
  virtual void schedule_flush(ClientSession* session) = 0;
};

// Owned by its proxy, used in the proxy's thread only. Closing frees the descriptor at once and abandons the
// open requests.
class ClientSession : public net::Handler {
 public:
  // `number` and `secret` identify this session in a CancelRequest. `waiting_since` is the earliest time from
  // which the connection, and the data that its client has sent, may have waited to be accepted.
  ClientSession(net::Loop& loop, Dispatcher& dispatcher, SessionOwner& owner, net::Fd fd,
                std::uint32_t number, std::uint32_t secret, Micros waiting_since);
  ~ClientSession() override;

  bool start();  // false: the loop cannot watch the descriptor
  void on_ready(std::uint32_t events) override;
  // Continues with an empty query that waited for a data server. Called once a data server is known.
  void resume();
  // Sends the answers that were gathered in this iteration.
  void flush();
  // Handles a CancelRequest: cancels the request whose answer is next, if it is still open.
  void cancel();
  void close();
  // Shutdown: closes the session once all accepted commands are answered.
  void close_when_idle();
  // Shutdown: rejects every request read from now on at once, as safe to repeat.
  void reject_new_requests();
  // Shutdown: answers the commands that have arrived, and closes the session.
  void finish_and_close();
  // Reads and processes input for which no event was reported yet. Returns false if that closed the session.
  bool poll_input();

  // Between requests: no queued command, no partly read command, nothing left to write.
  bool is_idle() const {
    return queue_.empty() && !awaits_ready() && input_.is_empty() && !input_.is_paused() && unsent() == 0;
  }
  // An answer is outstanding or not completely written.
  bool is_busy() const { return !is_lingering() && (!queue_.empty() || unsent() > 0); }
  // Complete commands may wait for the next loop iteration, in which this session continues.
  bool continues() const { return continues_in_ > loop_.iteration(); }
  bool has_unanswered_commands() const { return !queue_.empty(); }
  // The last answer is written; the session only waits for the peer to close.
  bool is_lingering() const { return state_ == State::kLingering; }
  // The client has never sent a command.
  bool is_unused() const { return queue_.empty() && !has_sent_command_ && !awaits_ready(); }
  // A command has begun to arrive and is not complete.
  bool is_mid_command() const { return queue_.empty() && has_started() && !input_.is_empty(); }
  SessionBacklog backlog() const;
  Micros idle_since() const { return idle_since_; }
  std::uint32_t number() const { return number_; }
  std::uint32_t secret() const { return secret_; }

 private:
  // docs/design/lifecycles.md has the table of transitions.
  enum class State {
    kStartup,        // messages before the session
    kServing,        // accepts commands
    kAwaitingReady,  // an empty query waits until a data server is known
    kFinishing,      // accepts no more commands; the last one in the queue ends the connection
    kLingering,      // the last answer is written; reading goes on until the peer closes
    kClosed,
  };
  enum class Shutdown { kNone, kClosingWhenIdle, kRejecting };

  // A command whose answer is not sent yet. Pipelined requests of a client are open at the same time; their
  // answers wait here for the answers of earlier commands.
  struct QueuedCommand : ClientPort {
    explicit QueuedCommand(ClientSession& owner) : session(owner) {}
    Query query(Micros timeout) override { return session.query(*this, timeout); }
    bool has_memory_for(const Answer& answer) override { return session.has_memory_for(*this, answer); }
    void serve(const Answer& answer) override { session.serve(*this, answer); }
    ClientPresence presence() override { return session.presence(); }
    void reject(Micros retry_after) override;
    void reject_at_shutdown() override;
    void fail(std::string_view why) override;

    ClientSession& session;
    RequestId request = 0;            // while it is open
    std::uint64_t stream_offset = 0;  // position of its message in the whole input stream
    std::size_t size = 0;             // bytes to consume with it
    std::size_t message_size = 0;     // bytes of its message alone
    std::size_t timeout_begin = 0;    // position of the digits of its timeout in its text
    std::size_t timeout_end = 0;
    std::uint64_t key = 0;
    bool is_write = false;
    bool is_done = false;
    bool ends_connection = false;  // after its answer
    std::string answer;
  };

  bool awaits_ready() const { return state_ == State::kAwaitingReady; }
  bool takes_commands() const { return state_ == State::kStartup || state_ == State::kServing; }
  bool has_started() const {
    return state_ == State::kServing || state_ == State::kAwaitingReady || state_ == State::kFinishing;
  }

  // lifetime
  void on_peer_closed();
  void check_closing();
  bool has_waiting_command() const;
  void close_lost_peer();
  ClientPresence presence();
  bool look_for_presence();
  void ask_for_presence();
  void check_presence_again();
  void on_output_written();
  void update_timeout();
  std::optional<Micros> next_timeout() const;
  void on_timeout();
  void linger();
  void discard_input();
  void continue_next_iteration();

  // input
  void fill();
  void discard_after_last_command();
  void on_input_at_end(bool may_be_held_back);
  void process();
  void on_messages_dropped();
  void close_unless_more_came();
  bool process_next();
  bool read_more_of_command();
  bool take_command(const pg::Frame& frame);
  bool is_certain_to_be_rejected() const;
  void account_memory();
  bool may_take_commands() const;

  // commands
  bool handle_first_message();
  void handle_message(const pg::Frame& frame);
  void handle_query(std::string_view text);
  void handle_empty_query();
  void handle_request(const pg::Statement& statement);
  bool must_wait_for_earlier(std::uint64_t key, bool is_write) const;
  bool must_wait_for_presence() const;

  // answers
  Query query(const QueuedCommand& command, Micros timeout) const;
  bool has_memory_for(const QueuedCommand& command, const Answer& answer) const;
  void serve(QueuedCommand& command, const Answer& answer);
  void finish(QueuedCommand& command, std::string answer);
  void flush_answers();
  void reply(std::string message);                 // after the answers to earlier commands
  void reply_and_ready(std::string_view message);  // the same, with ReadyForQuery
  void reply_error(std::string_view code, std::string_view why);
  void fail_connection(std::string_view code, std::string_view why);
  enum class WriteMode {
    kAtOnce,
    kGathered,  // more answers may be ready in this iteration
    kLast,      // with the end of the connection
  };
  bool is_front_last() const;
  WriteMode mode_for_front();
  WriteMode mode_for_reply() const;
  void write(std::initializer_list<std::string_view> parts, WriteMode mode = WriteMode::kAtOnce);
  void write_last(std::initializer_list<std::string_view> parts);
  std::size_t unsent() const { return out_.size() + gathered_.size(); }

  net::Loop& loop_;
  Dispatcher& dispatcher_;
  SessionOwner& owner_;
  net::Fd fd_;
  std::uint32_t number_, secret_;
  State state_ = State::kStartup;
  Shutdown shutdown_ = Shutdown::kNone;
  SessionInput input_;
  net::OutBuffer out_;
  std::string gathered_;  // answers of this iteration, not yet handed to the socket
  bool has_sent_command_ = false;
  bool is_peer_gone_ = false;       // or reads no answers: none is due any more
  bool has_ended_output_ = false;   // the last answer is sent, together with the end of stream
  bool is_processing_ = false;      // process() is running: answers given at once must not enter it again
  std::uint64_t continues_in_ = 0;  // the iteration that continue_next_iteration() was called for
  int first_messages_ = 0;          // number of first messages received
  std::size_t discarded_ = 0;       // bytes discarded while lingering
  Micros connected_at_;
  Micros idle_since_;
  std::optional<Micros> write_timeout_;     // deadline for the client to read part of its answers
  std::optional<Micros> command_began_at_;  // of the command that is not complete
  net::Loop::TimerId timer_ = net::Loop::kNoTimer;
  Micros timer_at_{0};
  net::Loop::TimerId presence_timer_ =
      net::Loop::kNoTimer;  // set while presence is unknown and was asked for
  PresenceMonitor presence_;
  std::uint64_t read_in_ = 0;       // the loop's iteration in which the input was last read to its end
  Micros settles_at_{0};            // from then on, an empty socket shows that there is no more input
  std::uint64_t output_bytes_ = 0;  // that were handed to out_
  std::deque<std::unique_ptr<QueuedCommand>> queue_;  // in the order of the commands
  std::uint64_t consumed_ = 0;                        // bytes of the stream before the input's buffer
  std::size_t parsed_ = 0;                            // bytes of the input that belong to the queue
  std::size_t message_size_ = 0;                      // of the message being handled
  std::size_t queued_answer_bytes_ = 0;
  MemoryBudget::Charge statement_charge_, answer_charge_;
  bool is_blocked_ = false;  // the next command waits for an earlier one
  std::optional<Micros> blocked_since_;
};

}  // namespace database_proxy::proxy
