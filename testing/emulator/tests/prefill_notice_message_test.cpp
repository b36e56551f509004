#include "base/message_pack.h"
#include "link_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// The datagram in which gateways tell each other of a prompt.
class prefill_notice_message_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(prefill_notice_message_test);
  CPPUNIT_TEST(decode_whatWasEncoded_isTheSame);
  CPPUNIT_TEST(decode_cutAnywhereOrOddFields_isRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  auto decode_whatWasEncoded_isTheSame() -> void {
    const auto Bytes = encodeLink(makeNotice());
    CPPUNIT_ASSERT(!isDigest(Bytes));
    CPPUNIT_ASSERT(Bytes.size() < 120);
    const auto Message = decodeLink(Bytes);
    const auto *Notice = std::get_if<prefill_notice>(&Message.value());
    CPPUNIT_ASSERT(Notice != nullptr);
    CPPUNIT_ASSERT(Notice->From == makeNotice().From);
    CPPUNIT_ASSERT(Notice->Target == makeNotice().Target);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Notice->Rank);
    CPPUNIT_ASSERT_EQUAL(74.5, Notice->PrefillMs);
  }

  auto decode_cutAnywhereOrOddFields_isRefused() -> void {
    const auto Bytes = encodeLink(makeNotice());
    for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
      CPPUNIT_ASSERT(!decodeLink(Bytes.substr(0, Length)));
    for (const auto *Field : {"f", "t", "r", "p"}) {
      auto Json = parseMessagePack(Bytes).value();
      Json[Field] = nlohmann::json::array();
      CPPUNIT_ASSERT(!decodeLink(toMessagePack(Json)));
    }
  }

private:
  static auto makeNotice() -> prefill_notice {
    return {instance_name("gateway-surat-b-3"), target_name("i-0123456789"), 2,
            74.5};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(prefill_notice_message_test);

} // namespace
