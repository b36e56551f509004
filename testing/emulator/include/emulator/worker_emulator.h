/// \file
/// Emulator of a worker of the platform: a model engine or a plain service,
/// with the ways in which its answers go wrong.
#ifndef LIMPETBRIDGE_EMULATOR_WORKER_EMULATOR_H
#define LIMPETBRIDGE_EMULATOR_WORKER_EMULATOR_H

#include "net/server.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpetbridge::emulator {

/// What a worker does with a request.
enum class behaviour : std::uint8_t {
  Answer,        ///< A whole answer.
  Refuse,        ///< 503, not executed.
  Misdirect,     ///< 421.
  FailAfterRun,  ///< 500 of its own.
  FalsePromise,  ///< 503 after having run.
  ResetAfterRun, ///< Runs it and resets the connection.
  Hang,          ///< Runs it and never answers.
  Stream,        ///< A whole event stream.
  CutStream,     ///< Breaks off within the third event, after CutBytes of it.
  Unframed,      ///< Ends with the connection.
  UnframedCut,   ///< The same, with a reset.
  ForeignFirst,  ///< A late answer to another request comes before its own.
  Encoded,       ///< Claims a content encoding.
  Raw,           ///< RawAnswer as it is, then the end of the connection.
  // Answers that never end, until the peer closes the connection:
  EndlessHead,      ///< Header fields.
  EndlessInterim,   ///< Informational heads.
  EndlessBody,      ///< A chunked body.
  EndlessForeign,   ///< The same of an answer to another request.
  EndlessExtension, ///< The extension of a chunk.
  EndlessTrailer,   ///< The trailer after the last chunk.
  EndlessEvent,     ///< An event without its final empty line.
  Stalled,          ///< Comment lines now and then, and no further event.
};

/// One request or order as the worker saw it.
struct seen_request {
  net::http_request Request;
  bool ClosedEarly = false; ///< The sender closed before the answer.
  bool BrokenOff = false;   ///< The worker ended a stream within an event.
  time_point ArrivedAt;
  std::optional<time_point> EndedAt; ///< Answered, or closed by the sender.
};

/// One worker on one io_context.
class worker_emulator {
public:
  worker_emulator(net::asio::io_context &EmulatorContext, std::string WorkerId,
                  std::string WorkerService);

  [[nodiscard]] auto address() const -> std::string;
  /// Its row in the store, as JSON.
  [[nodiscard]] auto row() const -> std::string;

  behaviour Behaviour = behaviour::Answer;
  std::int64_t EventGapMs = 5;
  /// Streams have neither length nor chunks; the end of the connection, without
  /// a reset, ends also those that break off.
  bool UnframedStreams = false;
  std::size_t CutBytes = 10; ///< Less than an event.
  bool CutsResumed = true;   ///< CutStream breaks off resumed streams as well.
  std::int64_t AnswerDelayMs = 0; ///< Of whole answers.
  std::int64_t LoadMs = 30;
  bool Draining = false;  ///< As its row says.
  bool Leaving = false;   ///< As all its answers say.
  std::string RetryAfter; ///< Of refusals, seconds; empty: none.
  /// Bytes of raw answers; $ID stands for the id of the request.
  std::string RawAnswer;
  bool RawReset = false; ///< The connection is reset after a raw answer.
  /// Ids of prompt parts, in hexadecimal. The worker crashes as it begins to
  /// answer a request with one of them, unless it is the last of its prompt.
  std::set<std::string> CrashParts;
  bool CrashesBeforeHead = false; ///< Nothing of the answer is written.
  int EventsBeforeCrash = 0;      ///< Written before it crashes.
  bool HangsOrders = false; ///< Orders are neither answered nor carried out.
  std::set<std::string> CrashLoads; ///< Models that it crashes on loading.
  /// Called when the worker has crashed.
  std::function<void()> OnCrash = [] {};
  /// Status of the answers to streams that are resumed; 0: they go on.
  std::uint16_t ResumeStatus = 0;
  std::set<std::string> Models;
  std::vector<std::shared_ptr<seen_request>> Requests;
  std::vector<nlohmann::json> Orders;
  std::size_t EndlessBytes = 0; ///< Written by the endless behaviours.
  int OpenRequests = 0;         ///< Requests in progress.
  bool Crashed = false;

  /// Resets every connection and accepts no more.
  auto crash() -> void;
  /// Starts again at once under the same id: with nothing loaded, and with a
  /// sequence that begins anew.
  auto startAgain() -> void;

private:
  auto serve(std::shared_ptr<net::caller_connection> Connection)
      -> net::awaitable<void>;
  auto serveOne(std::shared_ptr<net::caller_connection> Connection,
                net::http_request Request) -> net::awaitable<bool>;
  auto run(std::shared_ptr<net::caller_connection> Connection,
           std::shared_ptr<seen_request> Seen) -> net::awaitable<bool>;
  auto writeRaw(std::shared_ptr<net::caller_connection> Connection,
                const net::http_request &Request) -> net::awaitable<bool>;
  auto stream(std::shared_ptr<net::caller_connection> Connection,
              std::shared_ptr<seen_request> Seen) -> net::awaitable<bool>;
  /// Writes \p Start, and then \p Part until the peer closes.
  auto writeEndlessly(std::shared_ptr<net::caller_connection> Connection,
                      std::string Start, std::string Part, duration Gap)
      -> net::awaitable<bool>;
  auto runEndless(std::shared_ptr<net::caller_connection> Connection,
                  const net::http_request &Request) -> net::awaitable<bool>;
  auto takeOrder(const net::http_request &Request) -> net::http_response;
  /// Writes what comes before the crash, and crashes.
  auto crashOnAnswer(std::shared_ptr<net::caller_connection> Connection,
                     const net::http_request &Request) -> net::awaitable<bool>;
  [[nodiscard]] auto hasCrashPart(const net::http_request &Request) const
      -> bool;
  [[nodiscard]] auto report() const -> nlohmann::json;
  [[nodiscard]] auto signedHead(const net::http_request &Request) const
      -> net::response_head;

  net::asio::io_context &Context;
  std::string Id;
  std::string Service;
  std::uint64_t Sequence = 0;
  std::uint64_t Born = 1'000;
  bool Busy = false;
  std::unique_ptr<net::listener> Listener;
  std::set<std::shared_ptr<net::caller_connection>> Connections;
};

/// Text of the worker's whole stream.
[[nodiscard]] auto wholeStream() -> std::string;

} // namespace limpetbridge::emulator

#endif // LIMPETBRIDGE_EMULATOR_WORKER_EMULATOR_H
