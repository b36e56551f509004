/// \file
/// Sends bad input to an entry and checks the number of each error:
/// `bad_input_driver ENTRY_PORT`.

#include "caller_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>

namespace {

using namespace limpetbridge;

constexpr const char *Host = "127.0.0.1";
int Failures = 0;

auto expect(const std::string &Title, const std::string &Body,
            const std::string &Code) -> void {
  if (Body.find("\"code\":" + Code) != std::string::npos)
    return;
  std::cout << "FAILED " << Title << ": expected " << Code << ", got " << Body
            << '\n';
  ++Failures;
}

/// Sends raw bytes and returns what came back until the peer closed.
auto sendRaw(std::uint16_t Port, std::string_view Bytes, bool CloseWrite)
    -> std::string {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(Port);
  inet_pton(AF_INET, Host, &To.sin_addr);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0)
    return "";
  (void)!write(Socket, Bytes.data(), Bytes.size());
  if (CloseWrite)
    shutdown(Socket, SHUT_WR);
  std::string Answer;
  char Buffer[4096];
  for (;;) {
    const auto Length = read(Socket, Buffer, sizeof(Buffer));
    if (Length <= 0)
      break;
    Answer.append(Buffer, static_cast<std::size_t>(Length));
  }
  close(Socket);
  return Answer;
}

auto checkJson(const caller_client &Client) -> void {
  const std::string Path = "/v1/chat/completions";
  expect("malformed JSON", Client.post(Path, "{\"model\":").Body, "1001");
  expect("broken UTF-8",
         Client.post(Path, "{\"model\":\"\xff\xfe\",\"messages\":[]}").Body,
         "1001");
  expect("no messages", Client.post(Path, R"({"model":"notes"})").Body, "1001");
  expect("wrong type", Client.post(Path, R"({"model":3,"messages":[]})").Body,
         "1001");
  expect("oversize body", Client.post(Path, std::string(8'000'000, 'x')).Body,
         "1005");
  expect("unknown model",
         Client
             .post(Path, R"({"model":"none","messages":[{"role":"user",)"
                         R"("content":"x"}]})")
             .Body,
         "1004");
  expect("foreign model",
         Client
             .post(Path, R"({"model":"helper-2","messages":[{"role":"user",)"
                         R"("content":"x"}]})")
             .Body,
         "1003");
  expect("unknown page", Client.get("/v1/nothing").Body, "1004");
  expect("unknown service", Client.post("/v1/services/none/book", "{}").Body,
         "1004");
  expect("unknown operation", Client.post("/v1/services/ledger/no", "{}").Body,
         "1004");
}

} // namespace

auto main(int Count, char **Words) -> int {
  if (Count != 2)
    return 2;
  const auto Port = static_cast<std::uint16_t>(std::atoi(Words[1]));
  checkJson(caller_client(Host, Port, "clerk-token-1"));
  expect("unknown token",
         caller_client(Host, Port, "wrong")
             .post("/v1/services/ledger/book", "{}")
             .Body,
         "1002");
  // A half-closed and a slow sender end; neither holds the entry up.
  sendRaw(Port, "POST /v1/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{",
          true);
  sendRaw(Port, "POST /v1/completions HTTP/1.1\r\nContent-Le", false);
  sendRaw(Port, "\x00\xff\x10 nonsense\r\n\r\n", true);
  std::cout << (Failures == 0 ? "every error was numbered\n" : "");
  return Failures == 0 ? 0 : 1;
}
