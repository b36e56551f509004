/// A channel is reset between the last event of a stream and its end, and the
/// requester resumes the stream. The worker has nothing left to send: 204,
/// which has no body. The next answer on that channel must not be disturbed.
#include "../stand_ins_2/stand_ins.h"

using namespace stand_ins;

namespace {

constexpr int Rounds = 4;
constexpr int LastEvent = 5;
/// Time from the last event of a stream to its end.
constexpr int EndDelayMs = 150;

/// A worker of a streaming route. A stream that is resumed after its last event
/// has nothing left: 204.
auto serveStream(connection &Connection) -> void {
  while (const auto Request = Connection.readMessage(60'000)) {
    const auto Id = Request->field("X-Limpetbridge-Attempt-Id");
    const auto After = std::atoi(Request->field("Last-Event-Id").c_str());
    const auto Signed = "X-Limpetbridge-Attempt-Id: " + Id +
                        "\r\nX-Limpetbridge-Response-Signature: 3e1b.07\r\n";
    if (After >= LastEvent) {
      Connection.write("HTTP/1.1 204 No Content\r\n" + Signed + "\r\n");
      continue;
    }
    std::string Text =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + Signed +
        "Transfer-Encoding: chunked\r\n\r\n";
    for (int Number = After + 1; Number <= LastEvent; ++Number) {
      const auto Event = "id: " + std::to_string(Number) + "\ndata: piece " +
                         std::to_string(Number) + "\n\n";
      char Size[16];
      std::snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
      Text += Size + Event + "\r\n";
    }
    Connection.write(Text);
    sleepMs(EndDelayMs);
    if (!Connection.write("0\r\n\r\n"))
      return;
  }
}

const char *Configuration = R"({"version":3,"routes":[
 {"name":"fleet-audit","host":"models.example","prefix":"/audit/",
  "kind":"streaming","timeout_ms":6000,"target_latency_ms":1500,
  "priority":1,"service":"wheelwise","attempts":2,"resumable":true,
  "gap_aim_ms":300}],
 "services":[{"name":"wheelwise","health_path":"/health",
  "connection_limit":360}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

auto play(const std::string &CaseFolder) -> int {
  record_file Record(CaseFolder + "/record.txt");
  temporary_folder Folder;
  auto &Store = *new store;
  auto &Worker = *new server(serveStream);
  Store.put("op", "config", Configuration);
  Store.put("servers", "i-7001",
            json{{"service", "wheelwise"},
                 {"address", Worker.address()},
                 {"zone", "nashua"},
                 {"version", "v1"},
                 {"slots", 64},
                 {"state", "ready"},
                 {"cold_remaining_ms", 0},
                 {"born", 1'700'000'000'000},
                 {"sequence", 0}}
                .dump());
  gateway_place Place;
  Place.Name = "frontend-nashua-1";
  process Gateway("gateway", Folder.Path,
                  Place.settings(Store.address(), addressOf(Place.Peers)));
  Gateway.start();
  if (!Place.awaitReady())
    return NotRun;
  sleepMs(1000);
  int Wrong = 0;
  int Served = 0;
  for (int Round = 1; Round <= Rounds; ++Round) {
    connection Caller;
    if (!Caller.connect(Place.Callers))
      return NotRun;
    const auto Send = [&](const std::string &Id, int After) {
      Record.note("sent     " + Id + ", Last-Event-Id " +
                  std::to_string(After));
      Caller.write("POST /audit/2f HTTP/1.1\r\nHost: models.example\r\n"
                   "X-Limpetbridge-Attempt-Id: " +
                   Id + "\r\nX-Limpetbridge-Deadline-Ms: 5000\r\n" +
                   (After > 0
                        ? "Last-Event-Id: " + std::to_string(After) + "\r\n"
                        : "") +
                   "Content-Length: 2\r\n\r\n{}");
    };
    const auto FirstId = "9c41d07be2a35f0" + std::to_string(Round);
    Send(FirstId, 0);
    const auto First = Caller.readHead(6000);
    if (!First)
      return NotRun;
    Record.note("answered " + FirstId + ": " + First->First);
    const auto LastPiece = "data: piece " + std::to_string(LastEvent);
    if (hasTrouble()) {
      while (Caller.Buffer.find(LastPiece) == std::string::npos)
        if (!Caller.fill(6000))
          return NotRun;
      const linger Reset{1, 0};
      setsockopt(Caller.descriptor(), SOL_SOCKET, SO_LINGER, &Reset,
                 sizeof(Reset));
      Caller.close();
      Record.note("trouble  the channel is reset after the last event");
      if (!Caller.connect(Place.Callers))
        return NotRun;
      const auto ResumedId = "9c41d07be2a35f2" + std::to_string(Round);
      Send(ResumedId, LastEvent);
      const auto Resumed = Caller.readHead(6000);
      if (!Resumed)
        return NotRun;
      Record.note("answered " + ResumedId + ": " + Resumed->First +
                  ", Transfer-Encoding '" +
                  Resumed->field("Transfer-Encoding") + "'");
      // An answer with status 204 ends after its head (RFC 9112, 6.3).
      message Rest = *Resumed;
      if (Resumed->status() != 204 && !Caller.readBody(Rest, 6000))
        return NotRun;
    } else {
      message Rest = *First;
      if (!Caller.readBody(Rest, 6000))
        return NotRun;
    }
    sleepMs(300);
    const auto SecondId = "9c41d07be2a35f1" + std::to_string(Round);
    Send(SecondId, 0);
    const auto Second = Caller.readHead(6000);
    const bool IsAnswer = Second && Second->First.starts_with("HTTP/1.1 ");
    if (IsAnswer && Second->field("X-Limpetbridge-Attempt-Id") == SecondId) {
      ++Served;
      Record.note("answered " + SecondId + ": " + Second->First);
    } else {
      ++Wrong;
      Record.note("answered " + SecondId + ": bytes that are no answer: '" +
                  (Second ? Second->First : Caller.Buffer) + "'");
    }
  }
  Record.note("channels with bytes that are no answer: " +
              std::to_string(Wrong) + " of " + std::to_string(Rounds));
  if (Wrong == 0 && Served < Rounds)
    return NotRun;
  return Wrong > 0 ? Broken : Held;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  if (Count < 2)
    return NotRun;
  finish(play(Arguments[1]));
}
