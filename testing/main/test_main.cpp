/// \file
/// Runs every CppUnit suite that is linked into a test program.

#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <iostream>

/// With an argument, only the suite or test of that name runs, for example
/// `(anonymous namespace)::exchange_test`.
auto main(int Count, char **Arguments) -> int {
  CppUnit::TextUi::TestRunner Runner;
  auto *All = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
  Runner.addTest(Count > 1 ? All->findTest(Arguments[1]) : All);
  Runner.setOutputter(
      new CppUnit::CompilerOutputter(&Runner.result(), std::cerr));
  return Runner.run() ? 0 : 1;
}
