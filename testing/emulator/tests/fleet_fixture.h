/// \file
/// A gateway and, if asked for, a controller against emulated store and
/// workers, each in a thread of its own, with a plain client.
#ifndef LIMPETBRIDGE_EMULATOR_TESTS_FLEET_FIXTURE_H
#define LIMPETBRIDGE_EMULATOR_TESTS_FLEET_FIXTURE_H

#include "adapter/hooks.h"
#include "base/thread.h"
#include "controller_node.h"
#include "emulator/raw_target.h"
#include "emulator/store_emulator.h"
#include "emulator/worker_emulator.h"
#include "gateway_node.h"
#include "net/target_connection.h"

#include <unistd.h>

#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpetbridge::emulator {

/// Longest wait for anything that must happen.
inline constexpr duration Patience = seconds(8);

/// Waits until \p Holds returns true.
/// \returns false if it does not within \p Span.
inline auto eventually(const std::function<bool()> &Holds,
                       duration Span = Patience) -> bool {
  const auto Deadline = process_clock::now() + Span;
  while (process_clock::now() < Deadline) {
    if (Holds())
      return true;
    usleep(10'000);
  }
  return false;
}

/// Runs an io_context in a thread for as long as it lives.
class emulator_thread {
public:
  emulator_thread()
      : Work(Context.get_executor()),
        Thread("emulator", LoopStackBytes, [this] { Context.run(); }) {}
  ~emulator_thread() { Context.stop(); }

  /// Runs \p Job there and waits for it.
  template <typename job> auto call(job Job) {
    std::packaged_task<decltype(Job())()> Task(std::move(Job));
    auto Result = Task.get_future();
    net::asio::post(Context, [&Task] { Task(); });
    return Result.get();
  }

  /// Runs the coroutine of \p Make there and waits for its result.
  template <typename value>
  auto await(std::function<net::awaitable<value>()> Make) -> value {
    std::promise<value> Promise;
    auto Result = Promise.get_future();
    const auto Task = [&]() -> net::awaitable<void> {
      value Got = co_await Make();
      Promise.set_value(std::move(Got));
    };
    net::asio::post(Context,
                    [&] { net::spawn(Context.get_executor(), Task()); });
    return Result.get();
  }

  net::asio::io_context Context;

private:
  net::asio::executor_work_guard<net::asio::io_context::executor_type> Work;
  thread Thread;
};

/// What a client got.
struct client_answer {
  bool HasHead = false;
  net::response_head Head;
  std::string Body;
  bool Whole = false; ///< The body came to its end.
};

/// The deployment.
class fleet {
public:
  fleet();
  ~fleet();

  auto addWorker(const char *Id, const char *Service) -> worker_emulator &;
  /// Adds a target that \p Serve serves each connection to, and its row.
  auto addRawTarget(const char *Id, const char *Service,
                    decltype(raw_target::Serve) Serve) -> raw_target &;
  /// Writes the worker's row anew.
  auto publish(const char *Id) -> void;
  auto publishConfiguration() -> void;
  auto startGateway() -> void;
  /// Stops the gateway and waits for its end.
  auto stopGateway() -> void;
  /// Starts a further gateway.
  auto addGateway() -> gateway_node &;
  /// Starts a second gateway that cannot reach the store and only knows the
  /// first one.
  auto startCutOffGateway() -> void;
  [[nodiscard]] auto isCutOffReady() -> bool;
  auto startController(const char *WorkerId) -> void;
  /// Stops the controller, if there is one, and waits for its end.
  auto stopController() -> void;
  /// Replaces the gateway's settings file.
  auto writeSettings(const std::string &Text) -> void;
  /// Waits until the gateway is ready.
  auto awaitReady() -> bool;
  /// Value of a line of the gateway's metrics; below 0 if there is none.
  [[nodiscard]] auto metric(const std::string &Name) -> std::int64_t;
  [[nodiscard]] auto isReady() -> bool;
  /// Reads a page of one of the processes.
  auto get(const std::string &Address, const std::string &Path)
      -> std::optional<net::http_response>;

  /// Sends a request and reads the answer, or as much as comes.
  auto send(const std::string &Path, const std::string &Body = "",
            net::header_fields More = {}) -> client_answer;
  /// The same through \p Receiver.
  auto sendTo(const gateway_node &Receiver, const std::string &Path,
              net::header_fields More) -> client_answer;
  /// The same through the gateway that cannot reach the store.
  auto sendToCutOff(const std::string &Path) -> client_answer;
  /// Sends \p Bytes as they are. \returns all that comes back.
  auto sendRaw(const std::string &Bytes) -> std::string;
  /// Sends \p First, does \p Meanwhile, waits, and sends \p Rest.
  auto sendInParts(const std::string &First,
                   const std::function<void()> &Meanwhile, duration Wait,
                   const std::string &Rest) -> std::string;
  /// Sends a request and closes after \p Wait without reading.
  auto sendAndLeave(const std::string &Path, duration Wait) -> void;

  /// Changes the configuration before it is published.
  std::function<void(nlohmann::json &)> ChangeConfiguration =
      [](nlohmann::json &) {};
  /// Changes the hooks of the gateways that are started from then on.
  std::function<void(gateway_hooks &)> ChangeHooks = [](gateway_hooks &) {};
  /// Changes the settings of the gateways that are started from then on.
  std::function<void(node_settings &)> ChangeSettings = [](node_settings &) {};
  /// The same for controllers.
  std::function<void(controller_hooks &)> ChangeControllerHooks =
      [](controller_hooks &) {};
  /// Grace period of controllers that are started from then on.
  std::int64_t ControllerGraceMs = 8000;

  emulator_thread Outside;
  std::unique_ptr<store_emulator> Store;
  std::map<std::string, std::unique_ptr<worker_emulator>> Workers;
  std::map<std::string, std::unique_ptr<raw_target>> RawTargets;
  std::unique_ptr<gateway_node> Gateway;
  std::vector<std::unique_ptr<gateway_node>> MoreGateways;
  std::unique_ptr<gateway_node> CutOff;
  std::unique_ptr<controller_node> Controller;

private:
  auto exchange(const std::string &Address, const std::string &Bytes)
      -> client_answer;
  auto makeRequest(const std::string &Path, const std::string &Body,
                   net::header_fields More) -> net::http_request;

  std::uint64_t LastId = 0;
  std::string SettingsFile;
  std::unique_ptr<thread> GatewayThread;
  std::vector<std::unique_ptr<thread>> MoreGatewayThreads;
  std::unique_ptr<thread> CutOffThread;
  std::unique_ptr<thread> ControllerThread;
};

} // namespace limpetbridge::emulator

#endif // LIMPETBRIDGE_EMULATOR_TESTS_FLEET_FIXTURE_H
