/// \file
/// The demonstration behind scripts/run: sends a dossier, a chat turn and a
/// booking, and compares the answers. `demo ENTRY_PORT… ` prints and checks.

#include "caller_client.h"
#include "engine_stand_in.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

using namespace limpetbridge;

constexpr const char *Host = "127.0.0.1";
constexpr int StatusOk = 200;
constexpr int ReadyTries = 200;
constexpr auto ReadyPause = std::chrono::milliseconds(100);

auto fail(const std::string &What, const caller_answer &Answer) -> int {
  std::cerr << "FAILED: " << What << ": status " << Answer.Status << ", body "
            << Answer.Body << '\n';
  return 1;
}

auto awaitReady(std::uint16_t Port) -> bool {
  const caller_client Client(Host, Port, "");
  for (int Try = 0; Try < ReadyTries; ++Try) {
    if (Client.get("/readyz").Status == StatusOk)
      return true;
    std::this_thread::sleep_for(ReadyPause);
  }
  return false;
}

auto checkChat(const caller_client &Client, const std::string &Model,
               const std::string &Title, const std::string &Prompt,
               std::uint32_t Tokens) -> int {
  const auto Answer = Client.chat(Model, Prompt, Tokens);
  const auto Expected = expectedAnswer(Model, "user: " + Prompt + "\n", Tokens);
  if (Answer.Status != StatusOk || !Answer.Done || Answer.Text != Expected)
    return fail(Title, Answer);
  constexpr std::size_t Shown = 60;
  std::cout << Title << " (" << Model << ", " << Prompt.size() << " bytes in, "
            << Tokens << " tokens out, first after "
            << static_cast<int>(Answer.FirstTokenMs)
            << " ms):" << Answer.Text.substr(0, Shown) << " …\n";
  return 0;
}

auto checkBooking(const caller_client &First, const caller_client &Second)
    -> int {
  const std::string Body = R"({"group":"Tamale 4","amount":"120.00"})";
  const auto Receipt = First.call("ledger", "book", Body, "booking-1");
  if (Receipt.Status != StatusOk || Receipt.Outcome != "done")
    return fail("booking", Receipt);
  std::cout << "Booking receipt: " << Receipt.Body << '\n';
  const auto Again = Second.call("ledger", "book", Body, "booking-1");
  if (Again.Body != Receipt.Body)
    return fail("repeated booking", Again);
  std::cout << "The same key at the other entry gets the same receipt.\n";
  return 0;
}

} // namespace

auto main(int Count, char **Words) -> int {
  if (Count != 3) {
    std::cerr << "usage: demo ENTRY_PORT ENTRY_PORT\n";
    return 2;
  }
  const auto FirstPort = static_cast<std::uint16_t>(std::atoi(Words[1]));
  const auto SecondPort = static_cast<std::uint16_t>(std::atoi(Words[2]));
  if (!awaitReady(FirstPort) || !awaitReady(SecondPort)) {
    std::cerr << "FAILED: an entry did not become ready\n";
    return 1;
  }
  const caller_client First(Host, FirstPort, "clerk-token-1");
  const caller_client Second(Host, SecondPort, "clerk-token-1");
  std::string Dossier;
  for (int Line = 0; Line < 400; ++Line)
    Dossier += "Lot " + std::to_string(Line) + ": moisture, acidity, origin. ";
  int Failures = checkChat(First, "notes", "Dossier", Dossier, 200);
  Failures +=
      checkChat(Second, "helper", "Chat turn", "When is the pick-up?", 24);
  Failures += checkChat(First, "helper-twi", "Chat turn with an adapter",
                        "Bere bɛn?", 24);
  Failures += checkBooking(First, Second);
  return Failures == 0 ? 0 : 1;
}
