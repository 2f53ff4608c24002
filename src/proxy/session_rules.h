// The rules that turn a client's statement into a request or reject it before that. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "pg/statement.h"
#include "routing/decision_facade.h"

namespace database_proxy::proxy {

using routing::Micros;

// Limit of the unanswered requests of one connection; drivers pipeline fewer. Requests beyond it are rejected
// without being processed, because hundreds of requests of one client would crowd out all other clients.
constexpr std::size_t kMaxPipelinedRequests = 32;

// The ErrorResponse to a statement that does not become a request.
struct StatementError {
  std::string_view code;  // SQLSTATE
  std::string_view message;
};

// The type of the message with which a client ends its session.
constexpr char kTerminate = 'X';

// The error of a request that a process rejects because it shuts down: another process may serve a repeat.
constexpr StatementError kShuttingDown{"57P03", "the proxy is shutting down"};

// Checks that a read or write matches its request class and returns the error if it does not. nullptr: the
// class is not in the settings.
std::optional<StatementError> check_request_class(const pg::Statement& statement,
                                                  const routing::RequestClassInfo* request_class);

// The time by which the answer must be sent to a client that sent its statement at `sent_at`.
Micros answer_deadline(Micros sent_at, std::int64_t timeout_ms);

// Hashes the name of a row or session to the number that identifies it in the decision module.
std::uint64_t hash_of(std::string_view name);

// Makes the request for a statement that matches its request class. The request's id is not set.
routing::Request to_request(const pg::Statement& statement, const routing::RequestClassInfo& request_class,
                            Micros sent_at);

}  // namespace database_proxy::proxy
