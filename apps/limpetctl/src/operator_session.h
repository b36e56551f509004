/// \file
/// The operator tool's calls to entries and agents.
#ifndef LIMPETBRIDGE_OPERATOR_SESSION_H
#define LIMPETBRIDGE_OPERATOR_SESSION_H

#include "query/language.h"
#include "wire/operator_client.h"

#include <optional>
#include <string>

namespace limpetbridge {

/// Options of a session. Every command of the tool accepts them.
struct session_options {
  std::string Entry = "127.0.0.1:7300"; ///< Operator listener of an entry.
  std::string Token;                    ///< For the operator listener.
  std::string PeerToken;                ///< For the peer listeners.
  bool Json = false;
  std::optional<revision> IfRevision;
  std::string ChangeId; ///< Empty generates a new one.
  duration Timeout = seconds(10);
};

/// Sends requests to one entry, and to the instances that the entry lists.
class operator_session {
public:
  explicit operator_session(session_options Options);

  /// Runs a statement of the query and command language.
  /// \returns the text to print.
  [[nodiscard]] auto runStatement(const std::string &Statement)
      -> result<std::string>;

  /// Submits one change. Retries under the same change id when no answer came
  /// or the outcome is unknown; ChangeOutcomeUnknown after the last attempt.
  [[nodiscard]] auto submitChange(const std::vector<operation> &Operations)
      -> result<std::string>;

  /// Operations that lead from the declarations in force to those of \p File.
  /// \param Prune also withdraw declarations that File does not contain,
  /// except targets.
  [[nodiscard]] auto planFile(const std::string &File, bool Prune)
      -> result<std::vector<operation>>;

  /// The notes of all reachable instances, merged into causal order.
  [[nodiscard]] auto fetchTimeline(const note_filter &Filter)
      -> result<std::string>;

private:
  auto runShowQuery(const show_query &Query) -> result<std::string>;
  auto collectReport(const show_query &Query) -> result<report>;
  auto fetchAddresses(bool AgentsOnly) -> result<std::vector<std::string>>;
  auto fetchCatalogue() -> result<catalogue>;

  session_options Options;
  operator_client EntryClient;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_OPERATOR_SESSION_H
