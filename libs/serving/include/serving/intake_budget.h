/// \file
/// Bounds what a process holds for its callers, in memory and in connections:
/// decides who may hold more, who waits, and who is ended.
///
/// The load that it answers: callers that are not under control. Many of them
/// send bodies that stop short of their end, in any chunks, or beyond the
/// limit; send requests one after the other and read no answer; or open
/// connections and send half a head. Without a bound on their sum the process
/// runs out of memory or of descriptors, and all its callers lose.
///
/// Nobody reserves room that is not used. Requests up to a small size use all
/// of the room, larger ones leave a reserve. Of the large bodies that are being
/// read, the oldest can always be completed: the others grow only as far as
/// they leave the room that it still needs. So no two bodies wait for each
/// other, however many have begun. Under pressure, those are ended first that
/// do not get on, then the largest.
#ifndef LIMPETBRIDGE_SERVING_INTAKE_BUDGET_H
#define LIMPETBRIDGE_SERVING_INTAKE_BUDGET_H

#include "base/time.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace limpetbridge::serving {

/// What a connection does.
enum class intake_phase : std::uint8_t {
  New,     ///< Waits for its first request.
  Idle,    ///< Waits for another request.
  Head,    ///< The head of a request arrives.
  Body,    ///< Its body arrives.
  Serving, ///< The request has arrived, and is not answered.
  Writing  ///< The caller takes its answer more slowly than it comes.
};

/// The listener that a connection came by. Each has a limit of its own, so that
/// a crowd at one of them does not close the others.
enum class intake_group : std::uint8_t {
  Callers,
  Readiness,
  Metrics,
  Peers,
  Link
};
inline constexpr std::size_t IntakeGroupCount = 5;

/// Name of the group in metrics and logs.
[[nodiscard]] auto nameOf(intake_group Group) -> std::string_view;

/// How a connection is ended.
enum class intake_end : std::uint8_t {
  Idle,       ///< Closed; it carries no request.
  TooSlow,    ///< 408: the request came too slowly while others waited.
  Overloaded, ///< 503: there is no room for the request.
  Unread      ///< Reset: the caller does not read its answer.
};

inline constexpr std::size_t IntakeEndCount = 4;

/// Name of the end in metrics and logs.
[[nodiscard]] auto nameOf(intake_end End) -> std::string_view;

/// Limits of a process.
struct intake_options {
  /// Sum of what is held.
  std::size_t LimitBytes = std::size_t{64} << 20U;
  /// Part of it that only small requests use.
  std::size_t ReserveBytes = std::size_t{16} << 20U;
  /// Largest connection with its request that counts as small.
  std::size_t SmallBytes = std::size_t{128} << 10U;
  /// Time without progress after which a connection is ended if others wait.
  duration StallTime = seconds(1);
  /// Bytes that count as progress; fewer in StallTime do not.
  std::uint64_t ProgressBytes = std::uint64_t{16} << 10U;
  /// Longest wait for room.
  duration MaxWait = seconds(2);
  std::array<std::size_t, IntakeGroupCount> MaxConnections = {};
};

/// What a connection holds.
struct intake_holding {
  intake_phase Phase = intake_phase::New;
  std::size_t Bytes = 0; ///< In memory, by capacity.
  /// The same when the request that is being read is complete, at most.
  std::size_t LargestBytes = 0;
  /// Received and sent since the connection was opened.
  std::uint64_t MovedBytes = 0;
};

/// A connection.
using intake_id = std::uint64_t;

/// A connection that has to be ended.
struct intake_ending {
  intake_id Id = 0;
  intake_end End = intake_end::Idle;
};

/// The connections of a process. Not thread safe.
class intake_budget {
public:
  explicit intake_budget(const intake_options &BudgetOptions);

  /// Takes over changed limits; what is held stays.
  auto setOptions(const intake_options &Changed) -> void { Options = Changed; }

  /// True if one more connection of \p Group fits.
  [[nodiscard]] auto mayOpen(intake_group Group) const -> bool;
  /// The connections to end so that others of \p Group can be opened: idle ones
  /// first, then those that do not get on. Empty if all get on.
  [[nodiscard]] auto endForConnection(intake_group Group, time_point Now)
      -> std::vector<intake_ending>;

  auto open(intake_group Group, time_point Now) -> intake_id;
  auto close(intake_id Id) -> void;
  /// Records what the connection holds now.
  auto update(intake_id Id, const intake_holding &Holding, time_point Now)
      -> void;
  /// Asks whether the connection may hold \p Bytes in all.
  /// \returns false if it has to wait until admitWaiting names it.
  auto requestRoom(intake_id Id, std::size_t Bytes, time_point Now) -> bool;

  /// The connections that have waited and may go on, in this order.
  [[nodiscard]] auto admitWaiting(time_point Now) -> std::vector<intake_id>;
  /// The connections that have to be ended because others wait for room.
  /// Names each once.
  [[nodiscard]] auto endForRoom(time_point Now) -> std::vector<intake_ending>;

  [[nodiscard]] auto heldBytes() const -> std::size_t { return Held; }
  [[nodiscard]] auto waitingCount() const -> std::size_t {
    return Waiting.size();
  }
  [[nodiscard]] auto connectionCount(intake_group Group) const -> std::size_t {
    return Counts[static_cast<std::size_t>(Group)];
  }

private:
  /// Place in the queue for room: small requests, then large ones that have
  /// begun to grow, then the other large ones.
  using place = std::pair<int, std::uint64_t>;

  struct connection {
    intake_group Group = intake_group::Callers;
    intake_holding Holding;
    std::size_t Granted = 0;     ///< May be held, and is not yet.
    std::uint64_t Admission = 0; ///< Order among large bodies; 0: none.
    std::uint64_t MovedMark = 0; ///< MovedBytes at the last progress.
    time_point ProgressAt;
    std::size_t Wanted = 0; ///< Bytes that it waits for; 0: it does not wait.
    place Place;            ///< If it waits.
    time_point WaitsSince;  ///< If it waits.
    bool Ending = false;    ///< It was named by endFor*.

    [[nodiscard]] auto counted() const -> std::size_t {
      return std::max(Holding.Bytes, Granted);
    }
    [[nodiscard]] auto missing() const -> std::size_t {
      return Wanted > counted() ? Wanted - counted() : 0;
    }
  };
  using connections = std::map<intake_id, connection>;

  auto count(connection &Connection, const intake_holding &Holding,
             std::size_t Granted) -> void;
  [[nodiscard]] auto isLarge(std::size_t Bytes) const -> bool {
    return Bytes > Options.SmallBytes;
  }
  [[nodiscard]] auto fits(const connection &Connection, std::size_t Bytes) const
      -> bool;
  auto grant(intake_id Id, connection &Connection, std::size_t Bytes) -> void;
  auto stopWaiting(connection &Connection) -> void;
  auto leaveLarge(connection &Connection) -> void;
  /// How the connection is ended if it does not get on; none if it does.
  [[nodiscard]] auto endOfStalled(const connection &Connection,
                                  time_point Now) const
      -> std::optional<intake_end>;
  /// Connections of \p Group, or of all, that do not get on, the longest first.
  [[nodiscard]] auto findStalled(std::optional<intake_group> Group,
                                 time_point Now) const
      -> std::vector<intake_ending>;
  /// The same of those that wait for another request.
  [[nodiscard]] auto findIdle(std::optional<intake_group> Group) const
      -> std::vector<intake_ending>;
  /// Large bodies that are being read, the largest first.
  [[nodiscard]] auto findLargest() const -> std::vector<intake_ending>;
  /// Adds \p Candidates to \p Endings until these hold \p Needed bytes.
  auto endSome(const std::vector<intake_ending> &Candidates, std::size_t Needed,
               std::vector<intake_ending> &Endings) -> void;
  /// Bytes of the connections that have to end.
  [[nodiscard]] auto endingBytes() const -> std::size_t;

  intake_options Options;
  connections Connections;
  intake_id LastId = 0;
  std::uint64_t LastPlace = 0;
  std::size_t Held = 0;
  std::array<std::size_t, IntakeGroupCount> Counts = {};
  std::map<std::uint64_t, intake_id> LargeBodies; ///< Being read, by admission.
  std::map<place, intake_id> Waiting;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_INTAKE_BUDGET_H
