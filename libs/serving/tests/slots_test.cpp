#include "gateway_fixture.h"
#include "serving/picker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Short prompts with long outputs: the engines' slots fill long before their
/// prefill time does.
class slots_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(slots_test);
  CPPUNIT_TEST(pick_slotsHeld_otherCopyIsTaken);
  CPPUNIT_TEST(pick_lessUrgentHoldTheSlots_isNotDelayedByThem);
  CPPUNIT_TEST(copies_slotsFill_anotherCopyIsLoaded);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Harness = gateway_harness();
    auto Configuration = makeConfiguration(2);
    Configuration.Services[service_name("models")].Engine.Slots = Slots;
    for (auto &Route : Configuration.Routes)
      if (Route.Name == "/plan/")
        Route.Priority = 2;
    Harness.dispatch(configuration_read{Configuration});
  }

  auto pick_slotsHeld_otherCopyIsTaken() -> void {
    addEngine("e1", {"a"});
    addEngine("e2", {"a"});
    runToEnd(1, "/chat/x");
    // All share a prompt that the first engine has in its cache.
    std::map<std::string, std::uint32_t> Sent;
    for (request_number Number = 2; Number < 2 + 2 * Slots; ++Number)
      ++Sent[startDecoding(Number, "/chat/x")];
    CPPUNIT_ASSERT_EQUAL(Slots, Sent["e1"]);
    CPPUNIT_ASSERT_EQUAL(Slots, Sent["e2"]);
  }

  auto pick_lessUrgentHoldTheSlots_isNotDelayedByThem() -> void {
    addEngine("e1", {"a"});
    runToEnd(1, "/plan/x");
    for (request_number Number = 2; Number < 2 + Slots; ++Number)
      startDecoding(Number, "/plan/x");
    const auto &Entry = *Harness.State.Book.find(target_name("e1"));
    const prompt Prompt;
    pick_request Urgent;
    Urgent.Prompt = &Prompt;
    Urgent.Rank = 0;
    auto Background = Urgent;
    Background.Rank = 2;
    CPPUNIT_ASSERT_EQUAL(0.0, slotWaitMs(Entry, Urgent));
    // One of the slots becomes free in a decode time's share.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(DecodeMs / Slots,
                                 slotWaitMs(Entry, Background), 1);
  }

  auto copies_slotsFill_anotherCopyIsLoaded() -> void {
    addEngine("e1", {"a"});
    addEngine("e2", {});
    runToEnd(1, "/chat/x");
    // Ten requests a second need two and a half engines, but only a twentieth
    // of one engine's prefill time.
    std::vector<request_load> Loads;
    for (request_number Number = 2; Number < 40 && Loads.empty(); ++Number) {
      startDecoding(Number, "/chat/x");
      Harness.Now += milliseconds(100);
      Harness.dispatch(tick{});
      Loads = Harness.effectsOf<request_load>();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Loads.size());
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), Loads.front().Target.Text);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Loads.front().Model.Text);
  }

private:
  static constexpr std::uint32_t Slots = 4;
  static constexpr std::uint32_t OutputTokens = 200;
  static constexpr double DecodeMs = 1000;

  auto addEngine(const char *Name, const std::vector<std::string> &Models)
      -> void {
    Harness.addTarget(Name, "models", Models);
    Harness.State.Book.find(target_name(Name))->Target.Slots = Slots;
  }

  /// Starts a request and its output. \returns its target.
  auto startDecoding(request_number Number, const char *Path) -> std::string {
    request_arrived Event;
    Event.Number = Number;
    Event.Call.Id = std::to_string(Number);
    Event.Call.Host = "h";
    Event.Call.Path = Path;
    Event.Call.Arrived = Harness.Now;
    Event.Call.CallerDeadline = Harness.Now + seconds(10);
    Event.Call.HasPrompt = true;
    Event.Call.Prompt = {
        model_name("a"), "", 200, OutputTokens, {{1, 150}, {Number, 50}}};
    Harness.dispatch(Event);
    auto Target = Harness.onlyEffect<send_attempt>().Target.Text;
    Harness.dispatch(first_output{Number});
    return Target;
  }

  auto runToEnd(request_number Number, const char *Path) -> void {
    startDecoding(Number, Path);
    Harness.Now += milliseconds(static_cast<std::int64_t>(DecodeMs));
    Harness.endAttempt(Number, attempt_end::Answered);
  }

  gateway_harness Harness;
};

CPPUNIT_TEST_SUITE_REGISTRATION(slots_test);

} // namespace
