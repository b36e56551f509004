#include "serving/configuration_history.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace {

using namespace limpetbridge::serving;

/// A configuration as it stands in the store.
struct written {
  std::uint64_t Version = 0;
  std::uint64_t Hash = 0; ///< Counts all writes, so that the later is higher.
  std::uint64_t Row = 0;
};

/// A gateway that reads the store now and then.
struct reader {
  configuration_history History;
  std::uint64_t Era = 1;
  std::optional<std::uint64_t> FirstVersion;
  std::uint64_t ReadVersion = 0;
};

/// A store, its copy, and gateways that read it and ask each other.
struct restored_store {
  std::optional<written> Current;
  std::uint64_t Version = 0;
  std::optional<written> Copied;
  std::uint64_t CopiedVersion = 0;
  std::uint64_t Era = 1;
  std::uint64_t Writes = 0;
  std::uint64_t HighestVersion = 0;

  auto write(bool CountsFromStore) -> void {
    const auto Last =
        CountsFromStore ? Current.value_or(written()).Version : HighestVersion;
    Current = {Last + 1, ++Writes, ++Version};
    HighestVersion = std::max(HighestVersion, Last + 1);
  }

  auto restore() -> void {
    Current = Copied;
    Version = CopiedVersion;
    ++Era;
  }

  auto read(reader &Reader) const -> void {
    if (Reader.Era != Era) {
      Reader.History.startEra();
      Reader.FirstVersion.reset();
    }
    if (!Reader.FirstVersion) // The list of an empty copy has version 0.
      Reader.FirstVersion = Version;
    Reader.Era = Era;
    Reader.ReadVersion = Version;
    if (!Current)
      Reader.History.noteMissing(*Reader.FirstVersion);
    else
      (void)Reader.History.offer(
          Current->Version,
          {Era, Current->Row, *Reader.FirstVersion, Current->Hash, 0});
  }
};

class configuration_history_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(configuration_history_test);
  CPPUNIT_TEST(offer_oneEra_higherVersionIsTaken);
  CPPUNIT_TEST(offer_copyWithoutTheChange_staysInForce);
  CPPUNIT_TEST(offer_versionGivenOutAgain_isTaken);
  CPPUNIT_TEST(offer_lowerVersionOfTheNewEra_isTaken);
  CPPUNIT_TEST(offer_copiedOnesAreWrittenAgain_changesNothing);
  CPPUNIT_TEST(offer_freshGateway_takesTheLostChangeOfAnother);
  CPPUNIT_TEST(offer_supersededOneOfAnOlderCopy_isNotTaken);
  CPPUNIT_TEST(offer_missedOneBetweenTwoRestores_isNotTaken);
  CPPUNIT_TEST(offer_writtenBetweenTwoRestores_isTaken);
  CPPUNIT_TEST(offer_anyRestores_neverGoesBack);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override { History = configuration_history(); }

  auto offer_oneEra_higherVersionIsTaken() -> void {
    CPPUNIT_ASSERT(History.offer(7, {1, 10, 10, 70, 0}));
    CPPUNIT_ASSERT(!History.offer(7, {1, 11, 10, 71, 0}));
    CPPUNIT_ASSERT(!History.offer(6, {1, 12, 10, 60, 0}));
    CPPUNIT_ASSERT(History.offer(8, {1, 13, 10, 80, 0}));
    CPPUNIT_ASSERT(History.storeHasIt());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, History.inForce().Generation);
  }

  auto offer_copyWithoutTheChange_staysInForce() -> void {
    loseChange();
    CPPUNIT_ASSERT(!History.offer(7, {2, 10, 10, 70, 0}));
    // The age of what is in force must not be that of this read.
    CPPUNIT_ASSERT(!History.storeHasIt());
    CPPUNIT_ASSERT(!History.offer(8, {2, 11, 10, 80, 0}));
    CPPUNIT_ASSERT(History.storeHasIt());
    CPPUNIT_ASSERT(History.offer(9, {2, 12, 10, 90, 0}));
  }

  auto offer_versionGivenOutAgain_isTaken() -> void {
    for (const std::uint64_t FirstVersion : {10, 20}) {
      setUp();
      loseChange();
      CPPUNIT_ASSERT(History.offer(8, {2, 12, FirstVersion, 81, 0}));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, History.inForce().Generation);
    }
  }

  auto offer_lowerVersionOfTheNewEra_isTaken() -> void {
    loseChange();
    CPPUNIT_ASSERT(!History.offer(6, {2, 9, 10, 60, 0}));
    CPPUNIT_ASSERT(History.offer(6, {2, 11, 10, 61, 0}));
  }

  auto offer_copiedOnesAreWrittenAgain_changesNothing() -> void {
    loseChange();
    CPPUNIT_ASSERT(!History.offer(7, {2, 11, 10, 70, 0}));
    CPPUNIT_ASSERT(!History.offer(8, {2, 12, 10, 80, 0}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{80}, History.inForce().Hash);
  }

  auto offer_freshGateway_takesTheLostChangeOfAnother() -> void {
    CPPUNIT_ASSERT(History.offer(7, {2, 10, 10, 70, 0}));
    CPPUNIT_ASSERT(History.offer(8, {2, 0, 0, 80, 0}));
    CPPUNIT_ASSERT(!History.storeHasIt());
    // A list that is read again shows the copy's.
    CPPUNIT_ASSERT(!History.offer(7, {2, 10, 10, 70, 0}));
    CPPUNIT_ASSERT(History.offer(8, {2, 11, 10, 81, 0}));
    CPPUNIT_ASSERT(!History.offer(8, {2, 0, 0, 80, 0}));
  }

  auto offer_supersededOneOfAnOlderCopy_isNotTaken() -> void {
    loseChange();
    CPPUNIT_ASSERT(History.offer(7, {2, 11, 10, 71, 0}));
    History.startEra();
    CPPUNIT_ASSERT(!History.offer(8, {3, 12, 12, 80, 0}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{71}, History.inForce().Hash);
  }

  /// Guards against taking the copy of a configuration that was superseded for
  /// a new one because its version had been assigned before the first restore.
  auto offer_missedOneBetweenTwoRestores_isNotTaken() -> void {
    loseChange();
    // Version 8 was written again, with hash 81, which was not read here.
    CPPUNIT_ASSERT(History.offer(9, {2, 12, 10, 90, 0}));
    History.startEra();
    CPPUNIT_ASSERT(!History.offer(8, {3, 11, 11, 81, 0}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{90}, History.inForce().Hash);
    // A version of the latest era with another text is a new one.
    CPPUNIT_ASSERT(History.offer(9, {3, 12, 12, 91, 0}));
  }

  /// Guards against keeping a lost configuration in force after the operator
  /// has written another one, which reaches this gateway in a later copy.
  auto offer_writtenBetweenTwoRestores_isTaken() -> void {
    loseChange();
    CPPUNIT_ASSERT(!History.offer(7, {2, 10, 10, 70, 0}));
    History.startEra();
    CPPUNIT_ASSERT(History.offer(5, {3, 11, 13, 51, 0}));
  }

  /// Guards against a change that the copy lacks being undone, at a gateway
  /// that reads the copy or follows another one.
  auto offer_anyRestores_neverGoesBack() -> void {
    const bool Passed = rc::check("never back", [] {
      restored_store Store;
      std::vector<reader> Readers(3);
      // An operator whose numbers go back with the store is told from the copy
      // if the copy was seen before it wrote.
      const bool CountsFromStore = *rc::gen::arbitrary<bool>();
      const auto Steps = *rc::gen::inRange(1, 60);
      for (int Step = 0; Step < Steps; ++Step) {
        auto &Reader = Readers[*rc::gen::inRange<std::size_t>(0, 3)];
        auto &Peer = Readers[*rc::gen::inRange<std::size_t>(0, 3)];
        const auto Before = Reader.History.inForce().Hash;
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
          Store.write(CountsFromStore);
          break;
        case 1:
          Store.Copied = Store.Current;
          Store.CopiedVersion = Store.Version;
          break;
        case 2:
          Store.restore();
          if (CountsFromStore)
            for (auto &Each : Readers)
              Store.read(Each);
          break;
        case 3:
          if (Peer.Era == Reader.Era &&
              Peer.ReadVersion >= Reader.ReadVersion) {
            const auto Mark = Peer.History.inForce();
            (void)Reader.History.offer(
                Mark.Version, {Reader.Era, 0, 0, Mark.Hash, Mark.Generation});
          }
          break;
        default:
          Store.read(Reader);
          break;
        }
        RC_ASSERT(Reader.History.inForce().Hash >= Before);
      }
      // What the operator writes at last is in force everywhere.
      for (auto &Each : Readers)
        Store.read(Each);
      Store.write(CountsFromStore);
      for (auto &Each : Readers) {
        Store.read(Each);
        RC_ASSERT(Each.History.inForce().Hash == Store.Writes);
      }
    });
    CPPUNIT_ASSERT(Passed);
  }

private:
  /// Version 8 is acknowledged, and the copy has version 7 at row version 10.
  auto loseChange() -> void {
    CPPUNIT_ASSERT(History.offer(6, {1, 9, 9, 60, 0}));
    CPPUNIT_ASSERT(History.offer(7, {1, 10, 9, 70, 0}));
    CPPUNIT_ASSERT(History.offer(8, {1, 12, 9, 80, 0}));
    History.startEra();
  }

  configuration_history History;
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_history_test);

} // namespace
