// CBOR helpers for the codecs in this directory.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace database_proxy::ownership {

// Returns `value` encoded as CBOR.
inline std::string to_cbor(const nlohmann::json& value) {
  std::string out;
  nlohmann::json::to_cbor(value, out);
  return out;
}

// Returns `text` as a CBOR byte string. Unlike a JSON string, which must be UTF-8, it may contain any bytes.
inline nlohmann::json::binary_t to_bytes(const std::string& text) {
  return nlohmann::json::binary_t(std::vector<std::uint8_t>(text.begin(), text.end()));
}

// Returns the bytes of a CBOR byte string. Throws nlohmann::json::exception if `value` is not a byte string.
inline std::string text_of_bytes(const nlohmann::json& value) {
  const auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

}  // namespace database_proxy::ownership
