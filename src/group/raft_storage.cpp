#include "group/raft_storage.h"

#include <fmt/format.h>
#include <sys/random.h>

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "peers/codec.h"

namespace database_proxy::group {
namespace {

using nlohmann::json;

// The stored format. All versions of this program read these names and this version number.
constexpr int kStoreVersion = 1;
constexpr const char* kStoreName = "group";
constexpr const char* kIdentityKey = "identity";
constexpr const char* kHardStateKey = "raft/hard";
constexpr const char* kSnapshotKey = "raft/snapshot";
constexpr const char* kLogBegin = "raft/log/";
constexpr const char* kLogEnd = "raft/log0";  // the first key after all that begin with kLogBegin
constexpr const char* kInstallation = "installation";
constexpr const char* kNodeId = "id";
constexpr const char* kNodeName = "name";

// Keeps ids below 2^52, so that they stay exact in readers that store every number as a double.
constexpr int kIdShift = 12;

// Returns the key of a log entry. The index is big-endian, so that the store sorts the keys in log order.
std::string log_key(consensus::Index index) {
  std::string key = kLogBegin;
  for (int shift = 56; shift >= 0; shift -= 8) key.push_back(static_cast<char>(index >> shift & 0xff));
  return key;
}

std::string to_cbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

state::Batch to_batch(const consensus::Write& write) {
  state::Batch batch;
  if (write.hard_state)
    batch.changes.emplace_back(kHardStateKey,
                               to_cbor(json::array({write.hard_state->term, write.hard_state->vote})));
  if (write.snapshot) batch.changes.emplace_back(kSnapshotKey, peers::encode_snapshot(*write.snapshot));
  if (write.truncate_from) batch.removals.emplace_back(log_key(write.truncate_from), kLogEnd);
  if (write.drop_before) batch.removals.emplace_back(kLogBegin, log_key(write.drop_before));
  for (auto& entry : write.append)
    batch.changes.emplace_back(log_key(entry.index), peers::encode_entry(entry));
  return batch;
}

state::StoreError corrupt(const std::string& what) {
  return state::StoreError(state::StoreErrorCode::kCorrupt, what);
}

}  // namespace

std::vector<consensus::Entry> RaftStorage::open(const StartConsensus& start_consensus,
                                                WrittenCallback on_written) {
  auto entries = load_or_quarantine(start_consensus);
  if (!entries) start_consensus(create_identity(), {});
  writer_ = std::make_unique<state::StoreWriter>(std::move(store_), std::move(on_written));
  return std::move(entries).value_or(std::vector<consensus::Entry>());
}

void RaftStorage::write(std::uint64_t number, const consensus::Write& write) {
  writer_->write(number, to_batch(write));
}

// Returns nullopt if the directory has no identity yet; the store is then open and ready for a new one.
std::optional<std::vector<consensus::Entry>> RaftStorage::load_or_quarantine(
    const StartConsensus& start_consensus) {
  auto& directory = context_.options.directory;
  try {
    return load(start_consensus);
  } catch (const state::StoreError& e) {
    if (e.code != state::StoreErrorCode::kCorrupt) throw;
    store_.reset();
    auto quarantined_as = state::quarantine_corrupt_file(directory, kStoreName);
    context_.log(
        net::Level::kError,
        fmt::format(
            "its directory is corrupt ({}) and was set aside as {}; this node starts with a new identity",
            e.what(), quarantined_as));
  }
  store_ = state::open_store(directory, kStoreName, kStoreVersion);
  return std::nullopt;
}

std::optional<std::vector<consensus::Entry>> RaftStorage::load(const StartConsensus& start_consensus) {
  try {
    store_ = state::open_store(context_.options.directory, kStoreName, kStoreVersion);
    auto identity = store_->read(kIdentityKey);
    if (!identity) return std::nullopt;
    auto id = read_identity(*identity);
    auto state = read_state();
    start_consensus(id, state);
    return std::move(state.entries);
  } catch (const json::exception& e) {
    throw corrupt(e.what());
  } catch (const std::invalid_argument& e) {
    throw corrupt(e.what());
  }
}

consensus::NodeId RaftStorage::read_identity(const std::string& identity) const {
  auto object = json::from_cbor(identity);
  auto installation = object.at(kInstallation).get<std::string>();
  auto& options = context_.options;
  if (installation != options.installation)
    throw state::StoreError(state::StoreErrorCode::kForeign,
                            fmt::format("group.directory {} belongs to the installation '{}', not '{}'",
                                        options.directory, installation, options.installation));
  return object.at(kNodeId).get<consensus::NodeId>();
}

consensus::PersistentState RaftStorage::read_state() const {
  auto& directory = context_.options.directory;
  consensus::PersistentState state;
  if (auto text = store_->read(kHardStateKey)) {
    auto array = json::from_cbor(*text);
    state.hard_state = {array.at(0).get<consensus::Term>(), array.at(1).get<consensus::NodeId>()};
  }
  if (auto text = store_->read(kSnapshotKey)) {
    state.snapshot = peers::decode_snapshot(*text);
    if (!state.snapshot) throw corrupt(fmt::format("{}: its snapshot cannot be read", directory));
  }
  for (auto& [key, text] : store_->scan(kLogBegin, kLogEnd)) {
    auto entry = peers::decode_entry(text);
    if (!entry || log_key(entry->index) != key)
      throw corrupt(fmt::format("{}: an entry of its log cannot be read", directory));
    state.entries.push_back(std::move(*entry));
  }
  return state;
}

consensus::NodeId RaftStorage::create_identity() {
  consensus::NodeId id = consensus::kNoNode;
  while (id == consensus::kNoNode) {
    if (getrandom(&id, sizeof id, 0) != sizeof id)
      throw std::runtime_error("cannot read random bytes for the id of this node");
    id >>= kIdShift;
  }
  state::Batch first;
  first.changes.emplace_back(
      kIdentityKey,
      to_cbor({{kInstallation, context_.options.installation}, {kNodeId, id}, {kNodeName, context_.name()}}));
  store_->commit(first);
  return id;
}

}  // namespace database_proxy::group
