#include "emulator/worker_emulator.h"

#include <algorithm>
#include <sstream>

namespace limpetbridge::emulator {

namespace {

using json = nlohmann::json;
using net::awaitable;

constexpr std::string_view EndOfHead = "\r\n\r\n";
constexpr int Events = 6;
constexpr int CutAt = 3;
/// Ends an endless answer that no peer closes, so that a failing test ends.
constexpr std::size_t MaxEndlessBytes = std::size_t{1} << 30U;
/// Size of one write of an endless answer.
constexpr std::size_t EndlessPartBytes = std::size_t{16} * 1024;

auto eventText(int Number) -> std::string {
  return "id: " + std::to_string(Number) + "\ndata: event " +
         std::to_string(Number) + "\n\n";
}

auto makeAnswer(std::uint16_t Status, const std::string &Body)
    -> net::http_response {
  net::http_response Answer;
  Answer.Head.Status = Status;
  Answer.Body = Body;
  return Answer;
}

auto idOf(const net::http_request &Request) -> std::string {
  return std::string(
      net::findField(Request.Fields, "X-Limpetbridge-Attempt-Id"));
}

} // namespace

auto wholeStream() -> std::string {
  std::string Text;
  for (int Number = 1; Number <= Events; ++Number)
    Text += eventText(Number);
  return Text;
}

worker_emulator::worker_emulator(net::asio::io_context &EmulatorContext,
                                 std::string WorkerId,
                                 std::string WorkerService)
    : Context(EmulatorContext), Id(std::move(WorkerId)),
      Service(std::move(WorkerService)) {
  Listener = std::make_unique<net::listener>(
      Context, "127.0.0.1:0",
      [this](std::shared_ptr<net::caller_connection> Accepted) {
        net::spawn(Context.get_executor(), serve(std::move(Accepted)));
      });
}

auto worker_emulator::crash() -> void {
  Crashed = true;
  Listener->stop();
  for (const auto &Connection : Connections)
    Connection->abort();
  OnCrash();
}

auto worker_emulator::startAgain() -> void {
  Models.clear();
  Sequence = 0;
  Busy = false;
  ++Born;
}

auto worker_emulator::hasCrashPart(const net::http_request &Request) const
    -> bool {
  std::istringstream Parts(std::string(
      net::findField(Request.Fields, "X-Limpetbridge-Prompt-Prefix")));
  std::vector<std::string> Ids;
  for (std::string Part; std::getline(Parts, Part, ',');)
    Ids.push_back(Part.substr(0, Part.find(':')));
  if (!Ids.empty())
    Ids.pop_back();
  return std::any_of(Ids.begin(), Ids.end(), [&](const std::string &Id) {
    return CrashParts.contains(Id);
  });
}

auto worker_emulator::crashOnAnswer(
    std::shared_ptr<net::caller_connection> Connection,
    const net::http_request &Request) -> awaitable<bool> {
  auto Head = signedHead(Request);
  Head.Fields.push_back({"Content-Type", "text/event-stream"});
  if (!UnframedStreams)
    Head.Fields.push_back({"Transfer-Encoding", "chunked"});
  std::string Bytes = serializeResponseHead(Head) + "\r\n";
  for (int Number = 1; Number <= EventsBeforeCrash; ++Number)
    Bytes += UnframedStreams ? eventText(Number)
                             : net::serializeChunk(eventText(Number));
  if (!CrashesBeforeHead)
    co_await Connection->write(std::move(Bytes));
  // A reset discards what the peer has not read yet.
  co_await net::sleepFor(milliseconds(EventGapMs));
  // The connections of a process that is killed end without a reset if nothing
  // is unread.
  Listener->stop();
  if (UnframedStreams)
    co_await Connection->closeGracefully();
  crash();
  co_return false;
}

auto worker_emulator::address() const -> std::string {
  return "127.0.0.1:" + std::to_string(Listener->port());
}

auto worker_emulator::report() const -> json {
  json List = json::array();
  for (const auto &Model : Models)
    List.push_back(
        {{"name", Model}, {"version", 1}, {"adapters", json::array()}});
  return {{"stage", "colocated"}, {"models", List}, {"busy", Busy},
          {"sequence", Sequence}, {"born", Born},   {"queued_requests", 0},
          {"active_requests", 0}};
}

auto worker_emulator::row() const -> std::string {
  auto Row = report();
  Row["service"] = Service;
  Row["address"] = address();
  Row["zone"] = "north";
  Row["version"] = "v1";
  Row["slots"] = 8;
  Row["state"] = Draining ? "draining" : "ready";
  return Row.dump();
}

auto worker_emulator::serve(std::shared_ptr<net::caller_connection> Connection)
    -> awaitable<void> {
  const net::connection_limits Limits;
  Connections.insert(Connection);
  bool Open = !Crashed;
  while (Open) {
    auto Outcome = co_await Connection->readRequest(Limits);
    if (Outcome.End != net::read_end::Request)
      break;
    Open = co_await serveOne(Connection, std::move(Outcome.Request));
  }
  Connections.erase(Connection);
  if (Open && !Crashed)
    co_await Connection->closeGracefully();
}

auto worker_emulator::serveOne(
    std::shared_ptr<net::caller_connection> Connection,
    net::http_request Request) -> awaitable<bool> {
  std::string Bytes;
  if (Request.Target == "/report") {
    auto Report = makeAnswer(200, report().dump());
    if (Leaving)
      Report.Head.Fields.push_back({"Server-Leaving", "1"});
    Bytes = serializeResponse(Report, false);
  }
  if (Request.Target == "/order")
    Bytes = serializeResponse(takeOrder(Request), false);
  if (HangsOrders && Request.Target == "/order") {
    net::asio::steady_timer Timer(Context, seconds(5));
    co_await Timer.async_wait(net::asio::use_awaitable);
    co_return false;
  }
  if (!Bytes.empty())
    co_return co_await Connection->write(std::move(Bytes));
  const auto Seen = std::make_shared<seen_request>();
  Seen->Request = std::move(Request);
  Requests.push_back(Seen);
  Seen->ArrivedAt = process_clock::now();
  Connection->startDisconnectWatch([Seen] {
    Seen->ClosedEarly = true;
    Seen->EndedAt = process_clock::now();
  });
  ++OpenRequests;
  const bool Open = co_await run(Connection, Seen);
  --OpenRequests;
  if (!Seen->EndedAt)
    Seen->EndedAt = process_clock::now();
  Connection->stopDisconnectWatch();
  co_return Open;
}

auto worker_emulator::takeOrder(const net::http_request &Request)
    -> net::http_response {
  const auto Order = json::parse(Request.Body);
  Orders.push_back(Order);
  if (HangsOrders)
    return {};
  if (net::findField(Request.Fields, "X-Limpetbridge-Expected-Instance") != Id)
    return makeAnswer(421, "");
  if (Busy || Order.value("precondition", Sequence) != Sequence)
    return makeAnswer(409, "");
  ++Sequence;
  Busy = true;
  const auto Timer =
      std::make_shared<net::asio::steady_timer>(Context, milliseconds(LoadMs));
  Timer->async_wait([this, Timer, Order](net::error_code Error) {
    if (Error || Crashed)
      return;
    Busy = false;
    if (Order.at("operation") == "model_loading" &&
        CrashLoads.contains(Order.at("model")))
      return crash();
    if (Order.at("operation") == "model_loading")
      Models.insert(Order.at("model"));
    else
      Models.erase(Order.at("model").get<std::string>());
  });
  return makeAnswer(202, "");
}

auto worker_emulator::signedHead(const net::http_request &Request) const
    -> net::response_head {
  net::response_head Head;
  Head.Status = 200;
  Head.Fields = {{"X-Limpetbridge-Attempt-Id", idOf(Request)},
                 {"X-Limpetbridge-Response-Signature", "proof-" + Id}};
  if (Leaving)
    Head.Fields.push_back({"Server-Leaving", "1"});
  return Head;
}

auto worker_emulator::run(std::shared_ptr<net::caller_connection> Connection,
                          std::shared_ptr<seen_request> Seen)
    -> awaitable<bool> {
  const auto &Request = Seen->Request;
  net::http_response Answer{signedHead(Request), Request.Method + " " +
                                                     Request.Target + " " +
                                                     Request.Body};
  std::string Bytes;
  if (hasCrashPart(Request))
    co_return co_await crashOnAnswer(Connection, Request);
  if (ResumeStatus != 0 && net::hasField(Request.Fields, "Last-Event-Id")) {
    Answer.Head.Status = ResumeStatus;
    Bytes = serializeResponse(Answer, false);
    co_return co_await Connection->write(std::move(Bytes));
  }
  switch (Behaviour) {
  case behaviour::Answer:
    if (AnswerDelayMs > 0)
      co_await net::sleepFor(milliseconds(AnswerDelayMs));
    Answer.Head = signedHead(Request);
    Bytes = serializeResponse(Answer, false);
    break;
  case behaviour::Refuse:
  case behaviour::Misdirect:
    Answer.Head.Status = Behaviour == behaviour::Refuse ? 503 : 421;
    Answer.Head.Fields[1] = {"X-Limpetbridge-Not-Executed", "1"};
    if (!RetryAfter.empty())
      Answer.Head.Fields.push_back({"Retry-After", RetryAfter});
    Bytes = serializeResponse(Answer, false);
    break;
  case behaviour::FailAfterRun:
    Answer.Head.Status = 500;
    Bytes = serializeResponse(Answer, false);
    break;
  case behaviour::FalsePromise:
    Answer.Head.Status = 503;
    Bytes = serializeResponse(Answer, false);
    break;
  case behaviour::ResetAfterRun:
    Connection->abort();
    co_return false;
  case behaviour::Hang: {
    net::asio::steady_timer Timer(Context, std::chrono::seconds(30));
    co_await Timer.async_wait(net::asio::use_awaitable);
    co_return false;
  }
  case behaviour::Raw:
    co_return co_await writeRaw(Connection, Request);
  case behaviour::Stream:
  case behaviour::CutStream:
    co_return co_await stream(Connection, Seen);
  case behaviour::Unframed:
  case behaviour::UnframedCut: {
    Bytes = serializeResponseHead(Answer.Head) + "\r\n" + Answer.Body;
    co_await Connection->write(std::move(Bytes));
    if (Behaviour == behaviour::UnframedCut)
      Connection->abort();
    else
      co_await Connection->closeGracefully();
    co_return false;
  }
  case behaviour::ForeignFirst: {
    net::http_response Foreign = Answer;
    Foreign.Head.Fields[0].Value = "another";
    Foreign.Body = "not yours";
    Bytes =
        serializeResponse(Foreign, false) + serializeResponse(Answer, false);
    break;
  }
  case behaviour::Encoded:
    Answer.Head.Fields.push_back({"Content-Encoding", "gzip"});
    Bytes = serializeResponse(Answer, false);
    break;
  default:
    co_return co_await runEndless(Connection, Request);
  }
  if (Request.Method == "HEAD")
    Bytes.resize(Bytes.find(EndOfHead) + EndOfHead.size());
  co_return co_await Connection->write(std::move(Bytes));
}

auto worker_emulator::writeRaw(
    std::shared_ptr<net::caller_connection> Connection,
    const net::http_request &Request) -> awaitable<bool> {
  const std::string Placeholder = "$ID";
  auto Bytes = RawAnswer;
  if (const auto Start = Bytes.find(Placeholder); Start != std::string::npos)
    Bytes.replace(Start, Placeholder.size(), idOf(Request));
  co_await Connection->write(std::move(Bytes));
  if (RawReset)
    Connection->abort();
  else
    co_await Connection->closeGracefully();
  co_return false;
}

auto worker_emulator::writeEndlessly(
    std::shared_ptr<net::caller_connection> Connection, std::string Start,
    std::string Part, duration Gap) -> awaitable<bool> {
  bool Written = co_await Connection->write(std::move(Start));
  while (Written && EndlessBytes < MaxEndlessBytes) {
    EndlessBytes += Part.size();
    std::string Bytes = Part;
    Written = co_await Connection->write(std::move(Bytes));
    if (Gap > duration::zero())
      co_await net::sleepFor(Gap);
  }
  Connection->abort();
  co_return false;
}

auto worker_emulator::runEndless(
    std::shared_ptr<net::caller_connection> Connection,
    const net::http_request &Request) -> awaitable<bool> {
  auto Head = signedHead(Request);
  if (Behaviour == behaviour::EndlessForeign)
    Head.Fields[0].Value = "another";
  Head.Fields.push_back({"Content-Type", "text/event-stream"});
  if (Behaviour != behaviour::EndlessHead)
    Head.Fields.push_back({"Transfer-Encoding", "chunked"});
  auto Start = serializeResponseHead(Head);
  const std::string Filler(EndlessPartBytes, 'x');
  auto Part = Filler;
  auto Gap = duration::zero();
  switch (Behaviour) {
  case behaviour::EndlessHead:
    Part = "X-Field: " + Filler + "\r\n";
    break;
  case behaviour::EndlessInterim:
    Start.clear();
    Part = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    break;
  case behaviour::EndlessBody:
  case behaviour::EndlessForeign:
    Start += "\r\n";
    Part = net::serializeChunk(Filler);
    break;
  case behaviour::EndlessExtension:
    Start += "\r\n5;a=";
    break;
  case behaviour::EndlessTrailer:
    Start += "\r\n0\r\n";
    Part = "X-Field: " + Filler + "\r\n";
    break;
  case behaviour::EndlessEvent:
    Start += "\r\n" + net::serializeChunk("id: 1\ndata: ");
    Part = net::serializeChunk(Filler);
    break;
  default: // Stalled
    Start += "\r\n" + net::serializeChunk(eventText(1));
    Part = net::serializeChunk(":\n");
    Gap = milliseconds(50);
    break;
  }
  co_return co_await writeEndlessly(Connection, std::move(Start),
                                    std::move(Part), Gap);
}

auto worker_emulator::stream(std::shared_ptr<net::caller_connection> Connection,
                             std::shared_ptr<seen_request> Seen)
    -> awaitable<bool> {
  auto Head = signedHead(Seen->Request);
  Head.Fields.push_back({"Content-Type", "text/event-stream"});
  if (!UnframedStreams)
    Head.Fields.push_back({"Transfer-Encoding", "chunked"});
  std::string Bytes = serializeResponseHead(Head) + "\r\n";
  if (Seen->Request.Method == "HEAD")
    co_return co_await Connection->write(std::move(Bytes));
  const bool Unframed = UnframedStreams;
  const auto After =
      std::string(net::findField(Seen->Request.Fields, "Last-Event-Id"));
  for (int Number = After.empty() ? 1 : std::stoi(After) + 1; Number <= Events;
       ++Number) {
    auto Event = eventText(Number);
    const bool Cut = Behaviour == behaviour::CutStream && Number == CutAt &&
                     (After.empty() || CutsResumed);
    if (Cut)
      Event.resize(CutBytes);
    Bytes += Unframed ? Event : net::serializeChunk(Event);
    const bool Written = co_await Connection->write(std::move(Bytes));
    Seen->BrokenOff = Cut;
    if (Cut && Unframed)
      co_await Connection->closeGracefully();
    else if (Cut)
      Connection->abort();
    if (Cut || !Written)
      co_return false;
    Bytes.clear();
    net::asio::steady_timer Timer(Context, milliseconds(EventGapMs));
    co_await Timer.async_wait(net::asio::use_awaitable);
  }
  if (Unframed) {
    co_await Connection->closeGracefully();
    co_return false;
  }
  Bytes = "0\r\n\r\n";
  co_return co_await Connection->write(std::move(Bytes));
}

} // namespace limpetbridge::emulator
