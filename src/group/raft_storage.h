// A voter's directory: its identity, and the log, term, vote and snapshot of its consensus.
//
// open() runs before the group's thread starts and blocks on the disk. write() never blocks: the store's own
// thread writes the batches in order, each completely or not at all. After the first failed write no other is
// attempted.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/raft.h"
#include "group/node_context.h"
#include "state/store_writer.h"

namespace database_proxy::group {

// Owns the store of one directory.
class RaftStorage {
 public:
  // Starts consensus with the content of the directory. Throws std::invalid_argument for a state that no node
  // can have; the directory then counts as corrupt.
  using StartConsensus = std::function<void(consensus::NodeId id, consensus::PersistentState state)>;
  // Called in the store's thread. With an empty `error`, all writes up to `number` are durable; otherwise
  // `error` is the reason why this write and all later ones are not.
  using WrittenCallback = state::StoreWriter::CompletionCallback;

  explicit RaftStorage(NodeContext& context) : context_(context) {}

  // Opens the directory and starts consensus with its content. A corrupt directory is moved aside, because a
  // state that is only partly readable is as unsafe as none: the node starts empty with a new identity, and
  // does not vote until an operator adds it again. Returns the entries of the log. Throws std::runtime_error
  // for a directory that belongs to another installation or is in use.
  std::vector<consensus::Entry> open(const StartConsensus& start_consensus, WrittenCallback on_written);

  // Queues a write. Numbers rise from call to call.
  void write(std::uint64_t number, const consensus::Write& write);
  // Waits until everything passed to write() is written.
  void close() { writer_.reset(); }

 private:
  std::optional<std::vector<consensus::Entry>> load(const StartConsensus& start_consensus);
  std::optional<std::vector<consensus::Entry>> load_or_quarantine(const StartConsensus& start_consensus);
  consensus::NodeId read_identity(const std::string& identity) const;
  consensus::PersistentState read_state() const;
  consensus::NodeId create_identity();

  NodeContext& context_;
  std::unique_ptr<state::DurableStore> store_;  // until it is passed to the writer
  std::unique_ptr<state::StoreWriter> writer_;
};

}  // namespace database_proxy::group
