/// \file
/// Packs reports of suspects into messages. A crash is charged to all parts of
/// a prompt, which may be thousands, so what is the same of many suspects is
/// sent once.
#ifndef LIMPETBRIDGE_SERVING_CRASH_MESSAGES_H
#define LIMPETBRIDGE_SERVING_CRASH_MESSAGES_H

#include "serving/crash_ledger.h"

#include <cstddef>
#include <map>
#include <vector>

namespace limpetbridge::serving {

/// Suspects of one kind of which the same is known.
struct suspect_group {
  suspect_report Known; ///< Its suspect is the first one.
  std::vector<std::uint64_t> Ids;
};

/// Groups \p Reports, in the order of their first members.
[[nodiscard]] auto groupSuspects(const std::vector<suspect_report> &Reports)
    -> std::vector<suspect_group>;

/// Decides what fits into one message of about one packet.
class crash_message_size {
public:
  /// \returns false if \p Report does not fit beside those that were added. The
  /// first one always fits.
  auto add(const suspect_report &Report) -> bool;

private:
  std::map<std::uint64_t, std::size_t> MembersOf; ///< By hash of what is known.
  std::size_t Suspects = 0;
  std::size_t Charges = 0;
};

/// Splits \p Reports into messages.
[[nodiscard]] auto splitReports(const std::vector<suspect_report> &Reports)
    -> std::vector<std::vector<suspect_report>>;

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_CRASH_MESSAGES_H
