/// \file
/// Prints ports of loopback that nothing listens on: `free_ports COUNT`. They
/// lie below the ports that the kernel gives to outgoing connections, which
/// another process could take before they are used.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <random>
#include <vector>

auto main(int Count, char **Words) -> int {
  const int Wanted = Count > 1 ? std::atoi(Words[1]) : 1;
  constexpr int FirstPort = 10'000;
  constexpr int LastPort = 29'999;
  constexpr int MaxTries = 1000;
  std::random_device Random;
  std::uniform_int_distribution<int> Ports(FirstPort, LastPort);
  std::vector<int> Sockets;
  for (int Try = 0; std::ssize(Sockets) < Wanted; ++Try) {
    const int Socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(static_cast<std::uint16_t>(Ports(Random)));
    if (bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
        0) {
      close(Socket);
      if (Try < MaxTries)
        continue;
      return 1;
    }
    std::cout << ntohs(Address.sin_port) << ' ';
    Sockets.push_back(Socket);
  }
  std::cout << '\n';
  for (const int Socket : Sockets)
    close(Socket);
  return 0;
}
