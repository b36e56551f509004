#include "base/log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

namespace {

using namespace limpetbridge;

/// Tests the log with a pipe as standard output.
class log_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(log_test);
  CPPUNIT_TEST(log_fullPipeOnStdout_doesNotBlock);
  CPPUNIT_TEST(log_infoLinesOverLimit_droppedCountedAndErrorKept);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    SavedStdout = dup(STDOUT_FILENO);
    CPPUNIT_ASSERT_EQUAL(0, pipe(Pipe.data()));
    dup2(Pipe[1], STDOUT_FILENO);
    startLog("test", "-");
  }

  auto tearDown() -> void override {
    startLog("test", "");
    setLogLimits({});
    dup2(SavedStdout, STDOUT_FILENO);
    for (const int Descriptor : {SavedStdout, Pipe[0], Pipe[1]})
      close(Descriptor);
  }

  auto log_fullPipeOnStdout_doesNotBlock() -> void {
    setLogLimits({1e9, 1e9});
    // These lines exceed the pipe's capacity several times, so a blocking write
    // would hang the test.
    for (int I = 0; I < 20'000; ++I)
      log(log_level::Warning, "line", {{"number", std::to_string(I)}});
    CPPUNIT_ASSERT(!readPipe().empty());
  }

  auto log_infoLinesOverLimit_droppedCountedAndErrorKept() -> void {
    setLogLimits({5, 5});
    usleep(400'000);
    for (int I = 0; I < 50; ++I)
      log(log_level::Info, "flood", {});
    log(log_level::Error, "failure", {});
    const auto Text = readPipe();
    // Warnings and errors have a rate limit of their own, so the flood of
    // information does not displace them.
    CPPUNIT_ASSERT(Text.find("\"failure\"") != std::string::npos);
    CPPUNIT_ASSERT(Text.find("\"left_out\"") != std::string::npos);
  }

private:
  auto readPipe() -> std::string {
    fcntl(Pipe[0], F_SETFL, O_NONBLOCK);
    std::string Text;
    std::array<char, 65536> Buffer{};
    for (;;) {
      const auto Count = ::read(Pipe[0], Buffer.data(), Buffer.size());
      if (Count <= 0)
        return Text;
      Text.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
  }

  int SavedStdout = -1;
  std::array<int, 2> Pipe{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_test);

} // namespace
