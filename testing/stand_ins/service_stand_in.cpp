#include "service_stand_in.h"

#include <nlohmann/json.hpp>

namespace limpetbridge {

namespace {

constexpr int StatusOk = 200;
constexpr std::size_t Threads = 256;

} // namespace

service_stand_in::service_stand_in(std::uint16_t Port) : Server(Port, Threads) {
  Server.route("POST", "/v1/([^/]+)",
               [this](const auto &Request, auto &Response) {
                 const std::lock_guard Lock(Mutex);
                 ++Booked[Request.body];
                 answerJson(Response, StatusOk,
                            {{"operation", Request.matches[1].str()},
                             {"receipt", ++LastReceipt},
                             {"body", Request.body}});
               });
  Server.route("GET", "/bookings", [this](const auto &, auto &Response) {
    const std::lock_guard Lock(Mutex);
    answerJson(Response, StatusOk, Booked);
  });
  Server.start();
}

service_stand_in::~service_stand_in() { Server.stop(); }

auto service_stand_in::bookings(const std::string &Body) -> int {
  const std::lock_guard Lock(Mutex);
  const auto Found = Booked.find(Body);
  return Found == Booked.end() ? 0 : Found->second;
}

} // namespace limpetbridge
