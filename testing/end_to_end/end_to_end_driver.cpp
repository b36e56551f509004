/// \file
/// 200 concurrent streamed requests and 40 bookings over two entries. Prints
/// `running` once all are under way, and checks every answer at the end.
///
/// `end_to_end_driver ENTRY_PORT ENTRY_PORT SERVICE_PORT`

#include "caller_client.h"
#include "engine_stand_in.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <vector>

namespace {

using namespace limpetbridge;

constexpr int Streams = 200;
constexpr int Bookings = 40;
constexpr std::uint32_t Tokens = 120;
constexpr int StatusOk = 200;
constexpr const char *Host = "127.0.0.1";
constexpr const char *Token = "clerk-token-1";

/// What came of all requests.
struct tally {
  std::atomic<int> Started{0};
  std::atomic<int> Whole{0};
  std::atomic<int> Clear{0}; ///< Failed with a numbered error or end.
  std::atomic<int> Wrong{0}; ///< Done, and not its own whole answer.
};

auto hasNumberedError(const std::string &Body) -> bool {
  return Body.find("\"code\":") != std::string::npos &&
         Body.find("\"outcome\":") != std::string::npos;
}

auto judge(const caller_answer &Answer, const std::string &Expected,
           tally &Tally, const std::string &Title) -> void {
  if (Answer.Done && Answer.Text == Expected) {
    ++Tally.Whole;
    return;
  }
  if (!Answer.Done && hasNumberedError(Answer.Body)) {
    std::cout << Title << " failed clearly: " << Answer.Status << '\n';
    ++Tally.Clear;
    return;
  }
  std::cout << "WRONG " << Title << ": status " << Answer.Status << " done "
            << Answer.Done << " bytes " << Answer.Text.size() << " after "
            << Answer.TotalMs << " ms: " << Answer.Body.substr(0, 200) << '\n';
  ++Tally.Wrong;
}

auto runStream(std::uint16_t Port, int Number, tally &Tally) -> void {
  const std::string Model = Number % 2 == 0 ? "helper" : "notes";
  const auto Prompt = "question " + std::to_string(Number);
  ++Tally.Started;
  const auto Answer =
      caller_client(Host, Port, Token).chat(Model, Prompt, Tokens);
  judge(Answer, expectedAnswer(Model, "user: " + Prompt + "\n", Tokens), Tally,
        "stream " + std::to_string(Number));
}

auto runBooking(std::uint16_t Port, int Number, tally &Tally) -> void {
  const auto Body = "{\"payment\":" + std::to_string(Number) + "}";
  const bool Keyed = Number % 2 == 0;
  const auto Key = Keyed ? "payment-" + std::to_string(Number) : "";
  ++Tally.Started;
  const caller_client Client(Host, Port, Token);
  auto Answer = Client.call("ledger", "book", Body, Key);
  if (Keyed) // A caller with a key repeats, whatever it heard.
    Answer = Client.call("ledger", "book", Body, Key);
  if (Answer.Status == StatusOk)
    ++Tally.Whole;
  else if (hasNumberedError(Answer.Body))
    ++Tally.Clear;
  else
    ++Tally.Wrong;
}

/// Payments that the service booked more than once.
auto countDoubles(std::uint16_t ServicePort) -> int {
  const auto Answer = caller_client(Host, ServicePort, "").get("/bookings");
  const auto Books = nlohmann::json::parse(Answer.Body);
  int Doubles = 0;
  for (const auto &[Body, Times] : Books.items())
    Doubles += Times.get<int>() > 1 ? 1 : 0;
  std::cout << Books.size() << " payments booked, " << Doubles << " twice\n";
  return Doubles;
}

} // namespace

auto main(int Count, char **Words) -> int {
  if (Count != 4)
    return 2;
  const std::uint16_t Ports[] = {
      static_cast<std::uint16_t>(std::atoi(Words[1])),
      static_cast<std::uint16_t>(std::atoi(Words[2]))};
  tally Tally;
  std::vector<std::unique_ptr<thread>> Threads;
  Threads.reserve(Streams + Bookings);
  for (int Number = 0; Number < Streams; ++Number)
    Threads.push_back(std::make_unique<thread>(
        "stream", LoopStackBytes, [&Tally, &Ports, Number] {
          runStream(Ports[Number % 2], Number, Tally);
        }));
  for (int Number = 0; Number < Bookings; ++Number)
    Threads.push_back(std::make_unique<thread>(
        "booking", LoopStackBytes, [&Tally, &Ports, Number] {
          runBooking(Ports[Number % 2], Number, Tally);
        }));
  while (Tally.Started < Streams + Bookings)
    ;
  std::cout << "running" << std::endl;
  Threads.clear();
  const int Doubles =
      countDoubles(static_cast<std::uint16_t>(std::atoi(Words[3])));
  std::cout << Tally.Whole << " whole, " << Tally.Clear
            << " failed with a numbered error, " << Tally.Wrong << " wrong\n";
  const bool MostWhole = Tally.Whole >= (Streams + Bookings) * 9 / 10;
  return Tally.Wrong == 0 && Doubles == 0 && MostWhole ? 0 : 1;
}
