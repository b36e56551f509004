#include "base/message_pack.h"
#include "link_codec.h"
#include "serving/crash_messages.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;
using json = nlohmann::json;

/// The message in which gateways tell each other of crashes.
class crash_report_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(crash_report_test);
  CPPUNIT_TEST(decode_whatWasEncoded_isTheSame);
  CPPUNIT_TEST(decode_fullMessage_fitsIntoOnePacket);
  CPPUNIT_TEST(decode_manySuspects_areTheSame);
  CPPUNIT_TEST(split_crashOfALongPrompt_fitsIntoFewPackets);
  CPPUNIT_TEST(split_differentCharges_fitIntoPackets);
  CPPUNIT_TEST(decode_suspectOfAnotherKind_isSkipped);
  CPPUNIT_TEST(decode_oddAges_areClamped);
  CPPUNIT_TEST(decode_cutAnywhere_isRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  auto decode_whatWasEncoded_isTheSame() -> void {
    const auto Report = decode(encodeLink(makeReport(1, 1)));
    CPPUNIT_ASSERT_EQUAL(std::string("g1"), Report.From.Text);
    const auto &Suspect = Report.Suspects.at(0);
    CPPUNIT_ASSERT(Suspect.Suspect == (suspect{suspect_kind::Part, 0xd1}));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{-1}, Suspect.ServedAgeMs);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{70}, Suspect.RefusedAgeMs);
    const auto &Charge = Suspect.Charges.at(0);
    CPPUNIT_ASSERT(Charge.Run ==
                   (target_run{target_name("i-0123456789"), 1771104970931}));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{250}, Charge.AgeMs);
    CPPUNIT_ASSERT(Charge.AnswerBegun);
  }

  auto decode_fullMessage_fitsIntoOnePacket() -> void {
    constexpr std::size_t PacketBytes = 1400;
    CPPUNIT_ASSERT(encodeLink(makeReport(16, 1)).size() <= PacketBytes);
    CPPUNIT_ASSERT(encodeLink(makeReport(2, 8)).size() <= PacketBytes);
  }

  auto decode_manySuspects_areTheSame() -> void {
    auto Report = makeReport(40, 2);
    for (std::size_t I = 0; I < Report.Suspects.size(); ++I) {
      Report.Suspects[I].Suspect.Kind =
          I % 2 == 0 ? suspect_kind::Part : suspect_kind::Load;
      Report.Suspects[I].ServedAgeMs = I % 3 == 0 ? 5 : -1;
    }
    const auto Decoded = decode(encodeLink(Report));
    crash_ledger Sent;
    crash_ledger Received;
    const time_point Now{seconds(1000)};
    for (const auto &Suspect : Report.Suspects)
      Sent.merge(Suspect, Now);
    for (const auto &Suspect : Decoded.Suspects)
      Received.merge(Suspect, Now);
    CPPUNIT_ASSERT(Sent.suspects() == Received.suspects());
    for (const auto &Suspect : Sent.suspects()) {
      CPPUNIT_ASSERT(Sent.crashesOf(Suspect) == Received.crashesOf(Suspect));
      CPPUNIT_ASSERT_EQUAL(Sent.report(Suspect, Now).ServedAgeMs,
                           Received.report(Suspect, Now).ServedAgeMs);
    }
  }

  /// Guards against messages that grow with the prompts: 1,300 parts took 82.
  auto split_crashOfALongPrompt_fitsIntoFewPackets() -> void {
    const auto Messages = splitReports(makeReport(1300, 1).Suspects);
    CPPUNIT_ASSERT(Messages.size() <= 13);
    expectPackets(Messages, 1300);
  }

  auto split_differentCharges_fitIntoPackets() -> void {
    auto Report = makeReport(300, 4);
    for (std::size_t I = 0; I < Report.Suspects.size(); ++I)
      Report.Suspects[I].ServedAgeMs = static_cast<std::int64_t>(I / 2);
    expectPackets(splitReports(Report.Suspects), 300);
  }

  auto decode_suspectOfAnotherKind_isSkipped() -> void {
    auto Json = parseMessagePack(encodeLink(makeReport(2, 1))).value();
    // A kind of a later version may have other values.
    Json["s"][0] = {"model:d1", {{"ages", 1}}};
    const auto Report = decode(toMessagePack(Json));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Report.Suspects.size());
  }

  auto decode_oddAges_areClamped() -> void {
    for (const auto Age : {INT64_MIN, std::int64_t{-5}, INT64_MAX}) {
      auto Json = parseMessagePack(encodeLink(makeReport(1, 1))).value();
      Json["s"][0][1] = Age;
      Json["s"][0][2] = Age;
      Json["s"][0][3][0][2] = Age;
      const auto Report = decode(toMessagePack(Json));
      crash_ledger Ledger;
      Ledger.merge(Report.Suspects.at(0), time_point(seconds(1)));
      CPPUNIT_ASSERT(!Ledger.empty());
    }
  }

  auto decode_cutAnywhere_isRefused() -> void {
    const auto Bytes = encodeLink(makeReport(2, 2));
    for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
      CPPUNIT_ASSERT(!decodeLink(std::string_view(Bytes).substr(0, Length)));
  }

private:
  static auto
  expectPackets(const std::vector<std::vector<suspect_report>> &Messages,
                std::size_t Suspects) -> void {
    constexpr std::size_t PacketBytes = 1400;
    std::size_t Count = 0;
    for (const auto &Message : Messages) {
      Count += Message.size();
      CPPUNIT_ASSERT(
          encodeLink(crash_report{instance_name("g1"), Message}).size() <=
          PacketBytes);
    }
    CPPUNIT_ASSERT_EQUAL(Suspects, Count);
  }

  static auto makeReport(std::size_t Suspects, std::size_t Charges)
      -> crash_report {
    crash_report Report;
    Report.From = instance_name("g1");
    for (std::size_t I = 0; I < Suspects; ++I) {
      suspect_report Suspect;
      Suspect.Suspect.Id = 0xd1 + I;
      Suspect.RefusedAgeMs = 70;
      for (std::size_t J = 0; J < Charges; ++J)
        Suspect.Charges.push_back(
            {{target_name("i-0123456789"), 1771104970931 + J}, 250, true});
      Report.Suspects.push_back(Suspect);
    }
    return Report;
  }

  static auto decode(const std::string &Bytes) -> crash_report {
    const auto Message = decodeLink(Bytes);
    CPPUNIT_ASSERT(Message.has_value());
    return std::get<crash_report>(Message.value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_report_test);

} // namespace
