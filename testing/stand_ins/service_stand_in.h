/// \file
/// Stand-in for a plain service that books, and counts what it booked.
#ifndef LIMPETBRIDGE_TESTING_SERVICE_STAND_IN_H
#define LIMPETBRIDGE_TESTING_SERVICE_STAND_IN_H

#include "stand_in_server.h"

#include <map>
#include <mutex>
#include <string>

namespace limpetbridge {

/// A plain service as an HTTP server. `POST /v1/OPERATION` books the body and
/// answers with a receipt; `GET /bookings` tells how often each body was
/// booked.
class service_stand_in {
public:
  explicit service_stand_in(std::uint16_t Port);
  ~service_stand_in();

  [[nodiscard]] auto port() const -> std::uint16_t { return Server.port(); }
  auto faults() -> fault_switches & { return Server.faults(); }
  /// Times that \p Body was booked.
  [[nodiscard]] auto bookings(const std::string &Body) -> int;

private:
  stand_in_server Server;
  std::mutex Mutex;
  std::map<std::string, int> Booked;
  int LastReceipt = 0;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_TESTING_SERVICE_STAND_IN_H
