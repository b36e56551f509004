/// \file
/// A caller, for the demonstration, the tests and the benchmarks.
#ifndef LIMPETBRIDGE_TESTING_CALLER_CLIENT_H
#define LIMPETBRIDGE_TESTING_CALLER_CLIENT_H

#include <cstdint>
#include <functional>
#include <string>

namespace limpetbridge {

/// What a caller got.
struct caller_answer {
  int Status = 0;      ///< HTTP status; 0 when no answer came.
  std::string Outcome; ///< `X-Outcome`.
  std::string Text;    ///< Text of the answer, or the body.
  std::string Body;    ///< Body as it came.
  bool Done = false;   ///< A stream ended with `[DONE]`.
  double FirstTokenMs = 0;
  double TotalMs = 0;
};

/// A caller with a token at one entry.
class caller_client {
public:
  caller_client(std::string Host, std::uint16_t Port, std::string Token);

  /// A streamed chat turn. The engine's prompt is `user: PROMPT` and a newline.
  [[nodiscard]] auto chat(const std::string &Model, const std::string &Prompt,
                          std::uint32_t Tokens) const -> caller_answer;
  /// A call of a plain service.
  [[nodiscard]] auto call(const std::string &Service,
                          const std::string &Operation, const std::string &Body,
                          const std::string &Key) const -> caller_answer;
  [[nodiscard]] auto get(const std::string &Path) const -> caller_answer;
  [[nodiscard]] auto post(const std::string &Path,
                          const std::string &Body) const -> caller_answer;

private:
  std::string Host;
  std::uint16_t Port;
  std::string Token;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_TESTING_CALLER_CLIENT_H
