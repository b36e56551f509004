#include "serving/target_book.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cmath>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

auto makeTarget(const std::string &Name) -> target {
  target Target;
  Target.Name = target_name(Name);
  Target.Incarnation = 1;
  Target.Address = Name + ":1";
  return Target;
}

/// Loads that the other gateways report.
class target_book_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(target_book_test);
  CPPUNIT_TEST(setPeerLoads_emptyReport_removesLoadOfPeer);
  CPPUNIT_TEST(setPeerLoads_anyReports_keepSumOfPeers);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setPeerLoads_emptyReport_removesLoadOfPeer() -> void {
    target_book Book;
    Book.update(makeTarget("a"), 0, {});
    Book.setPeerLoads(instance_name("g2"),
                      {{target_name("a"), {{5, 0, 0}, 3}}});
    CPPUNIT_ASSERT_EQUAL(3U, Book.find(target_name("a"))->load().activeCount());
    Book.setPeerLoads(instance_name("g2"), {});
    CPPUNIT_ASSERT_EQUAL(0U, Book.find(target_name("a"))->load().activeCount());
    CPPUNIT_ASSERT_EQUAL(0.0, Book.find(target_name("a"))->load().pendingMs(2));
  }

  auto setPeerLoads_anyReports_keepSumOfPeers() -> void {
    const bool Passed =
        rc::check("the peer load is the sum over the peers", [] {
          target_book Book;
          const std::vector<std::string> Names = {"a", "b", "c"};
          for (const auto &Name : Names)
            Book.update(makeTarget(Name), 0, {});
          for (int I = 0; I < 40; ++I) {
            std::map<target_name, target_load> Loads;
            for (const auto &Name : Names)
              if (*rc::gen::arbitrary<bool>()) {
                auto &Load = Loads[target_name(Name)];
                for (auto &Count : Load.Active)
                  Count = *rc::gen::inRange(0U, 9U);
                Load.PendingMs[1] = *rc::gen::inRange(0, 1000) / 7.0;
              }
            const auto Peer = std::string(1, *rc::gen::inRange('p', 's'));
            Book.setPeerLoads(instance_name(Peer), Loads);
            // A target that is removed and added again has no reported loads.
            if (*rc::gen::inRange(0, 8) == 0) {
              const auto Name = *rc::gen::elementOf(Names);
              Book.remove(target_name(Name));
              Book.update(makeTarget(Name), 0, {});
            }
            for (const auto &[Name, Entry] : Book.all()) {
              target_load Sum;
              for (const auto &[From, Load] : Entry.LoadsByPeer)
                Sum += Load;
              RC_ASSERT(Entry.PeerLoad.Active == Sum.Active);
              RC_ASSERT(std::abs(Entry.PeerLoad.PendingMs[1] -
                                 Sum.PendingMs[1]) < 1e-6);
            }
          }
        });
    CPPUNIT_ASSERT(Passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_book_test);

} // namespace
