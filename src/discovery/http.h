// Responses of HTTP/1.1, parsed where they lie. No I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace database_proxy::discovery {

enum class HttpParse { kOk, kMore, kBad };

struct HttpResponse {
  int status = 0;
  std::string body;  // put together where it came in chunks
  bool keep_alive = true;
  std::size_t size = 0;  // bytes taken from the input
};

// `ended`: the peer has closed, which ends a body of no stated length.
HttpParse parse_response(std::string_view in, bool ended, HttpResponse* response);

}  // namespace database_proxy::discovery
