/// \file
/// Emulator of the platform's store, with the faults that the tests need.
#ifndef LIMPETBRIDGE_EMULATOR_STORE_EMULATOR_H
#define LIMPETBRIDGE_EMULATOR_STORE_EMULATOR_H

#include "net/server.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace limpetbridge::emulator {

/// Faults of a store; changed while it runs.
struct store_faults {
  bool Down = false;             ///< Answers 503.
  bool Silent = false;           ///< Never answers.
  bool LoseWriteAnswers = false; ///< Writes are done and not answered.
  bool HistoryGone = false;      ///< The next read of changes gets 410.
};

/// Rows in memory, on one io_context.
class store_emulator {
public:
  explicit store_emulator(net::asio::io_context &EmulatorContext);

  [[nodiscard]] auto address() const -> std::string;
  auto put(const std::string &Table, const std::string &Key,
           const std::string &Value) -> void;
  auto drop(const std::string &Table, const std::string &Key) -> void;
  /// Version of a row; 0 if it does not exist.
  [[nodiscard]] auto version(const std::string &Table,
                             const std::string &Key) const -> std::uint64_t;

  /// Takes the copy that restore returns to.
  auto takeCopy() -> void;
  /// Returns to the copy: what was written since is gone, versions are given
  /// out again and the era rises. Calls that wait for changes are answered as
  /// of then, or stay open until their wait is over.
  auto restore(bool EndsWaits = true) -> void;

  /// Named by every answer, errors included; not set if eras are not counted.
  std::optional<std::uint64_t> Era;
  store_faults Faults;
  std::uint64_t Calls = 0;

private:
  struct row {
    std::string Value; ///< Base64.
    std::uint64_t Version = 0;
    bool Deleted = false;
  };
  using row_name = std::pair<std::string, std::string>;

  auto answer(net::http_request Request) -> net::awaitable<net::http_response>;
  auto execute(net::http_request Request) -> net::awaitable<net::http_response>;
  auto get(const std::map<std::string, std::string> &Query) -> nlohmann::json;
  auto feed(std::map<std::string, std::string> Query)
      -> net::awaitable<net::http_response>;
  auto transact(const std::string &Body) -> net::http_response;
  auto wake() -> void;
  [[nodiscard]] auto rowJson(const row_name &Name, const row &Row) const
      -> nlohmann::json;

  net::asio::io_context &Context;
  std::map<row_name, row> Rows;
  std::uint64_t Version = 0;
  std::map<row_name, row> CopiedRows;
  std::uint64_t CopiedVersion = 0;
  std::vector<std::shared_ptr<net::asio::steady_timer>> Waiting;
  std::unique_ptr<net::listener> Listener;
};

} // namespace limpetbridge::emulator

#endif // LIMPETBRIDGE_EMULATOR_STORE_EMULATOR_H
