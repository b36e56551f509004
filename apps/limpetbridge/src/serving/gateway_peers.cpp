/// Messages between gateways: queries for what another one has read of the
/// platform, and datagrams.
#include "gateway_node.h"

#include "link_codec.h"

#include <algorithm>
#include <charconv>

namespace limpetbridge {

namespace {

using namespace serving;
using net::awaitable;

/// Longest wait of a query for changes that another gateway may ask for.
constexpr std::int64_t MaxQueryWaitMs = 5000;
/// Path of queries for what another gateway has read of the platform.
constexpr const char *KnowledgePath = "/knowledge";
/// Longest wait for changes, in a query, ms.
constexpr const char *WaitField = "Wait-Ms";
/// In an answer: age of the sender's last read of the targets, ms; below 0 if
/// it does not read them.
constexpr const char *TargetsReadAgeField = "Targets-Read-Age-Ms";
/// In an answer: age of the sender's view of the targets, ms; below 0 if it has
/// none.
constexpr const char *TargetsKnownAgeField = "Targets-Known-Age-Ms";
/// In an answer: age of the sender's configuration, ms; below 0 if it has none.
constexpr const char *ConfigurationAgeField = "Configuration-Known-Age-Ms";
/// In an answer: how long it waited for changes, ms.
constexpr const char *WaitedField = "Waited-Ms";
/// In an answer: rows that are missing at the sender were deleted.
constexpr const char *RowsSettledField = "Rows-Settled";
constexpr std::uint16_t StatusOk = 200;

/// \returns \p Default if \p Text is not a whole number.
auto readNumber(std::string_view Text, std::int64_t Default) -> std::int64_t {
  std::int64_t Value = Default;
  const auto *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  return Parsed.ec == std::errc() && Parsed.ptr == End ? Value : Default;
}

} // namespace

auto gateway_node::execute(const query_peer &Effect) -> void {
  spawnContained("peer_query", queryPeer(Effect), [this, Effect] {
    peer_answered Event;
    Event.Address = Effect.Address;
    Event.Waited = Effect.WaitMs > 0;
    dispatch(std::move(Event));
  });
}

auto gateway_node::queryPeer(query_peer Query) -> awaitable<void> {
  net::http_request Request;
  Request.Method = "POST";
  Request.Target = KnowledgePath;
  Request.Fields.push_back({"Host", Query.Address});
  Request.Body = KnowledgeSync.BuildQuery();
  const net::asio::any_io_executor Executor = Context.get_executor();
  const bool Waits = Query.WaitMs > 0;
  const auto AskedAt = process_clock::now();
  auto Stage = net::exchange_stage::Connecting;
  std::optional<net::http_response> Response;
  if (Waits) {
    Request.Fields.push_back({WaitField, std::to_string(Query.WaitMs)});
    if (!TargetReader || TargetReaderAddress != Query.Address)
      TargetReader =
          std::make_shared<net::persistent_client>(Executor, Query.Address);
    TargetReaderAddress = Query.Address;
    const auto Client = TargetReader;
    Response = co_await Client->fetch(Request, Query.Deadline, Stage);
  } else {
    Response = co_await net::fetch(Executor, Query.Address, Request,
                                   Query.Deadline, Stage);
  }
  if (!Response)
    log(log_level::Warning, "peer_without_answer",
        {{"peer", Query.Address},
         {"stage", std::string(net::nameOf(Stage))},
         {"took_ms",
          std::to_string(toMilliseconds(process_clock::now() - AskedAt))}});
  peer_answered Event;
  Event.Address = Query.Address;
  Event.Waited = Waits;
  Event.Answered = applyPeerAnswer(Query.Address, Response);
  if (Event.Answered)
    readView(Response->Head.Fields, AskedAt, Event);
  dispatch(std::move(Event));
}

auto gateway_node::readView(const net::header_fields &Fields,
                            time_point AskedAt, peer_answered &Event) -> void {
  // Nothing of an earlier era of the store is followed.
  if (!KnowledgeSync.AnswerIsCurrent())
    return;
  const auto ReadMs = [&](const char *Name, std::int64_t Default) {
    return readNumber(net::findField(Fields, Name), Default);
  };
  Event.TargetsReadAgeMs = ReadMs(TargetsReadAgeField, -1);
  Event.TargetsKnownAgeMs = ReadMs(TargetsKnownAgeField, -1);
  // The answer may have been on its way for any time, the query as well; the
  // peer has counted only what passed between them.
  const auto Waited =
      milliseconds(std::max(std::int64_t{0}, ReadMs(WaitedField, 0)));
  const auto WrittenAt = std::min(AskedAt + Waited, process_clock::now());
  const auto ConfigurationAgeMs = ReadMs(ConfigurationAgeField, -1);
  Event.ConfigurationKnownAgeMs = ConfigurationAgeMs;
  if (ConfigurationAgeMs >= 0 && KnowledgeSync.ConfigurationAgrees())
    Event.ConfigurationKnownAt = WrittenAt - milliseconds(ConfigurationAgeMs);
  if (!KnowledgeSync.TargetsAgree())
    return;
  if (Event.TargetsKnownAgeMs < 0) {
    Event.TargetsKnownAt = time_point();
    return;
  }
  Event.TargetsKnownAt = WrittenAt - milliseconds(Event.TargetsKnownAgeMs);
  Event.RowsAreSettled = net::hasField(Fields, RowsSettledField);
}

auto gateway_node::applyPeerAnswer(
    const std::string &PeerAddress,
    const std::optional<net::http_response> &Response) -> bool {
  if (!Response)
    return false;
  if (Response->Head.Status != StatusOk) {
    log(log_level::Warning, "peer_refused_query",
        {{"peer", PeerAddress},
         {"status", std::to_string(Response->Head.Status)}});
    return false;
  }
  const auto NewRows = KnowledgeSync.MergeAnswer(Response->Body);
  if (!NewRows)
    log(log_level::Warning, "peer_answer_unreadable",
        {{"peer", PeerAddress}, {"error", toString(NewRows.error())}});
  else if (NewRows.value() > 0)
    log(log_level::Info, "learned_from_peer",
        {{"peer", PeerAddress},
         {"rows", std::to_string(NewRows.value())},
         {"configuration", std::to_string(State.Configuration.Version)}});
  return NewRows.has_value();
}

auto gateway_node::awaitChanges(const std::string &Query, time_point Deadline)
    -> awaitable<void> {
  while (process_clock::now() < Deadline && !KnowledgeSync.HasChanges(Query) &&
         targetsReadAgeMs(State, process_clock::now()) >= 0) {
    const auto Timer = std::make_shared<net::asio::steady_timer>(
        Context, net::toSteadyTime(Deadline));
    WaitingQueries.push_back(Timer);
    net::error_code Cancelled; // By apply.
    co_await Timer->async_wait(net::storeError(Cancelled));
    std::erase(WaitingQueries, Timer);
  }
}

auto gateway_node::handlePeerCall(net::http_request Request)
    -> awaitable<net::http_response> {
  net::http_response Response;
  if (Request.Target != KnowledgePath) {
    Response.Head.Status = describe(result_code::NotFound).HttpStatus;
    co_return Response;
  }
  const auto WaitMs =
      std::clamp(readNumber(net::findField(Request.Fields, WaitField), 0),
                 std::int64_t{0}, MaxQueryWaitMs);
  const auto AskedAt = process_clock::now();
  const auto Deadline = AskedAt + milliseconds(WaitMs);
  co_await awaitChanges(Request.Body, Deadline);
  const auto Answer = KnowledgeSync.AnswerQuery(Request.Body);
  if (!Answer) {
    log(log_level::Warning, "peer_question_unreadable",
        {{"error", toString(Answer.error())}});
    Response.Head.Status = describe(Answer.error().Code).HttpStatus;
    co_return Response;
  }
  const auto Now = process_clock::now();
  const auto AddField = [&](const char *Name, std::int64_t Milliseconds) {
    Response.Head.Fields.push_back({Name, std::to_string(Milliseconds)});
  };
  Response.Head.Status = StatusOk;
  AddField(TargetsReadAgeField, targetsReadAgeMs(State, Now));
  AddField(TargetsKnownAgeField, targetsKnownAgeMs(State, Now));
  AddField(ConfigurationAgeField, configurationAgeMs(State, Now));
  AddField(WaitedField, toMilliseconds(Now - AskedAt));
  if (rowsAreSettled(State, Now))
    AddField(RowsSettledField, 1);
  Response.Body = Answer.value();
  co_return Response;
}

auto gateway_node::execute(const send_prefill_notice &Effect) -> void {
  Metrics.count("prefill_notices", "sent");
  const auto Bytes = encodeLink(Effect.Notice);
  for (const auto &Address : Effect.Addresses)
    LinkSocket->send(Address, Bytes);
}

auto gateway_node::receiveDatagram(const std::string &From,
                                   std::string_view Bytes) -> void {
  Loop.countDatagram();
  if (!isDigest(Bytes))
    return handleLinkMessage(Bytes);
  Digests.put(From, Bytes);
  if (!std::exchange(ReadingDigests, true))
    net::asio::post(Context, [this] { readNextDigest(); });
}

auto gateway_node::readNextDigest() -> void {
  if (const auto Bytes = Digests.take())
    handleLinkMessage(*Bytes);
  ReadingDigests = !Digests.empty();
  // Requests and answers have their turn before the next one.
  if (ReadingDigests)
    net::asio::post(Context, [this] { readNextDigest(); });
}

auto gateway_node::handleLinkMessage(std::string_view Bytes) -> void {
  auto Message = decodeLink(Bytes);
  if (!Message) {
    Metrics.count("messages_unreadable", "datagram");
    log(log_level::Warning, "datagram_unreadable",
        {{"error", toString(Message.error())}});
    return;
  }
  if (auto *Digest = std::get_if<gateway_digest>(&Message.value()))
    dispatch(std::move(*Digest));
  else if (auto *Notice = std::get_if<prefill_notice>(&Message.value())) {
    Metrics.count("prefill_notices", "received");
    dispatch(std::move(*Notice));
  } else if (auto *Report = std::get_if<crash_report>(&Message.value()))
    dispatch(std::move(*Report));
  else if (auto *Quotas = std::get_if<quota_report>(&Message.value()))
    dispatch(std::move(*Quotas));
  else if (auto *Holdings = std::get_if<holdings_report>(&Message.value()))
    dispatch(std::move(*Holdings));
}

} // namespace limpetbridge
