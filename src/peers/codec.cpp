#include "peers/codec.h"

#include <utility>
#include <vector>

namespace database_proxy::peers {
namespace {

namespace rc = consensus;

json entry_json(const rc::Entry& e) {
  return json::array({e.term, e.index, static_cast<int>(e.type), bytes_of(e.data)});
}
rc::Entry entry_of(const json& j) {
  rc::Entry e;
  e.term = j.at(0).get<rc::Term>();
  e.index = j.at(1).get<rc::Index>();
  int kind = j.at(2).get<int>();
  if (kind < 0 || kind > static_cast<int>(rc::EntryType::kCommand))
    kind = 0;  // of a newer version: does nothing
  e.type = static_cast<rc::EntryType>(kind);
  e.data = text_of_bytes(j.at(3));
  return e;
}
json snapshot_json(const rc::Snapshot& s) {
  return json::array({s.index, s.term, s.members.encode(), bytes_of(s.data)});
}
rc::SnapshotPtr snapshot_of(const json& j) {
  auto s = std::make_shared<rc::Snapshot>();
  s->index = j.at(0).get<rc::Index>();
  s->term = j.at(1).get<rc::Term>();
  auto members = rc::Membership::decode(j.at(2).get<std::string>());
  if (!members) return nullptr;
  s->members = *members;
  s->data = text_of_bytes(j.at(3));
  return s;
}
std::string cbor(const json& j) {
  std::string out;
  json::to_cbor(j, out);
  return out;
}

}  // namespace

json bytes_of(std::string_view text) {
  return json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}
std::string text_of_bytes(const json& j) {
  auto& b = j.get_binary();
  return std::string(b.begin(), b.end());
}

FrameParse parse_frame(std::string_view in, json* message, std::size_t* size) {
  if (in.size() < 4) return FrameParse::kMore;
  std::size_t length = 0;
  for (int i = 0; i < 4; ++i)
    length = length << 8 | static_cast<unsigned char>(in[static_cast<std::size_t>(i)]);
  if (length == 0 || length > kLongestFrame) return FrameParse::kBad;
  if (in.size() < 4 + length) return FrameParse::kMore;
  auto body = in.substr(4, length);
  *message = json::from_cbor(body.begin(), body.end(), true, false);
  if (message->is_discarded() || !message->is_object() || !message->contains("t") ||
      !message->at("t").is_string())
    return FrameParse::kBad;
  *size = 4 + length;
  return FrameParse::kOk;
}

std::string frame(const json& message) {
  std::string out(4, '\0');
  json::to_cbor(message, out);
  auto length = out.size() - 4;
  for (int i = 0; i < 4; ++i)
    out[static_cast<std::size_t>(i)] = static_cast<char>(length >> (24 - 8 * i) & 0xff);
  return out;
}

std::string encode_entry(const rc::Entry& entry) { return cbor(entry_json(entry)); }
std::optional<rc::Entry> decode_entry(std::string_view text) try {
  return entry_of(json::from_cbor(text.begin(), text.end()));
} catch (const json::exception&) {
  return std::nullopt;
}
std::string encode_snapshot(const rc::Snapshot& snapshot) { return cbor(snapshot_json(snapshot)); }
rc::SnapshotPtr decode_snapshot(std::string_view text) try {
  return snapshot_of(json::from_cbor(text.begin(), text.end()));
} catch (const json::exception&) {
  return nullptr;
}

json raft_to_json(const rc::Message& m) {
  json j = {{"t", "raft"}, {"k", static_cast<int>(m.type)}, {"from", m.from}, {"to", m.to}, {"term", m.term}};
  auto add = [&](const char* key, auto value) {
    if (value) j[key] = value;
  };
  add("i", m.index);
  add("lt", m.log_term);
  add("c", m.commit);
  add("ri", m.refused);
  add("no", m.reject);
  add("f", m.forced);
  add("r", m.round);
  if (!m.entries.empty()) {
    auto& list = j["e"] = json::array();
    for (auto& e : m.entries) list.push_back(entry_json(e));
  }
  if (m.snapshot) j["s"] = snapshot_json(*m.snapshot);
  return j;
}

std::optional<rc::Message> raft_from_json(const json& j) try {
  rc::Message m;
  int kind = j.at("k").get<int>();
  if (kind < 0 || kind > static_cast<int>(rc::Message::Type::kTimeoutNow)) return std::nullopt;
  m.type = static_cast<rc::Message::Type>(kind);
  m.from = j.at("from").get<rc::NodeId>();
  m.to = j.at("to").get<rc::NodeId>();
  m.term = j.at("term").get<rc::Term>();
  m.index = j.value("i", rc::Index{0});
  m.log_term = j.value("lt", rc::Term{0});
  m.commit = j.value("c", rc::Index{0});
  m.refused = j.value("ri", rc::Index{0});
  m.reject = j.value("no", false);
  m.forced = j.value("f", false);
  m.round = j.value("r", std::uint64_t{0});
  if (j.contains("e"))
    for (auto& e : j.at("e")) m.entries.push_back(entry_of(e));
  if (j.contains("s")) {
    m.snapshot = snapshot_of(j.at("s"));
    if (!m.snapshot) return std::nullopt;
  }
  return m;
} catch (const json::exception&) {
  return std::nullopt;
}

}  // namespace database_proxy::peers
