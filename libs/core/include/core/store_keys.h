/// \file
/// Keys of rows and objects in the platform's table and object store.
#ifndef LIMPETBRIDGE_CORE_STORE_KEYS_H
#define LIMPETBRIDGE_CORE_STORE_KEYS_H

#include "core/configuration.h"

#include <string>
#include <string_view>
#include <vector>

namespace limpetbridge {

/// The changes that bring a peer at \p From to the current revision: those
/// after \p From if all are still kept, else one snapshot.
[[nodiscard]] auto changesAfter(const configuration_state &State, revision From)
    -> std::vector<change>;

namespace store_keys {

/// Row with the number of the newest revision.
inline constexpr std::string_view Head = "config/head";
/// Rows of changes; the revision follows in twelve digits.
inline constexpr std::string_view ChangePrefix = "config/change/";
/// Rows that map a change id to its revision.
inline constexpr std::string_view ChangeIdPrefix = "config/id/";
/// Object with a recent snapshot.
inline constexpr std::string_view Snapshot = "config/snapshot";
/// Rows with the epoch and incarnation of the agent that controls a target.
inline constexpr std::string_view FencePrefix = "fence/";
/// Rows with load orders that a target may still execute.
inline constexpr std::string_view IntentPrefix = "intent/";
/// Rows with claims on idempotency keys.
inline constexpr std::string_view ClaimPrefix = "claim/";

/// Key of the row of one change.
[[nodiscard]] auto change(revision Revision) -> std::string;
/// Key of the row of one change id.
[[nodiscard]] auto changeId(const change_id &Id) -> std::string;
/// Parses a row's revision number; 0 if it has none.
[[nodiscard]] auto parseRevision(std::string_view Text) -> revision;

} // namespace store_keys

} // namespace limpetbridge

#endif // LIMPETBRIDGE_CORE_STORE_KEYS_H
