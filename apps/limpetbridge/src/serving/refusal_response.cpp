#include "refusal_response.h"

#include <array>
#include <cstdio>
#include <string>

namespace limpetbridge {

namespace {

/// Formats a value of Retry-After: seconds with three decimals.
auto formatSeconds(std::int64_t Milliseconds) -> std::string {
  constexpr double MsPerSecond = 1000;
  std::array<char, 32> Text{};
  const int Length =
      std::snprintf(Text.data(), Text.size(), "%.3f",
                    static_cast<double>(Milliseconds) / MsPerSecond);
  return {Text.data(), static_cast<std::size_t>(Length)};
}

} // namespace

auto makeRefusal(result_code Code, std::int64_t RetryAfterMs)
    -> net::http_response {
  const auto &Description = describe(Code);
  net::http_response Response;
  Response.Head.Status = Description.HttpStatus;
  Response.Head.Fields.push_back({"Content-Type", "application/json"});
  if (RetryAfterMs > 0)
    Response.Head.Fields.push_back(
        {"Retry-After", formatSeconds(RetryAfterMs)});
  Response.Body = "{\"code\":" + std::to_string(static_cast<int>(Code)) +
                  ",\"name\":\"" + std::string(Description.Name) +
                  "\",\"meaning\":\"" + std::string(Description.Meaning) +
                  "\"}\n";
  return Response;
}

} // namespace limpetbridge
