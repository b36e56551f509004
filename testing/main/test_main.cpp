/// \file
/// Runs every CppUnit suite that is linked into a test program.

#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <iostream>

auto main() -> int {
  CppUnit::TextUi::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  Runner.setOutputter(
      new CppUnit::CompilerOutputter(&Runner.result(), std::cerr));
  return Runner.run() ? 0 : 1;
}
