/// \file
/// Configuration state of a node: the catalogue in force, reads of newer
/// revisions, and operators' commands in progress.
#ifndef LIMPETBRIDGE_CORE_CONFIGURATION_H
#define LIMPETBRIDGE_CORE_CONFIGURATION_H

#include "core/events.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace limpetbridge {

/// Purpose of a store request by the configuration module.
enum class config_read : std::uint8_t {
  Head,     ///< Number of the newest revision.
  Changes,  ///< Changes that are newer than the current revision.
  Snapshot, ///< A recent snapshot, read once at the start.
  Command   ///< A table request of an operator's command.
};

/// Step of an operator's command.
enum class command_phase : std::uint8_t {
  Reading,    ///< Reads head row and change id before the next write.
  Writing,    ///< The transaction was sent; its reply is awaited.
  Propagating ///< Accepted; other entries are still applying the change.
};

/// An operator's command in progress.
struct pending_command {
  command_arrived Command;
  command_phase Phase = command_phase::Reading;
  revision BaseRevision;     ///< Current here when the command arrived.
  revision Accepted;         ///< Revision that the change created.
  bool MaybeWritten = false; ///< A write got no answer and may take effect.
  std::uint64_t WrittenAgainst = 0;       ///< Head version it required.
  std::set<instance_name> Unacknowledged; ///< Entries yet to acknowledge it.
  time_point RetryAt;         ///< When to read, or to send the changes, again.
  bool AwaitingReply = false; ///< A table request has no reply yet.
  time_point PropagationDeadline; ///< The operator is answered then at latest.
};

/// A table or object request without a reply yet.
struct pending_read {
  config_read Purpose = config_read::Head;
  std::uint64_t Command = 0; ///< Number of the command, when for one.
};

/// Configuration state of a node.
struct configuration_state {
  std::shared_ptr<const catalogue> Current = std::make_shared<catalogue>();
  /// Newest changes, to send to peers that lag.
  std::deque<change> RecentChanges;
  bool Loaded = false;       ///< Has caught up with the store or a peer once.
  bool SnapshotRead = false; ///< The object store answered the first read.
  std::uint64_t HeadVersion = 0; ///< Version of the head row when last read.
  revision Head;                 ///< Highest revision known to exist.
  std::map<ticket, pending_read> Reads;
  std::map<std::uint64_t, pending_command> Commands;
  time_point NextPoll;
  time_point FetchRetryAt; ///< Earliest next fetch from a peer.
  time_point InForceSince; ///< When the current revision was applied here.
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_CONFIGURATION_H
