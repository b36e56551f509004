/// \file
/// What the operator's tool does over the wire.
#ifndef LIMPETBRIDGE_OPERATOR_SESSION_H
#define LIMPETBRIDGE_OPERATOR_SESSION_H

#include "query/language.h"
#include "wire/operator_client.h"

#include <optional>
#include <string>

namespace limpetbridge {

/// Options that every command of the tool takes.
struct session_options {
  std::string Entry = "127.0.0.1:7300"; ///< Operator listener of an entry.
  std::string Token;                    ///< Of the operator listener.
  std::string PeerToken;                ///< Of the agents' listeners.
  bool Json = false;
  std::optional<revision> IfRevision;
  std::string ChangeId; ///< Empty makes a new one.
  duration Timeout = seconds(10);
};

/// A conversation with one entry, and through its list with all instances.
class operator_session {
public:
  explicit operator_session(session_options Options);

  /// Runs a statement of the language and returns what to print.
  [[nodiscard]] auto run(const std::string &Statement) -> result<std::string>;

  /// Makes one change. A lost answer is asked for again by its change id.
  [[nodiscard]] auto change(const std::vector<operation> &Operations)
      -> result<std::string>;

  /// Operations that lead from what is declared to \p File.
  [[nodiscard]] auto plan(const std::string &File, bool Prune)
      -> result<std::vector<operation>>;

  /// The time line of all instances, merged.
  [[nodiscard]] auto notes(const note_filter &Filter) -> result<std::string>;

private:
  auto show(const show_query &Query) -> result<std::string>;
  auto gather(const show_query &Query) -> result<report>;
  auto addresses(bool AgentsOnly) -> result<std::vector<std::string>>;
  auto declared() -> result<catalogue>;

  session_options Options;
  operator_client Entry;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_OPERATOR_SESSION_H
