// One client connection that speaks PostgreSQL's protocol: its lifetime, its messages in, its answers out in
// order. Reading is in session_input.h, the rules for statements in session_rules.h.
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
#include "proxy/ports.h"
#include "proxy/session_input.h"

namespace database_proxy::proxy {

class ClientSession;

// What a session needs of the proxy that owns it. Called in the proxy's thread.
class SessionOwner {
 public:
  SessionOwner() = default;
  SessionOwner(const SessionOwner&) = delete;
  SessionOwner& operator=(const SessionOwner&) = delete;
  virtual ~SessionOwner() = default;
  // The session's descriptor is free already. It must not be destroyed within this call.
  virtual void on_session_closed(ClientSession* session) = 0;
  virtual void on_cancel_request(std::uint32_t number, std::uint32_t secret) = 0;
  // A session's unfinished statements take so many bytes more; false: that is too much in all.
  virtual bool on_buffered_change(std::ptrdiff_t change) = 0;
  // flush() is to be called at the end of this iteration; at most once an iteration.
  virtual void schedule_flush(ClientSession* session) = 0;
};

// Owned by its proxy, used in the proxy's thread only. Closing frees the descriptor at once and abandons what
// is open.
class ClientSession : public net::Handler {
 public:
  // `number` and `secret`: what a CancelRequest names this session by. `waiting_since`: since when the
  // connection, and what its client has sent, may have waited to be accepted.
  ClientSession(net::Loop& loop, Dispatcher& dispatcher, SessionOwner& owner, net::Fd fd,
                std::uint32_t number, std::uint32_t secret, Micros waiting_since);
  ~ClientSession() override;

  bool start();  // false: it cannot be watched
  void on_ready(std::uint32_t events) override;
  // A data server is known from now on: goes on with an empty query that waited for one.
  void resume();
  // Sends the answers that this iteration has gathered.
  void flush();
  // Cancels the request whose answer is next, for a CancelRequest. One that is not open is not touched.
  void cancel();
  void close();
  // Shutdown: closes once what was taken is answered.
  void close_when_idle();
  // Shutdown: what is read from now on is rejected at once, as harmless to repeat.
  void reject_new_requests() { shutdown_ = Shutdown::kRejecting; }
  // Reads and takes what has come unnoticed; false: closed by that.
  bool poll_input();

  // Between requests: nothing taken, nothing half read, nothing left to write.
  bool is_idle() const { return queue_.empty() && !awaits_ready() && input_.view().empty() && unsent() == 0; }
  // Something is still to be answered or written.
  bool is_busy() const { return !is_lingering() && (!queue_.empty() || unsent() > 0); }
  bool has_unanswered_commands() const { return !queue_.empty(); }
  // It has had its last answer and only waits for the peer's end.
  bool is_lingering() const { return state_ == State::kLingering; }
  // It has never sent a command.
  bool is_unused() const { return queue_.empty() && !has_sent_command_ && !awaits_ready(); }
  // A command has begun to arrive and is not complete.
  bool is_mid_command() const { return queue_.empty() && has_started() && !input_.view().empty(); }
  Micros idle_since() const { return idle_since_; }
  std::uint32_t number() const { return number_; }
  std::uint32_t secret() const { return secret_; }

 private:
  // docs/design/lifecycles.md has the table of transitions.
  enum class State {
    kStartup,         // messages before the session
    kServing,         // takes commands
    kAwaitingReady,   // an empty query waits until a data server is known
    kSkippingToSync,  // after a message of the extended protocol, as the protocol demands
    kFinishing,       // takes nothing more; the last command in the queue ends the connection
    kLingering,       // the last answer is written; reading goes on until the peer's end
    kClosed,
  };
  enum class Shutdown { kNone, kClosingWhenIdle, kRejecting };

  // A command whose answer is not on its way yet. Requests that a client sends behind one another are open at
  // the same time; their answers wait here for those of the commands before.
  struct QueuedCommand : ClientPort {
    explicit QueuedCommand(ClientSession& owner) : session(owner) {}
    Query query(Micros timeout) override { return session.query(*this, timeout); }
    void serve(const Answer& answer) override { session.serve(*this, answer); }
    bool still_connected() override { return session.still_connected(*this); }
    void reject(Micros retry_after) override;
    void fail(std::string_view why) override;

    ClientSession& session;
    RequestId request = 0;            // while it is open
    std::uint64_t iteration = 0;      // of the loop, in which the request was read
    std::uint64_t stream_offset = 0;  // where its message stands in all that was read
    std::size_t size = 0;             // bytes to consume with it
    std::size_t message_size = 0;     // bytes of its message alone
    std::size_t timeout_begin = 0;    // where the digits of its timeout stand in its text
    std::size_t timeout_end = 0;
    std::uint64_t key = 0;
    bool is_write = false;
    bool is_done = false;
    bool ends_connection = false;  // after its answer
    std::string answer;
  };

  bool awaits_ready() const { return state_ == State::kAwaitingReady; }
  bool takes_commands() const {
    return state_ == State::kStartup || state_ == State::kServing || state_ == State::kSkippingToSync;
  }
  bool has_started() const {
    return state_ == State::kServing || state_ == State::kAwaitingReady || state_ == State::kSkippingToSync ||
           state_ == State::kFinishing;
  }

  // lifetime
  void on_peer_closed();
  void check_closing();
  void close_lost_peer();
  bool still_connected(const QueuedCommand& command);
  void update_timeout();
  std::optional<Micros> next_timeout() const;
  void on_timeout();
  void linger();
  void discard_input();
  void continue_next_iteration();

  // input
  void fill();
  void process();
  void close_unless_more_came();
  bool process_next();
  bool read_more_of_command();
  bool take_command(const pg::Frame& frame);
  bool is_certain_to_be_rejected() const;
  bool account_memory();

  // commands
  bool handle_first_message();
  void handle_message(const pg::Frame& frame);
  void handle_query(std::string_view text);
  void handle_request(const pg::Statement& statement);
  bool must_wait_for_earlier(std::uint64_t key, bool is_write) const;

  // answers
  Query query(const QueuedCommand& command, Micros timeout) const;
  void serve(QueuedCommand& command, const Answer& answer);
  void finish(QueuedCommand& command, std::string answer);
  void flush_answers();
  void reply(std::string message);                 // behind the answers to the commands before
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
  bool is_peer_gone_ = false;       // or takes nothing of its answers: nobody is owed one any more
  bool has_ended_output_ = false;   // the last answer is on its way, and the end with it
  bool is_processing_ = false;      // process() is running: answers given at once must not enter it again
  std::uint64_t continues_in_ = 0;  // the iteration that continue_next_iteration() was called for
  int first_messages_ = 0;          // so many have come
  std::size_t accounted_ = 0;       // bytes that the owner knows of
  std::size_t discarded_ = 0;       // bytes thrown away while lingering
  Micros connected_at_;
  Micros idle_since_;
  std::optional<Micros> write_timeout_;     // by when the client must take something of its answers
  std::optional<Micros> command_began_at_;  // of the command that is not complete
  net::Loop::TimerId timer_ = net::Loop::kNoTimer;
  Micros timer_at_{0};
  std::deque<std::unique_ptr<QueuedCommand>> queue_;  // in the order of the commands
  std::uint64_t consumed_ = 0;                        // bytes of the stream before the input's buffer
  std::size_t parsed_ = 0;                            // bytes of the input that belong to the queue
  std::size_t message_size_ = 0;                      // of the message being taken
  std::size_t queued_answer_bytes_ = 0;
  bool is_blocked_ = false;  // the next command waits for one before it
  std::optional<Micros> blocked_since_;
};

}  // namespace database_proxy::proxy
