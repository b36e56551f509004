/// \file
/// A worker as a process of its own, so that a crash is the end of a process:
/// its channels end as the operating system ends them.
///
/// Arguments are KEY=VALUE: id, port, log, events, first_ms, gap_ms, framed (1:
/// chunks, 0: neither a length nor chunks), crash_part (an id in hexadecimal;
/// the worker crashes once it has begun its answer to a request with it).
#include "worker.h"

namespace {

using namespace review;

std::map<std::string, std::string> Options;

auto number(const char *Key) -> std::int64_t {
  return std::stoll(Options.at(Key));
}

/// Appends a line to the log at once, as the process may end at any time.
auto note(const std::string &Line) -> void {
  static const int File =
      ::open(Options.at("log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  const auto Text = Line + "\n";
  if (::write(File, Text.data(), Text.size()) < 0)
    ::_exit(3);
}

/// True if a part of the prompt other than its last one crashes the worker.
auto crashes(const http_message &Request) -> bool {
  const auto Part = Options["crash_part"];
  const auto Parts = Request.field("X-Limpetbridge-Prompt-Prefix");
  const auto Last = Parts.rfind(',');
  return !Part.empty() && Last != std::string::npos &&
         ("," + Parts.substr(0, Last)).find("," + Part + ":") !=
             std::string::npos;
}

auto serve(channel &Channel, http_message &Request) -> bool {
  const auto Deadline = steady::now() + std::chrono::seconds(20);
  if (!Channel.readBody(Request, false, Deadline))
    return false;
  const auto Id = Request.field("X-Limpetbridge-Attempt-Id");
  const auto Expected = Request.field("X-Limpetbridge-Expected-Instance");
  if (!Expected.empty() && Expected != Options["id"])
    return Channel.send(answerText(421,
                                   {{"X-Limpetbridge-Attempt-Id", Id},
                                    {"X-Limpetbridge-Not-Executed", "1"}},
                                   ""));
  const auto After = Request.field("Last-Event-Id");
  const bool Framed = Options["framed"] == "1";
  const bool Crashes = crashes(Request);
  note("run " + Id + (Crashes ? " crash" : "") +
       (After.empty() ? "" : " after " + After));
  sleepMs(number("first_ms"));
  std::string Text = "HTTP/1.1 200 OK\r\nX-Limpetbridge-Attempt-Id: " + Id +
                     "\r\nX-Limpetbridge-Response-Signature: proof." +
                     Options["id"] + "\r\nContent-Type: text/event-stream\r\n" +
                     (Framed ? "Transfer-Encoding: chunked\r\n\r\n"
                             : "Connection: close\r\n\r\n");
  const auto Events = number("events");
  for (auto Event = After.empty() ? 1 : std::stoll(After) + 1; Event <= Events;
       ++Event) {
    const auto Piece = "id: " + std::to_string(Event) + "\ndata: piece " +
                       std::to_string(Event) +
                       (Event == Events ? " last" : "") + "\n\n";
    Text += Framed ? chunkText(Piece) : Piece;
    if (!Channel.send(Text))
      return false;
    Text.clear();
    if (Crashes) {
      sleepMs(20);
      note("crash " + Id);
      ::_exit(139);
    }
    if (Event < Events)
      sleepMs(number("gap_ms"));
  }
  note("done " + Id);
  return Framed && Channel.send("0\r\n\r\n");
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  for (int I = 1; I < Count; ++I) {
    const std::string Argument = Arguments[I];
    const auto Equals = Argument.find('=');
    Options[Argument.substr(0, Equals)] = Argument.substr(Equals + 1);
  }
  http_server Server(serve, static_cast<std::uint16_t>(number("port")));
  note("started");
  for (;;)
    ::pause();
}
