#include "base/message_pack.h"
#include "link_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;
using json = nlohmann::json;

/// The bytes of all messages between instances.
class link_codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(link_codec_test);
  CPPUNIT_TEST(encode_anyMessage_hasTheBytesOfTheJsonLibrary);
  CPPUNIT_TEST(decode_whatWasEncoded_encodesToTheSameBytes);
  CPPUNIT_TEST(decode_fieldsOfALaterVersion_areSkipped);
  CPPUNIT_TEST(decode_numbersOfAnyWidth_areTheSame);
  CPPUNIT_TEST(decode_anyBytes_failsOrGivesAMessage);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Gateways of the previous version read what this one sends.
  auto encode_anyMessage_hasTheBytesOfTheJsonLibrary() -> void {
    check([](const std::string &Bytes) {
      const auto Json = parseMessagePack(Bytes);
      RC_ASSERT(Json.has_value());
      RC_ASSERT(toMessagePack(Json.value()) == Bytes);
    });
  }

  auto decode_whatWasEncoded_encodesToTheSameBytes() -> void {
    check([](const std::string &Bytes) {
      const auto Message = decodeLink(Bytes);
      RC_ASSERT(Message.has_value());
      RC_ASSERT(encodeLink(Message.value()) == Bytes);
    });
  }

  auto decode_fieldsOfALaterVersion_areSkipped() -> void {
    check([](const std::string &Bytes) {
      auto Json = parseMessagePack(Bytes).value();
      Json["0new"] = {1.5, "x", nullptr, {{"y", json::array({true, -7})}}};
      Json["znew"] = json::binary({1, 2});
      for (auto &Field : Json)
        if (Field.is_array())
          for (auto &Item : Field)
            if (Item.is_array() && Item.size() > 2)
              Item.push_back({{"later", 1}});
      const auto Message = decodeLink(toMessagePack(Json));
      RC_ASSERT(Message.has_value());
      RC_ASSERT(encodeLink(Message.value()) == Bytes);
    });
  }

  auto decode_numbersOfAnyWidth_areTheSame() -> void {
    const auto Number = [](std::string_view Bytes) {
      const std::string Head("\x85\xa1k\xa7prefill\xa1\x66\xa1g\xa1t\xa1t\xa1r"
                             "\x01\xa1p");
      const auto Message = decodeLink(Head + std::string(Bytes));
      return Message ? std::get<prefill_notice>(Message.value()).PrefillMs
                     : -1e9;
    };
    using namespace std::string_view_literals;
    for (const auto Bytes :
         {"\x05"sv, "\xcc\x05"sv, "\xcd\0\x05"sv, "\xce\0\0\0\x05"sv,
          "\xcf\0\0\0\0\0\0\0\x05"sv, "\xd0\x05"sv, "\xd1\0\x05"sv,
          "\xd2\0\0\0\x05"sv, "\xd3\0\0\0\0\0\0\0\x05"sv, "\xca\x40\xa0\0\0"sv,
          "\xcb\x40\x14\0\0\0\0\0\0"sv})
      CPPUNIT_ASSERT_EQUAL(5.0, Number(Bytes));
    for (const auto Bytes :
         {"\xfb"sv, "\xd0\xfb"sv, "\xd1\xff\xfb"sv, "\xd2\xff\xff\xff\xfb"sv,
          "\xd3\xff\xff\xff\xff\xff\xff\xff\xfb"sv})
      CPPUNIT_ASSERT_EQUAL(-5.0, Number(Bytes));
    for (const auto Bytes : {"\xc0"sv, "\xc1"sv, "\xc3"sv, "\xd4\0\x05"sv,
                             "\xa1\x35"sv, "\x05\x05"sv, ""sv, "\xcd\0"sv})
      CPPUNIT_ASSERT_EQUAL(-1e9, Number(Bytes));
  }

  /// Bytes from the network must not end the process: not those that are
  /// changed anywhere, and not containers that are deep or announce too much.
  auto decode_anyBytes_failsOrGivesAMessage() -> void {
    check([](std::string Bytes) {
      for (int Changes = *rc::gen::inRange(1, 5); Changes > 0; --Changes)
        Bytes.at(*rc::gen::inRange<std::size_t>(0, Bytes.size())) =
            *rc::gen::arbitrary<char>();
      if (const auto Message = decodeLink(Bytes))
        encodeLink(Message.value());
    });
    CPPUNIT_ASSERT(rc::check([](const std::string &Bytes) {
      RC_ASSERT(!decodeLink(Bytes) || !Bytes.empty());
    }));
    for (const auto Marker : {'\x91', '\x81', '\xdd', '\xdf', '\xdb', '\xc6'})
      CPPUNIT_ASSERT(!decodeLink("\x81\xa1k" + std::string(50'000, Marker)));
  }

private:
  template <typename property>
  static auto check(const property &Check) -> void {
    CPPUNIT_ASSERT(rc::check([&] { Check(encodeLink(*anyMessage())); }));
  }

  template <typename value> static auto any() -> value {
    return *rc::gen::arbitrary<value>();
  }

  template <typename name> static auto anyName() -> name {
    return name(any<std::string>());
  }

  /// A number that is finite and 0 or more, often a whole one.
  static auto anyAmount() -> double {
    const auto Whole = *rc::gen::inRange(0, 100'000);
    return any<bool>() ? Whole : Whole * 0.1;
  }

  static auto anyMessage() -> rc::Gen<link_message> {
    return rc::gen::exec([]() -> link_message {
      switch (*rc::gen::inRange(0, 5)) {
      case 0:
        return anyDigest();
      case 1:
        return anyReport();
      case 2:
        return prefill_notice{anyName<instance_name>(), anyName<target_name>(),
                              any<std::size_t>(), any<double>()};
      case 3:
        return greeting{anyName<instance_name>(), any<std::string>(),
                        any<std::uint64_t>()};
      default:
        return anyHoldings();
      }
    });
  }

  static auto anyDigest() -> gateway_digest {
    gateway_digest Digest;
    Digest.From = anyName<instance_name>();
    Digest.Sequence = any<std::uint64_t>();
    Digest.StoreEra = any<std::uint64_t>();
    Digest.StoreReachable = any<bool>();
    Digest.TargetsReadAgeMs = any<std::int64_t>();
    for (int Count = *rc::gen::inRange(0, 20); Count > 0; --Count) {
      const auto Target = anyName<target_name>();
      Digest.Loads[Target] = {{any<double>(), anyAmount(), 0},
                              {any<std::uint32_t>(), 0, 1}};
      Digest.Demand[anyName<model_name>()] = {any<float>(), any<float>()};
      Digest.Prefixes.emplace_back(Target, any<prefix_key>(), Count);
      Digest.AdapterUse.emplace(
          Target, adapter_key(anyName<model_name>(), any<std::string>()));
      Digest.Leaving[Target] = any<std::uint64_t>();
      Digest.Loading[Target] = {anyName<model_name>(), {anyName<model_name>()}};
    }
    return Digest;
  }

  static auto anyReport() -> quota_report {
    quota_report Report{anyName<instance_name>(), anyName<instance_name>(), {}};
    Report.Message.Number = any<std::uint64_t>();
    Report.Message.Members = any<std::uint32_t>();
    for (int Count = *rc::gen::inRange(0, 20); Count > 0; --Count) {
      Report.Message.Demands.push_back(
          {anyName<workspace_name>(), anyAmount(), anyAmount(), anyAmount()});
      Report.Message.Loans.push_back({anyName<workspace_name>(), anyAmount(),
                                      anyAmount(), any<bool>(), anyAmount()});
    }
    return Report;
  }

  static auto anyHoldings() -> holdings_report {
    holdings_report Event;
    Event.Incarnation = any<std::uint64_t>();
    Event.Holdings.Models[anyName<model_name>()] = {
        any<std::uint64_t>(), any<std::set<std::string>>()};
    Event.Holdings.OnDisk = {anyName<model_name>(), anyName<model_name>()};
    return Event;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(link_codec_test);

} // namespace
