/// \file
/// A whole entry that is asked to drain.

#include "base/thread.h"
#include "node.h"
#include "node_setup.h"

#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>

using namespace limpetbridge;

class node_drain_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(node_drain_test);
  CPPUNIT_TEST(drain_silentStore_beginsAtOnce);
  CPPUNIT_TEST(drainTimeout_killedEarlier_endsBeforeTheKill);
  CPPUNIT_TEST_SUITE_END();

public:
  auto drain_silentStore_beginsAtOnce() -> void {
    const int Store = ::socket(AF_INET, SOCK_STREAM, 0); // Accepts nothing.
    sockaddr_in At{};
    At.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &At.sin_addr);
    socklen_t Size = sizeof(At);
    CPPUNIT_ASSERT(::bind(Store, reinterpret_cast<sockaddr *>(&At), Size) == 0);
    CPPUNIT_ASSERT(::listen(Store, 8) == 0);
    ::getsockname(Store, reinterpret_cast<sockaddr *>(&At), &Size);
    auto Settings = defaultSettings();
    Settings.Name = "entry";
    Settings.Role = "entry";
    Settings.CallerPort = Settings.PeerPort = Settings.OperatorPort = 0;
    Settings.PlatformPort = ntohs(At.sin_port);
    Settings.PlatformTimeoutMs = 3000;
    Settings.BalancerWaitMs = 0;
    std::promise<void> Stopped;
    auto Stop = Stopped.get_future();
    {
      node Node(Settings, [&](result_code) { Stopped.set_value(); });
      thread Drain("drain", LoopStackBytes, [&] { Node.drain(); });
      const auto Status = Stop.wait_for(seconds(1));
      CPPUNIT_ASSERT(Status == std::future_status::ready);
    }
    ::close(Store);
  }

  auto drainTimeout_killedEarlier_endsBeforeTheKill() -> void {
    auto Settings = defaultSettings(); // Drains for 60 s, is killed after 8 s.
    const auto Kill = milliseconds(Settings.StopGraceMs);
    const auto Drain = toNodeOptions(Settings).DrainTimeout;
    CPPUNIT_ASSERT(Drain < callerCutTimeout(Settings));
    CPPUNIT_ASSERT(callerCutTimeout(Settings) < Kill);
    Settings.DrainDeadlineMs = 1;
    CPPUNIT_ASSERT(toNodeOptions(Settings).DrainTimeout == milliseconds(1));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(node_drain_test);
