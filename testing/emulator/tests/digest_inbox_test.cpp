#include "digest_inbox.h"
#include "link_codec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Digests that arrive faster than they are read.
class digest_inbox_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(digest_inbox_test);
  CPPUNIT_TEST(take_severalOfOneSender_isTheLatest);
  CPPUNIT_TEST(take_severalSenders_inTheOrderOfTheFirst);
  CPPUNIT_TEST(put_readMoreSlowlyThanTheyArrive_everySenderHasItsTurn);
  CPPUNIT_TEST(put_manySenders_isBounded);
  CPPUNIT_TEST(isDigest_kindsOfMessages_areToldApart);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override { Inbox = digest_inbox(); }

  auto take_severalOfOneSender_isTheLatest() -> void {
    Inbox.put("a", "1");
    Inbox.put("a", "2");
    CPPUNIT_ASSERT_EQUAL(std::string("2"), Inbox.take().value());
    CPPUNIT_ASSERT(Inbox.empty() && !Inbox.take());
  }

  auto take_severalSenders_inTheOrderOfTheFirst() -> void {
    Inbox.put("b", "1");
    Inbox.put("a", "1");
    Inbox.put("b", "2");
    CPPUNIT_ASSERT_EQUAL(std::string("2"), Inbox.take().value());
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Inbox.take().value());
  }

  auto put_readMoreSlowlyThanTheyArrive_everySenderHasItsTurn() -> void {
    constexpr int Senders = 10;
    std::map<std::string, int> Reads;
    for (int Round = 0; Round < 100; ++Round) {
      for (int I = 0; I < Senders; ++I)
        Inbox.put(std::to_string(I), std::to_string(I));
      ++Reads[Inbox.take().value()];
    }
    for (const auto &[Sender, Count] : Reads)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Sender, 100 / Senders, Count);
  }

  auto put_manySenders_isBounded() -> void {
    for (int I = 0; I < 5000; ++I)
      Inbox.put(std::to_string(I), "x");
    int Count = 0;
    while (Inbox.take())
      ++Count;
    CPPUNIT_ASSERT(Count < 2000);
  }

  auto isDigest_kindsOfMessages_areToldApart() -> void {
    CPPUNIT_ASSERT(isDigest(encodeLink(gateway_digest())));
    gateway_digest Digest;
    Digest.StoreEra = 3;
    Digest.ConfigurationGeneration = 2;
    Digest.Overloaded = true;
    const auto Bytes = encodeLink(Digest);
    CPPUNIT_ASSERT(isDigest(Bytes));
    const auto Message = decodeLink(Bytes);
    const auto &Decoded = std::get<gateway_digest>(Message.value());
    CPPUNIT_ASSERT_EQUAL(Digest.StoreEra, Decoded.StoreEra);
    CPPUNIT_ASSERT_EQUAL(Digest.ConfigurationGeneration,
                         Decoded.ConfigurationGeneration);
    CPPUNIT_ASSERT(Decoded.Overloaded);
    CPPUNIT_ASSERT(!isDigest(encodeLink(holdings_report())));
    CPPUNIT_ASSERT(!isDigest(encodeLink(crash_report())));
    CPPUNIT_ASSERT(!isDigest(""));
  }

private:
  digest_inbox Inbox;
};

CPPUNIT_TEST_SUITE_REGISTRATION(digest_inbox_test);

} // namespace
