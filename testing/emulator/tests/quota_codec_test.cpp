#include "base/message_pack.h"
#include "link_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <cmath>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;
using json = nlohmann::json;

/// The message in which gateways tell each other of quotas.
class quota_codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(quota_codec_test);
  CPPUNIT_TEST(decode_whatWasEncoded_isTheSame);
  CPPUNIT_TEST(decode_oddValue_isRefused);
  CPPUNIT_TEST(decode_cutAnywhere_isRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  auto decode_whatWasEncoded_isTheSame() -> void {
    const auto Bytes = encodeLink(makeReport());
    CPPUNIT_ASSERT(Bytes.size() < 150);
    const auto Decoded = decodeLink(Bytes);
    CPPUNIT_ASSERT(Decoded.has_value());
    const auto &[From, To, Message] = std::get<quota_report>(Decoded.value());
    CPPUNIT_ASSERT(From.Text == "gateway-1" && To.Text == "gateway-2");
    CPPUNIT_ASSERT(
        Message.Incarnation == 1771104970931 && Message.Number == 7 &&
        Message.HeardIncarnation == UINT64_MAX && Message.HeardNumber == 0 &&
        Message.Members == 29 && Message.Settled == UINT64_MAX);
    const auto &Demand = Message.Demands.at(0);
    CPPUNIT_ASSERT(Demand.Workspace.Text == "big corp" &&
                   Demand.PerSecond == 29000 && Demand.Missing == 0.5);
    CPPUNIT_ASSERT_EQUAL(0.0, Message.Demands.at(1).Missing);
    // A share that is rounded up is more than the sender counts, and a total
    // that is creates tokens.
    const auto &Loan = Message.Loans.at(0);
    CPPUNIT_ASSERT(Loan.Workspace.Text == "big corp" && Loan.Share <= 1.0 / 3 &&
                   Loan.Share > 0.333333 && Loan.Receivable == 57000 &&
                   Loan.IsGift && Loan.Tokens == 123456789.7);
  }

  /// Any of these would spoil what a gateway believes to hold.
  auto decode_oddValue_isRefused() -> void {
    const std::vector<json> Odd = {-1,  -0.5,    NAN,  INFINITY,     1e300,
                                   "1", nullptr, true, json::array()};
    for (const auto *Where :
         {"/i", "/n", "/hi", "/hn", "/m", "/d", "/l", "/d/0/1", "/d/0/2",
          "/l/0/1", "/l/0/2", "/l/0/3", "/l/0/4", "/f", "/t", "/s"})
      for (const auto &Value : Odd) {
        auto Json = parseMessagePack(encodeLink(makeReport())).value();
        Json[json::json_pointer(Where)] = Value;
        const bool IsList = std::string(Where).size() == 2 &&
                            (Where[1] == 'd' || Where[1] == 'l');
        const bool IsName = Where[1] == 'f' || Where[1] == 't';
        const bool Fits =
            (IsList && Value.is_array()) || (IsName && Value.is_string());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            Where, Fits, decodeLink(toMessagePack(Json)).has_value());
      }
    auto Json = parseMessagePack(encodeLink(makeReport())).value();
    Json["d"] = json(std::vector<json>(5000, Json["d"][0]));
    CPPUNIT_ASSERT(!decodeLink(toMessagePack(Json)));
  }

  auto decode_cutAnywhere_isRefused() -> void {
    const auto Bytes = encodeLink(makeReport());
    for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
      CPPUNIT_ASSERT(!decodeLink(std::string_view(Bytes).substr(0, Length)));
  }

private:
  static auto makeReport() -> quota_report {
    quota_report Report;
    Report.From = instance_name("gateway-1");
    Report.To = instance_name("gateway-2");
    Report.Message.Incarnation = 1771104970931;
    Report.Message.Number = 7;
    Report.Message.HeardIncarnation = UINT64_MAX;
    Report.Message.Members = 29;
    Report.Message.Settled = UINT64_MAX;
    Report.Message.Demands = {{workspace_name("big corp"), 29000, 0.5},
                              {workspace_name("w"), 3, 0}};
    auto &Loan = Report.Message.Loans.emplace_back();
    Loan.Workspace = workspace_name("big corp");
    Loan.Share = 1.0 / 3;
    Loan.Tokens = 123456789.7;
    Loan.Receivable = 57000;
    Loan.IsGift = true;
    return Report;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_codec_test);

} // namespace
