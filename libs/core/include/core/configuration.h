/// \file
/// State of configuration at a node: the catalogue in force, the way to newer
/// revisions, and operators' commands under way.
#ifndef LIMPETBRIDGE_CORE_CONFIGURATION_H
#define LIMPETBRIDGE_CORE_CONFIGURATION_H

#include "core/events.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace limpetbridge {

/// What a read of the store on behalf of configuration is for.
enum class config_read : std::uint8_t { Head, Tail, Snapshot, Command };

/// Step of an operator's command.
enum class command_phase : std::uint8_t {
  Reading,  ///< Reads head and change id; nothing written in this round.
  Writing,  ///< The transaction is at the table.
  Spreading ///< Accepted; other entries are taking it in force.
};

/// An operator's command under way.
struct pending_command {
  command_arrived Command;
  command_phase Phase = command_phase::Reading;
  revision Base;                    ///< Revision that the operator could see.
  revision Accepted;                ///< Revision that the change made.
  bool MaybeWritten = false;        ///< A write went unanswered.
  std::uint64_t WrittenAgainst = 0; ///< Head row version of that write.
  std::set<instance_name> Awaited;  ///< Entries that have not acknowledged.
  time_point NextTry;               ///< When to read again, after a failure.
  bool Waiting = false;             ///< A reply is awaited.
  time_point SpreadDeadline;
};

/// A read under way.
struct pending_read {
  config_read What = config_read::Head;
  std::uint64_t Command = 0; ///< For Command.
};

/// Configuration at this node.
struct configuration_state {
  std::shared_ptr<const catalogue> Current = std::make_shared<catalogue>();
  std::deque<change>
      RecentChanges;   ///< Latest changes, for peers that are behind.
  bool Loaded = false; ///< Caught up with the store or a peer once.
  bool SnapshotRead = false;
  std::uint64_t HeadVersion = 0; ///< Version of the head row when last read.
  revision Head;                 ///< Highest revision heard of.
  std::map<ticket, pending_read> Reads;
  std::map<std::uint64_t, pending_command> Commands;
  time_point NextPoll;
  time_point FetchRetryAt; ///< When another fetch from a peer may start.
  time_point InForceSince; ///< When the current revision came in force.
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_CONFIGURATION_H
