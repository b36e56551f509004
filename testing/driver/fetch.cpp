/// \file
/// Prints a page of loopback: `fetch PORT PATH [TOKEN]`.

#include "caller_client.h"

#include <cstdlib>
#include <iostream>

auto main(int Count, char **Words) -> int {
  if (Count < 3)
    return 2;
  const auto Port = static_cast<std::uint16_t>(std::atoi(Words[1]));
  const limpetbridge::caller_client Client("127.0.0.1", Port,
                                           Count > 3 ? Words[3] : "");
  const auto Answer = Client.get(Words[2]);
  std::cout << Answer.Body;
  return Answer.Status == 200 ? 0 : 1;
}
