/// \file
/// Stand-in for a model engine. Its answers are made from the prompt, so that
/// a test can tell a whole answer of the right request.
#ifndef LIMPETBRIDGE_TESTING_ENGINE_STAND_IN_H
#define LIMPETBRIDGE_TESTING_ENGINE_STAND_IN_H

#include "core/effects.h"
#include "stand_in_server.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace limpetbridge {

/// Piece \p Index of the answer to \p Prompt by \p Model.
[[nodiscard]] auto expectedPiece(const std::string &Model,
                                 const std::string &Prompt, std::uint32_t Index)
    -> std::string;
/// The whole answer of \p Tokens pieces.
[[nodiscard]] auto expectedAnswer(const std::string &Model,
                                  const std::string &Prompt,
                                  std::uint32_t Tokens) -> std::string;

/// Memory of an engine and what it makes of orders; the server's state, and a
/// fake for tests in virtual time.
class engine_fake {
public:
  engine_fake(std::uint64_t Capacity, bool ChecksFence, incarnation Self);

  /// Executes an order that needs no time; refuses by token if it checks.
  auto execute(const send_order &Order) -> order_replied;
  /// Starts a load that takes time; finishLoad ends it.
  auto beginLoad(const send_order &Order) -> order_replied;
  auto finishLoad(const send_order &Order) -> order_replied;

  [[nodiscard]] auto isResident(const loadable &What) const -> bool;
  [[nodiscard]] auto snapshot() const -> engine_snapshot;
  /// Times that memory was committed beyond the capacity.
  [[nodiscard]] auto overcommits() const -> int { return Overcommits; }
  [[nodiscard]] auto committed() const -> std::uint64_t;

private:
  auto admit(const send_order &Order) -> bool;
  auto noteExecuted(const send_order &Order) -> order_replied;

  std::uint64_t Capacity;
  bool ChecksFence;
  incarnation Self;
  std::uint64_t Sequence = 0;
  fencing_token Highest;
  std::map<loadable, std::uint64_t> Resident;
  std::map<loadable, std::uint64_t> Loading;
  std::vector<fencing_token> Executed;
  int Overcommits = 0;
};

/// Options of the engine server.
struct engine_stand_in_options {
  std::uint16_t Port = 0;
  std::uint64_t MemoryBytes = 80'000'000'000;
  bool ChecksFence = false;
  std::int64_t LoadMs = 100;
  std::int64_t TokenUs = 0; ///< Between tokens.
  std::uint32_t PiecesALine = 1;
};

/// A model engine as an HTTP server.
class engine_stand_in {
public:
  explicit engine_stand_in(engine_stand_in_options Options);
  ~engine_stand_in();

  [[nodiscard]] auto port() const -> std::uint16_t { return Server.port(); }
  auto faults() -> fault_switches & { return Server.faults(); }
  [[nodiscard]] auto overcommits() -> int;

private:
  auto setRoutes() -> void;
  auto generate(const httplib::Request &Request, httplib::Response &Response)
      -> void;
  auto takeOrder(const httplib::Request &Request, httplib::Response &Response)
      -> void;
  auto runOrder(const send_order &Order) -> order_replied;

  engine_stand_in_options Options;
  stand_in_server Server;
  std::mutex Mutex;
  engine_fake Engine;
  std::atomic<std::uint32_t> Running{0};
  std::vector<std::unique_ptr<thread>> Late;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_TESTING_ENGINE_STAND_IN_H
