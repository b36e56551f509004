/// \file
/// gRPC client with which an operator's tool talks to an instance.
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

/// A client of one instance. Errors are result_code::Unauthenticated for a
/// wrong token and result_code::TargetUnreachable for any other failed call.
class operator_client {
public:
  /// \param Address `ip:port`. \param Token sent with each call, if not empty.
  operator_client(const std::string &Address, std::string Token);
  ~operator_client();
  operator_client(const operator_client &) = delete;
  auto operator=(const operator_client &) -> operator_client & = delete;

  /// Requests a configuration change. On an error the change may have been
  /// applied: retry with the same change id.
  [[nodiscard]] auto change(const command_arrived &Command, duration Timeout)
      -> result<answer_command>;

  /// Reads a report on one subject. A subject or argument that the instance
  /// rejects is an error with the instance's code.
  [[nodiscard]] auto inspect(const report_request &Request, duration Timeout)
      -> result<report>;

  /// Reads the timeline notes that match \p Filter.
  [[nodiscard]] auto notes(const note_filter &Filter, duration Timeout)
      -> result<std::vector<stamped_note>>;

private:
  struct details;
  std::unique_ptr<details> Details;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_WIRE_OPERATOR_CLIENT_H
