/// \file
/// Prints ports of loopback that nothing listens on: `free_ports COUNT`.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <vector>

auto main(int Count, char **Words) -> int {
  const int Wanted = Count > 1 ? std::atoi(Words[1]) : 1;
  std::vector<int> Sockets;
  for (int Index = 0; Index < Wanted; ++Index) {
    const int Socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(Address);
    auto *Generic = reinterpret_cast<sockaddr *>(&Address);
    if (bind(Socket, Generic, Length) != 0 ||
        getsockname(Socket, Generic, &Length) != 0)
      return 1;
    std::cout << ntohs(Address.sin_port) << ' ';
    Sockets.push_back(Socket);
  }
  std::cout << '\n';
  for (const int Socket : Sockets)
    close(Socket);
  return 0;
}
