// One client connection that speaks PostgreSQL's protocol.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "net/buffer.h"
#include "net/loop.h"
#include "pg/statement.h"
#include "proxy/dispatcher.h"
#include "proxy/ports.h"

namespace database_proxy::proxy {

class ClientSession;

class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  virtual void on_session_closed(ClientSession* session) = 0;  // its descriptor is free already
  virtual void on_cancel_request(std::uint32_t number, std::uint32_t secret) = 0;
  // Told of each change of what a session's unfinished input holds; false: that is too much in all.
  virtual bool on_buffered_change(std::ptrdiff_t change) = 0;
  // Asks for flush() at the end of this turn, once a turn.
  virtual void schedule_flush(ClientSession* session) = 0;
};

class ClientSession : public net::Handler {
 public:
  // `waiting_since`: since when the connection, and what its client has sent, may have waited to be accepted.
  ClientSession(net::Loop& loop, Dispatcher& dispatcher, SessionOwner& owner, net::Fd fd,
                std::uint32_t number, std::uint32_t secret, Micros waiting_since);
  ~ClientSession() override;

  bool start();  // false: it cannot be watched
  void on_ready(std::uint32_t events) override;
  void resume();  // parses on, where something had to wait
  void flush();   // sends the answers that this turn has gathered
  // Between requests: nothing taken, nothing half read, nothing left to write.
  bool idle() const { return queue_.empty() && !waiting_ && in_.view().empty() && unsent() == 0; }
  bool busy() const { return !draining_ && (!queue_.empty() || unsent() > 0); }
  bool owes_answers() const { return !queue_.empty(); }
  bool is_draining() const { return draining_; }                                 // it has had its last word
  bool is_unused() const { return queue_.empty() && !commanded_ && !waiting_; }  // it has never asked
  // What a CancelRequest names this session by.
  std::uint32_t number() const { return number_; }
  std::uint32_t secret() const { return secret_; }
  void cancel();
  Micros idle_since() const { return idle_since_; }
  void close();
  void close_when_idle() { closing_ = true; }  // after what it still has to answer
  // Shutdown: what is read from now on is refused at once, as harmless to repeat.
  void refuse_new_requests() { closing_ = refusing_ = true; }
  // A command has begun to arrive and is not whole.
  bool is_mid_command() const { return queue_.empty() && started_ && !draining_ && !in_.view().empty(); }
  bool poll_input();  // looks for what has come unseen; false: closed by that

 private:
  // A command whose answer is not on its way yet. Requests that a client sends behind one another are out at
  // the same time; their answers wait here for those of the commands before.
  struct Slot : ClientPort {
    explicit Slot(ClientSession& owner) : session(owner) {}
    Query query(Micros wait) override { return session.query(*this, wait); }
    void serve(const Answer& answer) override { session.serve(*this, answer); }
    bool still_connected() override { return session.still_connected(*this); }
    void reject(Micros retry_after) override;
    void fail(std::string_view why) override;

    ClientSession& session;
    RequestId request = 0;              // while it is out
    std::uint64_t turn = 0;             // of the loop, in which the request was read
    std::uint64_t start = 0;            // where its message stands in the stream of all that was read
    std::size_t size = 0, message = 0;  // bytes to consume with it; those of the message itself
    std::size_t wait_at = 0, wait_end = 0;
    std::uint64_t key = 0;
    bool write = false, done = false, last = false;  // last: the connection ends after it
    std::string answer;
  };

  void fill(bool drained_by_short = false);
  void peer_closed();
  bool still_connected(const Slot& slot);
  void process();
  void on_all_input_taken();
  void arm_timeout();  // the time by which something must have come
  void on_timeout();
  void drain();
  void later();
  void begin_iteration();
  bool is_certain_to_be_rejected();  // what has come of a command shows that it will be refused
  bool opening();                    // the messages before the session; false: more is needed, or closed
  void command(const pg::Frame& frame);
  void run(std::string_view text);
  Query query(const Slot& slot, Micros wait) const;
  void serve(Slot& slot, const Answer& answer);
  void finish(Slot& slot, std::string answer);
  void flush_answers();
  void reply(std::string message);        // in its turn
  void answer(std::string_view message);  // and ReadyForQuery
  bool account();                         // false: too much is held in memory by all clients
  void reject(std::string_view code, std::string_view why);
  void fatal(std::string_view code, std::string_view why);  // and half-closes
  void half_close();
  // `more`: further answers may be ready in this turn; those go out together.
  void write(std::initializer_list<std::string_view> parts, bool more = false);
  std::size_t unsent() const { return out_.size() + gathered_.size(); }

  net::Loop& loop_;
  Dispatcher& dispatcher_;
  SessionOwner& owner_;
  net::Fd fd_;
  std::uint32_t number_, secret_;
  net::InBuffer in_;
  net::OutBuffer out_;
  std::string gathered_;  // answers of this turn, not yet handed to the socket
  bool started_ = false, skipping_ = false, waiting_ = false, closing_ = false, processing_ = false;
  bool paused_ = false;    // reading stopped at a limit
  bool refusing_ = false;  // shutdown: new requests are not taken
  // Requests tell how long their clients wait from when they sent them, so it counts since when input may
  // have waited to be read. caught_up_: all of it was read at the last look; else unread_since_ says.
  bool caught_up_ = false;
  bool held_back_ = false;  // reading stopped at a limit since the command that is not whole began
  Micros unread_since_;
  std::optional<Micros> input_since_;  // of what was read and is not yet taken as commands
  bool commanded_ = false, draining_ = false;
  std::uint64_t later_in_ = 0, turn_ = ~0ULL;  // that of the two shares below
  int first_messages_ = 0, commands_left_ = 0;
  std::size_t bytes_left_ = 0;
  std::size_t counted_ = 0;  // what buffered() knows of
  std::size_t drained_ = 0;
  Micros born_;
  std::optional<Micros> stuck_by_;  // until when the client must take something of its answers
  std::optional<Micros> begun_;     // when the command that is not yet whole began
  net::Loop::TimerId timer_ = net::Loop::kNoTimer;
  Micros timer_at_{0};
  std::deque<std::unique_ptr<Slot>> queue_;  // in the order of the commands
  std::uint64_t consumed_ = 0;               // of the stream: where in_ begins
  std::size_t parsed_ = 0;                   // of in_: what belongs to the queue
  std::size_t message_ = 0;                  // the size of the one being taken
  std::size_t answers_ = 0;                  // bytes that wait in the queue
  bool ended_ = false;                       // nothing more is taken; the queue's last slot ends it
  bool blocked_ = false;                     // the next command waits for one before it
  std::optional<Micros> blocked_since_;
  Micros idle_since_{0};
};

}  // namespace database_proxy::proxy
