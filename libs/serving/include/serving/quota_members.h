/// \file
/// What a gateway knows of the other gateways that share quotas with it: how
/// many may be admitting, who confirmed which message, and which part of every
/// quota this gateway owns.
#ifndef LIMPETBRIDGE_SERVING_QUOTA_MEMBERS_H
#define LIMPETBRIDGE_SERVING_QUOTA_MEMBERS_H

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace limpetbridge::serving {

/// Another gateway that may be admitting.
struct quota_member {
  bool Listed = false; ///< In the newest list of gateways.
  time_point SeenAt;   ///< Last listed or heard.
  std::uint64_t Incarnation = 0;
  /// The process had been forgotten, so that what it lent before is not known.
  bool Returned = false;
  std::uint64_t Number = 0;          ///< Newest message that was processed.
  std::optional<time_point> HeardAt; ///< When it was.
  std::uint32_t Members = 0;         ///< That it reported.
  std::uint64_t Confirmed = 0;       ///< Newest of our messages it processed.
  std::optional<time_point> ConfirmedAt; ///< When that one was sent.
  /// Its newest message confirmed this process, see quota_message::Settled.
  std::uint64_t Settled = 0;
  /// Numbers and times of the messages to it within the term of a loan.
  std::deque<std::pair<std::uint64_t, time_point>> Sent;
  /// Workspaces with demand of it, or loans to or from it.
  std::set<workspace_name> Workspaces;
};

/// Head of a message, see quota_message.
struct quota_message_head {
  std::uint64_t Incarnation = 0;
  std::uint64_t Number = 0;
  std::uint64_t HeardIncarnation = 0;
  std::uint64_t HeardNumber = 0;
  std::uint32_t Members = 0;
  std::uint64_t Settled = 0;
};

/// The gateways that share quotas.
class quota_members {
public:
  quota_members(instance_name Self, std::uint64_t Incarnation);

  /// Sets the gateways that are listed.
  auto setListed(const std::set<instance_name> &Listed, time_point Now) -> void;

  /// What a message tells apart from its contents.
  struct heard {
    bool NewIncarnation = false; ///< The sender's process was not known.
    /// When the newest message that the sender had processed was sent, if it is
    /// known.
    std::optional<time_point> RepliesTo;
  };
  /// \returns none if the message is to be ignored: it is old, was processed
  /// before, or is malformed.
  [[nodiscard]] auto receive(const instance_name &From,
                             const quota_message_head &Head, time_point Now)
      -> std::optional<heard>;
  /// Head of the next message to \p To.
  /// \param HoldsLoans something that \p To lent is in use here.
  [[nodiscard]] auto send(const instance_name &To, bool HoldsLoans,
                          time_point Now) -> quota_message_head;

  /// Follows the time; cheap if called often.
  auto update(time_point Now) -> void;

  /// The part of every quota that this gateway owns, without loans.
  [[nodiscard]] auto base() const -> double;
  /// Since when that part has been growing from nothing.
  [[nodiscard]] auto baseSince() const -> std::optional<time_point> {
    return BaseSince;
  }
  /// Gateways that may be admitting, this one included.
  [[nodiscard]] auto count() const -> std::uint32_t { return Count; }
  /// Term of the loans that are sent with Reported.
  [[nodiscard]] auto term() const -> duration { return termFor(Reported); }
  /// Term of the loans of a gateway that reports \p Members.
  [[nodiscard]] static auto termFor(std::uint32_t Members) -> duration;

  /// Both sides have heard of each other within the last \p Age.
  [[nodiscard]] auto isInContact(const quota_member &Member, duration Age,
                                 time_point Now) const -> bool;
  [[nodiscard]] auto find(const instance_name &Name) -> quota_member *;
  [[nodiscard]] auto all() const
      -> const std::map<instance_name, quota_member> & {
    return Members;
  }

private:
  enum class ownership : std::uint8_t {
    None,    ///< It has just started.
    Reduced, ///< Others may not count it.
    Full
  };

  [[nodiscard]] auto counts(const quota_member &Member, time_point Now) const
      -> bool;
  [[nodiscard]] auto mayStart(time_point Now) const -> bool;
  [[nodiscard]] auto areLoansSettled(time_point Now) const -> bool;
  [[nodiscard]] auto hashNames() const -> std::uint64_t;
  auto updateReported(std::uint32_t Own, time_point Now) -> void;
  auto updateOwnership(std::uint32_t Contacts, time_point Now) -> void;

  instance_name Self;
  std::uint64_t Incarnation = 0;
  std::uint64_t LastNumber = 0;
  std::map<instance_name, quota_member> Members;
  std::map<instance_name, std::uint64_t> Forgotten; ///< Incarnations.
  std::optional<time_point> StartedAt;              ///< First list.
  std::optional<time_point> ListedAt; ///< Last list with this gateway in it.
  std::optional<time_point> UpdatedAt;
  std::optional<time_point> BaseSince;
  ownership Ownership = ownership::None;
  std::uint64_t NamesHash = 0; ///< Of the gateways that count here.
  time_point NamesSince;       ///< When these last changed.
  std::uint32_t Own = 1;       ///< Gateways that count here.
  std::uint32_t Count = 1;     ///< The same, or more if others count more.
  std::uint32_t Reported = 1;  ///< Of Own; all loans in force fit to it.
  std::uint32_t Pending = 1;   ///< Will be reported at PendingUntil.
  std::optional<time_point> PendingUntil;
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_QUOTA_MEMBERS_H
