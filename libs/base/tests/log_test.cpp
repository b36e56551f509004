#include "base/log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

namespace {

using namespace limpetbridge;

/// The log on a standard output that is a pipe.
class log_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(log_test);
  CPPUNIT_TEST(log_pipeNotRead_neverBlocks);
  CPPUNIT_TEST(log_beyondTheLimit_isLeftOutAndCounted);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Saved = dup(STDOUT_FILENO);
    CPPUNIT_ASSERT_EQUAL(0, pipe(Pipe.data()));
    dup2(Pipe[1], STDOUT_FILENO);
    startLog("test", "-");
  }

  auto tearDown() -> void override {
    startLog("test", "");
    setLogLimits({});
    dup2(Saved, STDOUT_FILENO);
    for (const int Descriptor : {Saved, Pipe[0], Pipe[1]})
      close(Descriptor);
  }

  auto log_pipeNotRead_neverBlocks() -> void {
    setLogLimits({1e9, 1e9});
    // Several times what a pipe holds; a write that blocks would hang here.
    for (int I = 0; I < 20'000; ++I)
      log(log_level::Warning, "line", {{"number", std::to_string(I)}});
    CPPUNIT_ASSERT(!read().empty());
  }

  auto log_beyondTheLimit_isLeftOutAndCounted() -> void {
    setLogLimits({5, 5});
    usleep(400'000);
    for (int I = 0; I < 50; ++I)
      log(log_level::Info, "flood", {});
    log(log_level::Error, "failure", {});
    const auto Text = read();
    // Failures have a budget of their own.
    CPPUNIT_ASSERT(Text.find("\"failure\"") != std::string::npos);
    CPPUNIT_ASSERT(Text.find("\"left_out\"") != std::string::npos);
  }

private:
  auto read() -> std::string {
    fcntl(Pipe[0], F_SETFL, O_NONBLOCK);
    std::string Text;
    std::array<char, 65536> Part{};
    for (;;) {
      const auto Count = ::read(Pipe[0], Part.data(), Part.size());
      if (Count <= 0)
        return Text;
      Text.append(Part.data(), static_cast<std::size_t>(Count));
    }
  }

  int Saved = -1;
  std::array<int, 2> Pipe{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_test);

} // namespace
