// For the codecs in this folder: what the JSON library throws becomes the codecs' own error, so that no
// caller needs to know the library.
#pragma once

#include <nlohmann/json.hpp>

#include "peers/encoded_message.h"

namespace database_proxy::peers {

template <class Decode>
auto decode_guarded(const Decode& decode) {
  try {
    return decode();
  } catch (const nlohmann::json::exception& e) {
    throw MalformedMessage(e.what());
  }
}

}  // namespace database_proxy::peers
