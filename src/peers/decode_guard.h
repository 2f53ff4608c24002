// For the codecs in this folder: converts exceptions of the JSON library to MalformedMessage, so that callers
// need not know the library.
#pragma once

#include <nlohmann/json.hpp>

#include "peers/encoded_message.h"

namespace database_proxy::peers {

// Returns the result of `decode`. Throws MalformedMessage if it throws an exception of the JSON library.
template <class Decode>
auto decode_guarded(const Decode& decode) {
  try {
    return decode();
  } catch (const nlohmann::json::exception& e) {
    throw MalformedMessage(e.what());
  }
}

}  // namespace database_proxy::peers
