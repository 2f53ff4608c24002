// Parser of HTTP/1.1 responses, which takes a response in pieces as it arrives. No I/O.
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

// Reads one response. Input is consumed as it arrives and each byte is parsed once, however small the pieces.
class HttpResponseReader {
 public:
  // Reads more of the response from the beginning of `input`. Afterwards `*used` is the number of bytes that
  // are done with; the others are to be passed again, followed by more. `ended`: the peer has closed the
  // connection, which ends a body without a Content-Length.
  HttpParse read(std::string_view input, bool ended, std::size_t* used);

  // Whether a part of the response has been read.
  bool has_begun() const { return response_.size > 0; }
  // The response, complete after kOk.
  HttpResponse& response() { return response_; }
  // After kBad: the size of the body as far as it is known, if it is larger than kMaxListBytes; otherwise 0.
  std::size_t excessive_size() const { return excessive_size_; }

 private:
  enum class Stage { kHead, kSizedBody, kBodyUntilEnd, kChunkSize, kChunk, kChunkEnd, kTrailers };

  HttpParse read_stage(std::string_view input, bool ended, std::size_t* used);
  HttpParse read_head(std::string_view input, bool ended, std::size_t* used);
  HttpParse read_body(std::string_view input, std::size_t* used);
  HttpParse read_body_until_end(std::string_view input, bool ended, std::size_t* used);
  HttpParse read_chunk_size(std::string_view input, std::size_t* used);
  HttpParse read_chunk_end(std::string_view input, std::size_t* used);
  HttpParse read_trailer(std::string_view input, std::size_t* used);
  bool is_body_too_long(std::size_t size);

  Stage stage_ = Stage::kHead;
  HttpResponse response_;
  std::size_t missing_ = 0;  // bytes of the body or the chunk that have not been read
  std::size_t trailer_size_ = 0;
  std::size_t excessive_size_ = 0;
  bool is_complete_ = false;
};

// Parses the response at the beginning of `input` into `*response`, which is valid only after kOk. `ended` as
// in HttpResponseReader.
HttpParse parse_response(std::string_view input, bool ended, HttpResponse* response);

}  // namespace database_proxy::discovery
