#include "platform/instance_codec.h"
#include "platform/platform_client.h"

#include "base/thread.h"

#include <cppunit/extensions/HelperMacros.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <future>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace limpetbridge;
using json = nlohmann::json;

/// A client of a platform that returns one prepared list of instances.
class platform_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(platform_client_test);
  CPPUNIT_TEST(readInstances_oddRow_othersAreListed);
  CPPUNIT_TEST(readInstances_eraRises_listBeginsAnew);
  CPPUNIT_TEST_SUITE_END();

public:
  auto readInstances_oddRow_othersAreListed() -> void {
    instance_record Record;
    Record.Name = instance_name("agent-1");
    for (const auto &[Key, Odd] :
         std::vector<std::pair<std::string, json>>{{"name", 5},
                                                   {"address", nullptr},
                                                   {"memory", -1},
                                                   {"memory", 1e300},
                                                   {"incarnation", -1},
                                                   {"incarnation", 1.5},
                                                   {"leaving", "no"},
                                                   {"role", "other"},
                                                   {"kind", 7}}) {
      auto Invalid = encodeInstance(Record);
      Invalid[Key] = Odd;
      const json List = {{"version", 3},
                         {"full", true},
                         {"rows", {Invalid, encodeInstance(Record), 7}},
                         {"removed", json::array()}};
      const auto Listed = readList(List.dump());
      CPPUNIT_ASSERT_MESSAGE(Key, Listed.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Key, std::size_t{1},
                                   Listed->Instances.size());
      CPPUNIT_ASSERT_EQUAL(Record.Name.Text,
                           Listed->Instances.front().Name.Text);
    }
  }

  /// Guards against versions of the old era being taken for known ones.
  auto readInstances_eraRises_listBeginsAnew() -> void {
    std::mutex Mutex;
    std::vector<std::string> Seen; // Versions asked from, and announcements.
    std::string Era = "1";
    httplib::Server Server;
    const auto Note = [&](const std::string &Text, httplib::Response &To) {
      const std::lock_guard Lock(Mutex);
      Seen.push_back(Text);
      To.set_header("Store-Era", Era);
      To.set_content(R"({"version":5,"full":true,"rows":[],"removed":[]})",
                     "application/json");
    };
    Server.Get("/instances", [&](const auto &From, auto &To) {
      Note(From.get_param_value("since"), To);
    });
    Server.Put("/instances/agent-1",
               [&](const auto &, auto &To) { Note("announced", To); });
    platform_options Options;
    Options.Host = "127.0.0.1";
    Options.Port =
        static_cast<std::uint16_t>(Server.bind_to_any_port("127.0.0.1"));
    const thread Serving("platform", ConnectionStackBytes,
                         [&] { Server.listen_after_bind(); });
    {
      platform_client Client(Options, [](const event &) {});
      instance_record Self;
      Self.Name = instance_name("agent-1");
      CPPUNIT_ASSERT(Client.registerInstance(Self).has_value());
      const auto Read = [&](std::size_t Expected) {
        // A read is ignored while another one is in progress.
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        Client.readInstances();
        for (int I = 0; I < 500; ++I) {
          std::this_thread::sleep_for(std::chrono::milliseconds(10));
          const std::lock_guard Lock(Mutex);
          if (Seen.size() >= Expected)
            return;
        }
      };
      Read(2);
      {
        const std::lock_guard Lock(Mutex);
        Era = "2";
      }
      Read(4); // Notices the rise, so the record is written again.
      Read(5);
    }
    Server.stop();
    const std::vector<std::string> Expected = {"announced", "0", "5",
                                               "announced", "0"};
    CPPUNIT_ASSERT(Expected == Seen);
  }

private:
  /// \returns the list that the client reports within a second.
  static auto readList(const std::string &Text)
      -> std::optional<instances_listed> {
    httplib::Server Server;
    Server.Get("/instances",
               [&](const httplib::Request &, httplib::Response &To) {
                 To.set_content(Text, "application/json");
               });
    platform_options Options;
    Options.Host = "127.0.0.1";
    Options.Port =
        static_cast<std::uint16_t>(Server.bind_to_any_port("127.0.0.1"));
    const thread Serving("platform", ConnectionStackBytes,
                         [&] { Server.listen_after_bind(); });
    std::promise<instances_listed> Promise;
    auto Listed = Promise.get_future();
    std::optional<instances_listed> Result;
    {
      platform_client Client(Options, [&](event Event) {
        if (auto *List = std::get_if<instances_listed>(&Event))
          Promise.set_value(std::move(*List));
      });
      Client.readInstances();
      if (Listed.wait_for(std::chrono::seconds(1)) == std::future_status::ready)
        Result = Listed.get();
    }
    Server.stop();
    return Result;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_client_test);

} // namespace
