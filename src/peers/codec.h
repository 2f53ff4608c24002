// Frames of the messages between nodes, and the encoding of consensus messages, log entries and snapshots;
// the log on disk stores entries and snapshots in the same encoding. A frame is a length (4 bytes,
// big-endian) followed by a CBOR object, whose key "t" names the type of the message. Unknown types and keys
// are ignored, so that two versions can run side by side. No I/O.
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

// Versions of the messages between nodes. kVersion is raised for a change that older nodes do not understand;
// kMinVersion is the oldest version that this node still understands. The greeting carries both.
constexpr int kVersion = 1;
constexpr int kMinVersion = 1;
// Maximum length of the object in a frame, in bytes. An endpoint list of 10,000 servers takes 2 MB, so a
// sender that announces more than the maximum is not a peer.
constexpr std::size_t kMaxFrameBytes = 16 << 20;

// kMore: the frame is not complete yet. kBad: the input is not a frame, and the connection is unusable.
enum class FrameParse { kOk, kMore, kBad };
// Parses the frame at the beginning of `input`. On kOk the frame is the first `size` bytes of the input, and
// `message` has a string under "t".
FrameParse parse_frame(std::string_view input, json* message, std::size_t* size);
// Returns the frame of `message`: its length and the CBOR object.
std::string frame(const json& message);

// Convert a text to a CBOR byte string and back. text_of_bytes throws json::exception for any other value.
json bytes_of(std::string_view text);
std::string text_of_bytes(const json& value);

std::string encode_entry(const consensus::Entry& entry);
// Returns nullopt for a malformed text.
std::optional<consensus::Entry> decode_entry(std::string_view text);
std::string encode_snapshot(const consensus::Snapshot& snapshot);
// Returns nullptr for a malformed text.
consensus::SnapshotPtr decode_snapshot(std::string_view text);

json raft_to_json(const consensus::Message& message);
// Returns nullopt for a message that is malformed or of a kind that only a newer version knows.
std::optional<consensus::Message> raft_from_json(const json& object);

}  // namespace database_proxy::peers
