// Frames between daemons, and the transfer form of consensus, which is also what the log on disk holds. A
// frame is a length (4 bytes, big-endian) and an object in CBOR; the object's "t" names the message's type.
// Unknown types and keys are ignored, so that two versions can run side by side. No I/O.
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

// Of messages between daemons. kVersion is raised where a change is not understood by older nodes;
// kMinVersion is the oldest that this one still speaks. Both go out in the greeting.
constexpr int kVersion = 1;
constexpr int kMinVersion = 1;
// Bytes of one frame: a list of 10,000 servers has 2 MB. Whoever announces more is no peer.
constexpr std::size_t kMaxFrameBytes = 16 << 20;

enum class FrameParse { kOk, kMore, kBad };
// On kOk the frame is the first `size` bytes of the input, and `message` has a string under "t".
FrameParse parse_frame(std::string_view input, json* message, std::size_t* size);
std::string frame(const json& message);

// A CBOR byte string, and its content; the latter throws json::exception for anything else.
json bytes_of(std::string_view text);
std::string text_of_bytes(const json& value);

std::string encode_entry(const consensus::Entry& entry);
// nullopt: malformed.
std::optional<consensus::Entry> decode_entry(std::string_view text);
std::string encode_snapshot(const consensus::Snapshot& snapshot);
// nullptr: malformed.
consensus::SnapshotPtr decode_snapshot(std::string_view text);

json raft_to_json(const consensus::Message& message);
// nullopt: malformed, or of a kind that a newer version knows.
std::optional<consensus::Message> raft_from_json(const json& object);

}  // namespace database_proxy::peers
