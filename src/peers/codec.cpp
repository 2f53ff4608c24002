#include "peers/codec.h"

#include <utility>
#include <vector>

#include "peers/message_keys.h"

namespace database_proxy::peers {
namespace {

using consensus::Entry;
using consensus::EntryType;
using consensus::Index;
using consensus::Membership;
using consensus::Message;
using consensus::NodeId;
using consensus::Snapshot;
using consensus::SnapshotPtr;
using consensus::Term;

constexpr std::size_t kLengthBytes = 4;

// Keys of consensus messages. They are short, because these messages are most of the traffic between voters.
constexpr const char* kMessageKind = "k";
constexpr const char* kFrom = "from";
constexpr const char* kTo = "to";
constexpr const char* kMessageTerm = "term";
constexpr const char* kMessageIndex = "i";
constexpr const char* kLogTerm = "lt";
constexpr const char* kCommit = "c";
constexpr const char* kRejectedIndex = "ri";
constexpr const char* kReject = "no";
constexpr const char* kForced = "f";
constexpr const char* kRound = "r";
constexpr const char* kLogEntries = "e";
constexpr const char* kSnapshot = "s";

json entry_to_json(const Entry& entry) {
  return json::array({entry.term, entry.index, static_cast<int>(entry.type), bytes_of(entry.data)});
}

// Returns kNoOp, which has no effect, for a type of a newer version.
EntryType entry_type(int number) {
  bool is_known = number >= 0 && number <= static_cast<int>(EntryType::kCommand);
  return is_known ? static_cast<EntryType>(number) : EntryType::kNoOp;
}

Entry entry_from_json(const json& array) {
  Entry entry;
  entry.term = array.at(0).get<Term>();
  entry.index = array.at(1).get<Index>();
  entry.type = entry_type(array.at(2).get<int>());
  entry.data = text_of_bytes(array.at(3));
  return entry;
}

json snapshot_to_json(const Snapshot& snapshot) {
  return json::array({snapshot.index, snapshot.term, snapshot.members.encode(), bytes_of(snapshot.data)});
}

SnapshotPtr snapshot_from_json(const json& array) {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->index = array.at(0).get<Index>();
  snapshot->term = array.at(1).get<Term>();
  auto members = Membership::decode(array.at(2).get<std::string>());
  if (!members) return nullptr;
  snapshot->members = *members;
  snapshot->data = text_of_bytes(array.at(3));
  return snapshot;
}

std::string to_cbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

template <class Value>
void add_unless_zero(json* object, const char* name, Value value) {
  if (value) (*object)[name] = value;
}

}  // namespace

json bytes_of(std::string_view text) {
  return json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}

std::string text_of_bytes(const json& value) {
  auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

FrameParse parse_frame(std::string_view input, json* message, std::size_t* size) {
  if (input.size() < kLengthBytes) return FrameParse::kMore;
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) length = length << 8 | static_cast<unsigned char>(input[i]);
  if (length == 0 || length > kMaxFrameBytes) return FrameParse::kBad;
  if (input.size() < kLengthBytes + length) return FrameParse::kMore;
  auto body = input.substr(kLengthBytes, length);
  *message = json::from_cbor(body.begin(), body.end(), true, false);
  bool has_type = !message->is_discarded() && message->is_object() && message->contains(key::kType) &&
                  message->at(key::kType).is_string();
  if (!has_type) return FrameParse::kBad;
  *size = kLengthBytes + length;
  return FrameParse::kOk;
}

std::string frame(const json& message) {
  std::string bytes(kLengthBytes, '\0');
  json::to_cbor(message, bytes);
  auto length = bytes.size() - kLengthBytes;
  for (std::size_t i = 0; i < kLengthBytes; ++i)
    bytes[i] = static_cast<char>(length >> (8 * (kLengthBytes - 1 - i)) & 0xff);
  return bytes;
}

std::string encode_entry(const Entry& entry) { return to_cbor(entry_to_json(entry)); }

std::optional<Entry> decode_entry(std::string_view text) {
  try {
    return entry_from_json(json::from_cbor(text.begin(), text.end()));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string encode_snapshot(const Snapshot& snapshot) { return to_cbor(snapshot_to_json(snapshot)); }

SnapshotPtr decode_snapshot(std::string_view text) {
  try {
    return snapshot_from_json(json::from_cbor(text.begin(), text.end()));
  } catch (const json::exception&) {
    return nullptr;
  }
}

json raft_to_json(const Message& message) {
  json object = {{key::kType, wire_name(MessageType::kConsensus)},
                 {kMessageKind, static_cast<int>(message.type)},
                 {kFrom, message.from},
                 {kTo, message.to},
                 {kMessageTerm, message.term}};
  add_unless_zero(&object, kMessageIndex, message.index);
  add_unless_zero(&object, kLogTerm, message.log_term);
  add_unless_zero(&object, kCommit, message.commit);
  add_unless_zero(&object, kRejectedIndex, message.rejected_index);
  add_unless_zero(&object, kReject, message.reject);
  add_unless_zero(&object, kForced, message.forced);
  add_unless_zero(&object, kRound, message.round);
  if (!message.entries.empty()) {
    auto& entries = object[kLogEntries] = json::array();
    for (auto& entry : message.entries) entries.push_back(entry_to_json(entry));
  }
  if (message.snapshot) object[kSnapshot] = snapshot_to_json(*message.snapshot);
  return object;
}

std::optional<Message> raft_from_json(const json& object) {
  try {
    Message message;
    int kind = object.at(kMessageKind).get<int>();
    if (kind < 0 || kind > static_cast<int>(Message::Type::kTimeoutNow)) return std::nullopt;
    message.type = static_cast<Message::Type>(kind);
    message.from = object.at(kFrom).get<NodeId>();
    message.to = object.at(kTo).get<NodeId>();
    message.term = object.at(kMessageTerm).get<Term>();
    message.index = object.value(kMessageIndex, Index{0});
    message.log_term = object.value(kLogTerm, Term{0});
    message.commit = object.value(kCommit, Index{0});
    message.rejected_index = object.value(kRejectedIndex, Index{0});
    message.reject = object.value(kReject, false);
    message.forced = object.value(kForced, false);
    message.round = object.value(kRound, std::uint64_t{0});
    if (object.contains(kLogEntries))
      for (auto& entry : object.at(kLogEntries)) message.entries.push_back(entry_from_json(entry));
    if (object.contains(kSnapshot)) {
      message.snapshot = snapshot_from_json(object.at(kSnapshot));
      if (!message.snapshot) return std::nullopt;
    }
    return message;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace database_proxy::peers
