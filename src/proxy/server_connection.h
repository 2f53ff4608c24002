// A connection to a data server, from the handshake on. It carries one request at a time.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "net/buffer.h"
#include "net/loop.h"
#include "net/socket.h"
#include "proxy/answer_reader.h"
#include "proxy/memory_budget.h"
#include "proxy/ports.h"
#include "proxy/statement_writer.h"

namespace database_proxy::proxy {

class ServerPool;

// A request or probe to be sent on a connection, with its deadlines.
struct ServerJob {
  bool is_probe = false;
  RequestId request = 0;  // 0 for a probe
  int attempt = 0;
  Micros started_at{0};
  Micros deadline{0};
  Micros start_by = Micros::max();   // latest time at which its writing may begin
  Micros arrive_by = Micros::max();  // latest time at which its last byte may arrive
  // Latest time at which its last byte may be sent: until then the server's data is known to be recent
  // enough.
  Micros fresh_until = Micros::max();
};

// Owned by its pool and used in the pool's thread only.
class ServerConnection : public net::Handler {
 public:
  ServerConnection(ServerPool& pool, std::string server);
  ~ServerConnection() override;
  void on_ready(std::uint32_t events) override;

 private:
  friend class ServerPool;
  // docs/design/lifecycles.md has the table of transitions. kEstablished: the handshake has just completed,
  // and the job is written at the end of this iteration.
  enum class State { kConnecting, kHandshake, kEstablished, kIdle, kBusy, kFinished };

  // Whether it carries no job, so that closing it loses nothing of one.
  bool owes_nothing() const { return fd_ && !job_ && is_reusable_; }
  // Starts to connect. On failure, returns false and sets `error` to the errno.
  bool open(const net::Address& address, int* error);
  // Writes the job, on a new connection after the handshake. Returns false if the connection was idle and is
  // found unusable; no byte of the job was sent.
  bool begin(const ServerJob& job);
  bool write_job();
  std::optional<StatementWriter::Status> write_attempt();
  StatementWriter::Status write_probe();
  void on_writing_status(StatementWriter::Status status);
  void continue_writing();
  bool end_if_not_fresh();
  void end_before_writing();
  void limit_arrival(StatementWriter::Status status);
  void on_arrival_limit();
  void withdraw();
  void cancel_timers();
  void cancel_job_timers();
  void wait_until_established();
  ConnectionPhase phase() const;
  bool read_input(bool until_end);
  bool awaits_input() const;
  bool account_memory();
  void on_memory_shortage();
  void read_frames();
  bool has_begun_answer() const;
  bool may_pause() const;
  void limit_answer_pause();
  bool on_handshake_complete();
  void finish(routing::AttemptOutcome outcome, bool is_reusable);
  void report_probe(const ServerJob& job, bool answered);
  void report_attempt(const ServerJob& job, routing::AttemptOutcome outcome);
  void on_connection_error();
  void on_malformed_answer();

  ServerPool& pool_;
  std::string server_;
  net::Fd fd_;
  State state_ = State::kConnecting;
  net::InBuffer in_;
  StatementWriter writer_;
  std::optional<ServerJob> job_;
  net::Loop::TimerId job_timer_ = net::Loop::kNoTimer;
  net::Loop::TimerId writing_timer_ = net::Loop::kNoTimer;  // while the writer awaits the server
  net::Loop::TimerId arrival_timer_ = net::Loop::kNoTimer;
  net::Loop::TimerId idle_timer_ = net::Loop::kNoTimer;
  bool is_written_ = false;   // the job's last byte was sent, so it may have run
  bool was_used_ = false;     // an earlier job was written on this connection, or could have been
  bool is_reusable_ = false;  // may serve another job after its answer has been passed on
  bool peer_closed_ = false;
  std::size_t parsed_ = 0;  // bytes of the input that were parsed
  AnswerReader reader_;
  std::optional<MemoryBudget::Charge> charge_;  // of the input
  bool lacks_memory_ = false;                   // the answer was given up for want of memory
};

}  // namespace database_proxy::proxy
