// A voter's directory: its identity, and the log, term, vote and snapshot of its consensus.
//
// open() runs before the group's thread starts and blocks for the disk. write() never does: batches go to a
// thread of the store, in order, each whole or not at all. The first write that fails is the last one.
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
  // Starts consensus with the directory's content. Throws std::invalid_argument for a state that cannot be;
  // the directory then counts as corrupt.
  using StartConsensus = std::function<void(consensus::NodeId id, consensus::PersistentState state)>;
  // In the store's thread: all writes up to `number` are durable, or `error` says why none will be any more.
  using WrittenCallback = state::StoreWriter::CompletionCallback;

  explicit RaftStorage(NodeContext& context) : context_(context) {}

  // A corrupt directory is set aside: half of a memory is none, so the node begins anew, as another one, and
  // does not vote until an operator adds it again. Returns the entries of the log. Throws
  // std::runtime_error for a directory of another installation or in use.
  std::vector<consensus::Entry> open(const StartConsensus& start_consensus, WrittenCallback on_written);

  void write(std::uint64_t number, const consensus::Write& write);
  // Waits until all that was given to write() is written.
  void close() { writer_.reset(); }

 private:
  std::optional<std::vector<consensus::Entry>> load(const StartConsensus& start_consensus);
  std::optional<std::vector<consensus::Entry>> load_or_quarantine(const StartConsensus& start_consensus);
  consensus::NodeId read_identity(const std::string& identity) const;
  consensus::PersistentState read_state() const;
  consensus::NodeId create_identity();

  NodeContext& context_;
  std::unique_ptr<state::DurableStore> store_;  // until the writer takes it
  std::unique_ptr<state::StoreWriter> writer_;
};

}  // namespace database_proxy::group
