// One client connection that speaks PostgreSQL's protocol.
#pragma once

#include <string>

#include "net/buffer.h"
#include "net/loop.h"
#include "pg/statement.h"
#include "proxy/dispatcher.h"
#include "proxy/ports.h"

namespace linenwinch::proxy {

class ClientSession;

class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  virtual void session_closed(ClientSession* session) = 0;  // its descriptor is free already
  virtual void cancel_requested(std::uint32_t number, std::uint32_t secret) = 0;
};

class ClientSession : public net::Handler, public ClientPort {
 public:
  ClientSession(net::Loop& loop, Dispatcher& dispatcher, SessionOwner& owner, net::Fd fd,
                std::uint32_t number, std::uint32_t secret);
  ~ClientSession() override;

  bool start();  // false: it cannot be watched
  void on_ready(std::uint32_t events) override;
  void resume();  // parses on, where something had to wait
  // Between requests: nothing taken, nothing half read, nothing left to write.
  bool idle() const { return request_ == 0 && !waiting_ && in_.view().empty() && out_.empty(); }
  bool busy() const { return request_ != 0 || !out_.empty(); }
  // What a CancelRequest names this session by.
  std::uint32_t number() const { return number_; }
  std::uint32_t secret() const { return secret_; }
  void cancel();
  Micros idle_since() const { return idle_since_; }
  void close();
  void close_when_idle() { closing_ = true; }  // after what it still has to answer
  bool read_once();                            // looks for what has come unseen; false: closed by that

  Query query(Micros wait) override;
  void serve(const Answer& answer) override;
  void refuse(Micros retry_after) override;
  void fail(std::string_view why) override;

 private:
  void fill();
  void process();
  bool opening();  // the messages before the session; false: more is needed, or closed
  void command(const pg::Frame& frame);
  void run(std::string_view text);
  void answer(std::string_view message);  // and ReadyForQuery
  void reject(std::string_view code, std::string_view why);
  void fatal(std::string_view code, std::string_view why);
  void answered();
  void write(std::initializer_list<std::string_view> parts);

  net::Loop& loop_;
  Dispatcher& dispatcher_;
  SessionOwner& owner_;
  net::Fd fd_;
  std::uint32_t number_, secret_;
  net::InBuffer in_;
  net::OutBuffer out_;
  bool started_ = false, skipping_ = false, waiting_ = false, closing_ = false, processing_ = false;
  bool paused_ = false;    // reading stopped at the cap
  RequestId request_ = 0;  // the one that is out
  std::size_t taken_ = 0;  // bytes of its message, consumed once it is answered
  pg::Statement statement_;
  Micros idle_since_{0};
};

}  // namespace linenwinch::proxy
