/// \file
/// Decisions about connections to targets that are kept after an answer: which
/// ones are kept and for how long, which request may use one, and what their
/// losses teach. The connections themselves are held outside and known here by
/// number.
#ifndef LIMPETBRIDGE_SERVING_KEPT_CONNECTIONS_H
#define LIMPETBRIDGE_SERVING_KEPT_CONNECTIONS_H

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace limpetbridge::serving {

/// Identifies one rest of a connection within one gateway; higher numbers began
/// to rest later. 0 stands for a new connection.
using connection_number = std::uint64_t;

/// Settings of kept connections.
struct keep_policy {
  bool Enabled = false;
  /// Longest rest of a connection whose target names no time.
  duration DefaultIdle = milliseconds(2000);
  /// Part of the time that a target names in which a connection is not used.
  /// The time is in whole seconds and may have been rounded.
  duration Margin = milliseconds(500);
  /// Longest rest of a connection that a request uses which may run only once.
  duration SingleUseIdle = milliseconds(5000);
  std::size_t MaxIdle = 512; ///< Of all targets together.
  /// Cost of a new connection in the choice of a target, ms.
  double ConnectionCostMs = 0;
};

/// Why a kept connection was closed.
enum class close_reason : std::uint8_t {
  PeerClosed,    ///< The target closed or reset it while it rested.
  StrayBytes,    ///< Bytes arrived while it rested.
  Expired,       ///< It has rested as long as it may, or may not rest.
  TargetChanged, ///< The target leaves, has gone, or has started again.
  TargetLimit,   ///< This gateway's part of the target's connections is used.
  ProcessLimit,  ///< Too many connections rest.
  Stopped        ///< This gateway stops or keeps none any more.
};

/// Name of the reason in metrics.
[[nodiscard]] auto nameOf(close_reason Reason) -> std::string_view;

/// A connection that rests.
struct kept_connection {
  connection_number Number = 0;
  target_name Target;
  service_name Service;
  std::uint64_t Incarnation = 0; ///< Of the target.
  time_point RestingSince;
  time_point UsableUntil;
  time_point SingleUseUntil; ///< The same for requests with a bounded rest.
  /// Hashes of the ids of the last calls that it carried. A late second answer
  /// to one of them could not be told from that to a new call of the same id.
  std::vector<std::uint64_t> Calls;
};

/// A request that could use a kept connection.
struct connection_user {
  std::uint64_t Incarnation = 0; ///< Of the target that it is sent to.
  std::uint64_t Call = 0;        ///< Hash of its id.
  /// It may use only connections that began to rest after this; none: any.
  std::optional<time_point> RestingAfter;
};

/// When a connection that begins to rest at \p Now may be used at the latest;
/// \p Now if it may not be kept.
/// \param StatedMs time after which the target closes it, ms; none if it names
/// none.
[[nodiscard]] auto usableUntil(const keep_policy &Policy,
                               std::optional<std::int64_t> StatedMs,
                               time_point Now) -> time_point;

/// The same for requests that may run only once: at most half of the stated
/// time, as targets may close sooner than they said.
[[nodiscard]] auto singleUseUntil(const keep_policy &Policy,
                                  std::optional<std::int64_t> StatedMs,
                                  time_point Now) -> time_point;

/// Part of one gateway in the connections that a target accepts; at least 1.
/// \param Limit 0: the target has no limit.
[[nodiscard]] auto connectionShare(std::uint32_t Limit, std::size_t Gateways)
    -> std::size_t;

/// The connections that rest. Those that it gives up are returned and have to
/// be closed.
class kept_connections {
public:
  /// Adds a connection, and gives up the longest-rested one while more than
  /// \p MaxIdle rest.
  auto add(kept_connection Connection, std::size_t MaxIdle)
      -> std::vector<connection_number>;

  /// Takes the connection to \p Target that \p User uses: the one that rested
  /// least if its rest is bounded, else the one that rested longest, which
  /// leaves the others to requests with a bound.
  [[nodiscard]] auto take(const target_name &Target,
                          const connection_user &User, time_point Now)
      -> std::optional<kept_connection>;

  /// True if take would find one.
  [[nodiscard]] auto has(const target_name &Target, const connection_user &User,
                         time_point Now) const -> bool;

  /// Gives up the longest-rested connection to \p Target; 0 if there is none.
  auto removeOldest(const target_name &Target) -> connection_number;

  /// Forgets a connection. \returns none if it does not rest.
  auto remove(connection_number Number) -> std::optional<kept_connection>;

  /// Number of connections to \p Target that rest.
  [[nodiscard]] auto countAt(const target_name &Target) const -> std::size_t;

  [[nodiscard]] auto all() const
      -> const std::map<connection_number, kept_connection> & {
    return Connections;
  }

private:
  [[nodiscard]] auto find(const target_name &Target,
                          const connection_user &User, time_point Now) const
      -> const kept_connection *;

  std::map<connection_number, kept_connection> Connections;
  std::map<target_name, std::set<connection_number>> ByTarget;
};

/// What the losses of kept connections teach. Each one shortens the rest after
/// which requests that may run only once use a connection to the service; the
/// time recovers slowly.
class connection_trust {
public:
  /// Longest rest of a connection to \p Target that a request uses which may
  /// run only once; zero if it is to use none.
  [[nodiscard]] auto singleUseRest(const keep_policy &Policy,
                                   const service_name &Service,
                                   const target_name &Target,
                                   time_point Now) const -> duration;

  /// The target ended a connection that was in use, before any byte of an
  /// answer: halves the time. Connections to a service that end together count
  /// once, since a target that crashes ends all of its own. \returns true if it
  /// counted.
  auto recordLoss(const keep_policy &Policy, const kept_connection &Connection,
                  time_point Now) -> bool;
  /// The target closed a connection that rested, sooner than it had said:
  /// shortens the time to half of that rest, but at most to its half. \returns
  /// true if that changed it.
  auto recordEarlyClose(const keep_policy &Policy,
                        const kept_connection &Connection, time_point Now)
      -> bool;
  /// The target sent bytes that no request asked for. For a while no request
  /// that may run only once uses a kept connection to it.
  auto recordStrayBytes(const target_name &Target, time_point Now) -> void;
  /// An answer of the service named no call. On a kept connection it could not
  /// be told from a late answer to another call, so requests that may run only
  /// once use none to the service for a while.
  auto recordUnnamedAnswer(const service_name &Service, time_point Now) -> void;

  /// Forgets what does not count any more.
  auto expire(time_point Now) -> void;

private:
  struct lesson {
    duration Rest = duration::zero(); ///< The time that was left at LearnedAt.
    time_point LearnedAt;
  };
  [[nodiscard]] auto recoveredRest(const keep_policy &Policy,
                                   const service_name &Service,
                                   time_point Now) const -> duration;
  auto learn(const keep_policy &Policy, const kept_connection &Connection,
             duration Rest, time_point Now) -> bool;

  std::map<service_name, lesson> Lessons;
  std::map<service_name, time_point> UnnamedUntil;
  std::map<target_name, time_point> StrayUntil;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_KEPT_CONNECTIONS_H
