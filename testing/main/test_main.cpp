/// \file
/// Runs every CppUnit suite that is linked into a test program. Failures of the
/// cases that KNOWN-RED.txt lists are printed and passed over.

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace {

/// Names in the lines `case: suite::test` of KNOWN-RED.txt.
auto readKnownRedCases() -> std::vector<std::string> {
  const std::string Prefix = "   case: ";
  std::vector<std::string> Cases;
  std::ifstream File(SOURCE_FOLDER "/KNOWN-RED.txt");
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with(Prefix))
      Cases.push_back(Line.substr(Prefix.size()));
  return Cases;
}

auto isKnownRed(const CppUnit::TestFailure &Failure,
                const std::vector<std::string> &Cases) -> bool {
  const auto Name = Failure.failedTestName();
  return std::any_of(Cases.begin(), Cases.end(), [&](const std::string &Case) {
    // Suites in no namespace have no prefix.
    return Name == Case || Name.ends_with("::" + Case);
  });
}

} // namespace

/// With an argument, only the suite or test of that name runs, for example
/// `(anonymous namespace)::exchange_test`.
auto main(int Count, char **Arguments) -> int {
  CppUnit::TextUi::TestRunner Runner;
  auto *All = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
  Runner.addTest(Count > 1 ? All->findTest(Arguments[1]) : All);
  Runner.setOutputter(
      new CppUnit::CompilerOutputter(&Runner.result(), std::cerr));
  if (Runner.run())
    return 0;
  const auto Cases = readKnownRedCases();
  bool OnlyKnown = true;
  for (const auto *Failure : Runner.result().failures()) {
    const bool Known = isKnownRed(*Failure, Cases);
    OnlyKnown &= Known;
    if (Known)
      std::cout << "known red: " << Failure->failedTestName() << "\n";
  }
  return OnlyKnown ? 0 : 1;
}
