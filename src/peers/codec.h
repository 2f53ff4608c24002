// Messages between daemons: frames of a length (4 bytes, big-endian) and an object in CBOR. The object's "t"
// says what it is. Unknown kinds and unknown keys are passed over, so that two versions can stand side by
// side. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "consensus/raft.h"

namespace database_proxy::peers {

using nlohmann::json;

// Raised where a change is not understood by those before; a greeting tells ours and the least we speak.
constexpr int kVersion = 1, kLeastVersion = 1;
// Of one frame: a list of 10,000 servers is 2 MB; whoever announces more is no peer.
constexpr std::size_t kLongestFrame = 16 << 20;

enum class FrameParse { kOk, kMore, kBad };
// On kOk `size` bytes of the input are done with.
FrameParse parse_frame(std::string_view in, json* message, std::size_t* size);
std::string frame(const json& message);

json bytes_of(std::string_view text);         // as a CBOR byte string
std::string text_of_bytes(const json& json);  // throws json::exception

std::string encode_entry(const consensus::Entry& entry);
std::optional<consensus::Entry> decode_entry(std::string_view text);
std::string encode_snapshot(const consensus::Snapshot& snapshot);
consensus::SnapshotPtr decode_snapshot(std::string_view text);  // nullptr: spoilt

json raft_to_json(const consensus::Message& message);
std::optional<consensus::Message> raft_from_json(const json& json);

}  // namespace database_proxy::peers
