// CBOR helpers of the codecs in this folder.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace database_proxy::ownership {

// Returns the CBOR form of `value`.
inline std::string to_cbor(const nlohmann::json& value) {
  std::string out;
  nlohmann::json::to_cbor(value, out);
  return out;
}

// Returns `text` as a CBOR byte string: it may hold any bytes, and JSON strings must be UTF-8.
inline nlohmann::json::binary_t to_bytes(const std::string& text) {
  return nlohmann::json::binary_t(std::vector<std::uint8_t>(text.begin(), text.end()));
}

// Returns the text of a byte string. Throws nlohmann::json::exception if `value` is none.
inline std::string text_of_bytes(const nlohmann::json& value) {
  const auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

}  // namespace database_proxy::ownership
