// Responses of HTTP/1.1, parsed from the bytes received so far. No I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace database_proxy::discovery {

// kMore: the response is not complete. kBad: it is malformed or too long, and never will be.
enum class HttpParse { kOk, kMore, kBad };

// One complete response.
struct HttpResponse {
  int status = 0;
  std::string body;        // joined where it came in chunks
  bool keep_alive = true;  // the connection may be used for the next request
  std::size_t size = 0;    // bytes taken from the input
};

// Parses the response at the beginning of `input` into `*response`, which is of use after kOk only. `ended`:
// the peer has closed the connection, which ends a body without a stated length.
HttpParse parse_response(std::string_view input, bool ended, HttpResponse* response);

}  // namespace database_proxy::discovery
