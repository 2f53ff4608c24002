// The rules by which a client's statement becomes a request, or is rejected before it is one. No I/O, no
// clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "pg/statement.h"
#include "routing/decision_facade.h"

namespace database_proxy::proxy {

using routing::Micros;

// Requests of one connection that may be open at once, which is more than a driver sends ahead. More are
// rejected untouched, or one client's hundreds would crowd out all others.
constexpr std::size_t kMaxPipelinedRequests = 32;

// An ErrorResponse that a statement gets instead of becoming a request.
struct StatementError {
  std::string_view code;  // SQLSTATE
  std::string_view message;
};

// Whether a read or write fits its class; nullptr: the settings know no such class. nullopt: it does.
std::optional<StatementError> check_request_class(const pg::Statement& statement,
                                                  const routing::RequestClassInfo* request_class);

// By when the answer must be on its way to a client that sent its statement at `sent_at`.
Micros answer_deadline(Micros sent_at, std::int64_t timeout_ms);

// Rows and sessions are named by text; the module knows them by number.
std::uint64_t hash_of(std::string_view name);

// The request of a statement that fits its class, without its id.
routing::Request to_request(const pg::Statement& statement, const routing::RequestClassInfo& request_class,
                            Micros sent_at);

}  // namespace database_proxy::proxy
