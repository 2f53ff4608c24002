// Parser of HTTP/1.1 responses, run on the bytes received so far. No I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace database_proxy::discovery {

// Result of parsing. kMore: the response is incomplete so far. kBad: it is malformed or too long; further
// input does not help.
enum class HttpParse { kOk, kMore, kBad };

// One complete response.
struct HttpResponse {
  int status = 0;
  std::string body;        // with the chunked encoding removed
  bool keep_alive = true;  // the connection may be reused for the next request
  std::size_t size = 0;    // bytes of input that the response takes up
};

// Parses the response at the beginning of `input` into `*response`, which is valid only after kOk. `ended`:
// the peer has closed the connection, which ends a body without a Content-Length.
HttpParse parse_response(std::string_view input, bool ended, HttpResponse* response);

}  // namespace database_proxy::discovery
