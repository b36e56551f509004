/// \file
/// Stand-in of a worker: its row, its report, and the requests that it runs.
#ifndef LIMPETBRIDGE_REVIEW_WORKER_H
#define LIMPETBRIDGE_REVIEW_WORKER_H

#include "platform.h"

namespace review {

/// One worker of a service. What it does with a request is a hook.
class worker {
public:
  /// \returns whether the channel stays open.
  using request_hook =
      std::function<bool(worker &, channel &, const http_message &)>;

  worker(store &PlatformStore, std::string WorkerId, std::string WorkerService,
         std::vector<std::string> HeldModels, int WorkerSlots,
         request_hook Hook)
      : Store(PlatformStore), Id(std::move(WorkerId)),
        Service(std::move(WorkerService)), Models(std::move(HeldModels)),
        Slots(WorkerSlots), OnRequest(std::move(Hook)),
        Server([this](channel &Channel, http_message &Request) {
          return serve(Channel, Request);
        }) {
    publish();
  }

  auto publish() -> void { Store.put("servers", Id, row().dump()); }

  [[nodiscard]] auto report() const -> json {
    auto List = json::array();
    for (const auto &Model : Models)
      List.push_back(
          {{"name", Model}, {"version", 1}, {"adapters", json::array()}});
    return {{"stage", "colocated"},
            {"models", List},
            {"busy", false},
            {"sequence", 0},
            {"born", Born.load()},
            {"queued_requests", 0},
            {"active_requests", 0},
            {"kv_cache_used", 0},
            {"kv_cache_total", 270'589},
            {"handles", 0}};
  }
  [[nodiscard]] auto row() const -> json {
    auto Row = report();
    Row["service"] = Service;
    Row["address"] = Server.address();
    Row["zone"] = "north";
    Row["version"] = "v1";
    Row["slots"] = Slots;
    Row["state"] = "ready";
    Row["cold_remaining_ms"] = 0;
    return Row;
  }

  /// Answers with the worker's proof.
  auto answer(channel &Channel, const http_message &Request, int Status,
              const std::string &Body) const -> bool {
    return Channel.send(answerText(Status, proof(Request), Body));
  }
  [[nodiscard]] auto proof(const http_message &Request) const -> field_list {
    return {{"X-Limpetbridge-Attempt-Id",
             Request.field("X-Limpetbridge-Attempt-Id")},
            {"X-Limpetbridge-Response-Signature", "proof." + Id}};
  }
  /// States that the request was not run.
  auto refuse(channel &Channel, const http_message &Request, int Status) const
      -> bool {
    return Channel.send(
        answerText(Status,
                   {{"X-Limpetbridge-Attempt-Id",
                     Request.field("X-Limpetbridge-Attempt-Id")},
                    {"X-Limpetbridge-Not-Executed", "1"}},
                   ""));
  }

  store &Store;
  const std::string Id;
  const std::string Service;
  std::vector<std::string> Models;
  int Slots;
  std::atomic<std::int64_t> Born = 1'700'000'000'000;
  std::atomic<int> Running = 0;
  request_hook OnRequest;
  http_server Server;

private:
  auto serve(channel &Channel, http_message &Request) -> bool {
    const auto Deadline = steady::now() + std::chrono::seconds(20);
    if (!Channel.readBody(Request, false, Deadline))
      return false;
    Request.Body.clear(); // Its length was checked by reading it.
    if (Request.target() == "/report")
      return Channel.send(answerText(
          200, {{"Content-Type", "application/json"}}, report().dump()));
    const auto Expected = Request.field("X-Limpetbridge-Expected-Instance");
    if (!Expected.empty() && Expected != Id)
      return refuse(Channel, Request, 421);
    return OnRequest(*this, Channel, Request);
  }
};

/// Text of one event of a stream.
inline auto eventText(int Number) -> std::string {
  return "id: " + std::to_string(Number) + "\ndata: piece " +
         std::to_string(Number) + "\n\n";
}

/// Streams \p Events events in chunks; the caller sees the first one after
/// \p FirstMs. \returns false if the peer has gone.
inline auto streamEvents(worker &Worker, channel &Channel,
                         const http_message &Request, std::int64_t FirstMs,
                         std::int64_t GapMs, int Events) -> bool {
  sleepMs(FirstMs);
  std::string Text = "HTTP/1.1 200 OK\r\n";
  for (const auto &[Name, Value] : Worker.proof(Request))
    Text += Name + ": " + Value + "\r\n";
  Text += "Content-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n";
  for (int Number = 1; Number <= Events; ++Number) {
    Text += chunkText(eventText(Number));
    if (!Channel.send(Text))
      return false;
    Text.clear();
    if (Number < Events)
      sleepMs(GapMs);
  }
  return Channel.send("0\r\n\r\n");
}

} // namespace review

#endif // LIMPETBRIDGE_REVIEW_WORKER_H
