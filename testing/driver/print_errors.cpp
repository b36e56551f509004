/// \file
/// Prints the page of result codes.

#include "errors_page.h"

#include <iostream>

auto main() -> int {
  std::cout << limpetbridge::errorsPage();
  return 0;
}
