/// \file
/// gRPC of the operator's tool.
#ifndef LIMPETBRIDGE_WIRE_OPERATOR_CLIENT_H
#define LIMPETBRIDGE_WIRE_OPERATOR_CLIENT_H

#include "base/result.h"
#include "base/timeline.h"
#include "core/effects.h"
#include "wire/report.h"

#include <memory>
#include <string>
#include <vector>

namespace limpetbridge {

/// One connection to a node.
class operator_client {
public:
  /// \param Address `ip:port`. \param Token empty sends none.
  operator_client(const std::string &Address, std::string Token);
  ~operator_client();
  operator_client(const operator_client &) = delete;
  auto operator=(const operator_client &) -> operator_client & = delete;

  /// Asks for a change. An error means that no answer came: repeat the same
  /// change id.
  [[nodiscard]] auto change(const command_arrived &Command, duration Timeout)
      -> result<answer_command>;

  /// Rows of a subject.
  [[nodiscard]] auto inspect(const report_request &Request, duration Timeout)
      -> result<report>;

  /// Notes of the node's time line.
  [[nodiscard]] auto notes(const note_filter &Filter, duration Timeout)
      -> result<std::vector<stamped_note>>;

private:
  struct details;
  std::unique_ptr<details> Details;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_WIRE_OPERATOR_CLIENT_H
