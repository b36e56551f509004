/// \file
/// Tests of declarations, changes and their text forms.

#include "catalogue/catalogue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace limpetbridge;

namespace {

constexpr const char *Sample = R"(
[importance dock]
rank = 1
[model plan]
memory_mb = 100
importance = dock
[version plan-2]
model = plan
memory_mb = 120
[adapter plan-ma]
model = plan
memory_mb = 5
[service booking]
operations = book,stock
non_idempotent = book
[caller desk]
token = desk-token
models = plan
services = booking
)";

auto sampleChange() -> change {
  return {change_id("c1"), {1}, parseDeclarations(Sample, "s").value()};
}

} // namespace

class catalogue_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(catalogue_test);
  CPPUNIT_TEST(apply_sample_resolvesModelVersionAdapter);
  CPPUNIT_TEST(apply_serveVersion_resolvesToVersion);
  CPPUNIT_TEST(apply_danglingReference_isRefused);
  CPPUNIT_TEST(apply_withdrawOfReferencedModel_isRefused);
  CPPUNIT_TEST(apply_unknownField_namesKnownOnes);
  CPPUNIT_TEST(apply_setOfUndeclared_isRefused);
  CPPUNIT_TEST(mayUse_foreignModel_isFalse);
  CPPUNIT_TEST(snapshot_appliedToNothing_givesTheSameCatalogue);
  CPPUNIT_TEST(plan_unchangedFile_isEmpty);
  CPPUNIT_TEST(plan_pruned_withdrawsTheUnnamed);
  CPPUNIT_TEST(codec_anyChange_roundTrips);
  CPPUNIT_TEST(decode_garbage_isAnError);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Catalogue = catalogue().apply(sampleChange()).value();
  }

  auto apply_sample_resolvesModelVersionAdapter() -> void {
    CPPUNIT_ASSERT(Catalogue.currentRevision() == revision{1});
    CPPUNIT_ASSERT(Catalogue.resolve("plan")->Unit == model_name("plan"));
    CPPUNIT_ASSERT(Catalogue.resolve("plan-2")->Memory.Value == 120'000'000);
    const auto Adapter = Catalogue.resolve("plan-ma");
    CPPUNIT_ASSERT(Adapter->Unit == model_name("plan"));
    CPPUNIT_ASSERT(Adapter->Adapter == adapter_name("plan-ma"));
    CPPUNIT_ASSERT(!Catalogue.resolve("nothing"));
  }

  auto apply_serveVersion_resolvesToVersion() -> void {
    const auto Next = applySet({"serve", "plan-2"});
    CPPUNIT_ASSERT(Next.value().resolve("plan")->Unit == model_name("plan-2"));
  }

  auto apply_danglingReference_isRefused() -> void {
    const auto Next = applySet({"serve", "plan-9"});
    CPPUNIT_ASSERT(!Next.has_value());
    CPPUNIT_ASSERT(Next.error().Code == result_code::InvalidDeclaration);
  }

  auto apply_withdrawOfReferencedModel_isRefused() -> void {
    const auto Next = Catalogue.apply(
        {change_id("c2"),
         {2},
         {{operation_verb::Withdraw, declaration_kind::Model, "plan", {}}}});
    CPPUNIT_ASSERT(!Next.has_value());
  }

  auto apply_unknownField_namesKnownOnes() -> void {
    const auto Next = applySet({"colour", "red"});
    CPPUNIT_ASSERT(!Next.has_value());
    CPPUNIT_ASSERT(Next.error().Detail.find("memory_mb") != std::string::npos);
  }

  auto apply_setOfUndeclared_isRefused() -> void {
    const auto Next = Catalogue.apply(
        {change_id("c2"),
         {2},
         {{operation_verb::Set, declaration_kind::Model, "x", {}}}});
    CPPUNIT_ASSERT(!Next.has_value());
    CPPUNIT_ASSERT(Next.error().Code == result_code::UnknownName);
  }

  auto mayUse_foreignModel_isFalse() -> void {
    const auto Caller = Catalogue.callerOf("desk-token");
    CPPUNIT_ASSERT(Caller == caller_name("desk"));
    CPPUNIT_ASSERT(Catalogue.mayUseModel(Caller, "plan"));
    CPPUNIT_ASSERT(!Catalogue.mayUseModel(Caller, "plan-2"));
    CPPUNIT_ASSERT(Catalogue.callerOf("wrong").empty());
  }

  auto snapshot_appliedToNothing_givesTheSameCatalogue() -> void {
    const auto Again = catalogue().apply(Catalogue.snapshot());
    CPPUNIT_ASSERT(Again.has_value());
    CPPUNIT_ASSERT(Again.value().snapshot() == Catalogue.snapshot());
  }

  auto plan_unchangedFile_isEmpty() -> void {
    const auto Wanted = parseDeclarations(Sample, "s").value();
    CPPUNIT_ASSERT(planChange(Catalogue, Wanted, true).empty());
  }

  auto plan_pruned_withdrawsTheUnnamed() -> void {
    auto Wanted = parseDeclarations(Sample, "s").value();
    std::erase_if(Wanted, [](const operation &Each) {
      return Each.Kind == declaration_kind::Caller;
    });
    const auto Steps = planChange(Catalogue, Wanted, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Steps.size());
    CPPUNIT_ASSERT(Steps.front().Verb == operation_verb::Withdraw);
  }

  auto codec_anyChange_roundTrips() -> void {
    const bool Held = rc::check([] {
      const auto Text =
          rc::gen::container<std::string>(rc::gen::inRange(' ', '~'));
      const auto Name = *Text;
      const auto Value = *Text;
      const change Change{change_id("c"),
                          {7},
                          {{operation_verb::Set,
                            declaration_kind::Caller,
                            Name,
                            {{"f", Value}}}}};
      RC_ASSERT(decodeChange(encodeChange(Change)).value() == Change);
    });
    CPPUNIT_ASSERT(Held);
  }

  auto decode_garbage_isAnError() -> void {
    for (const char *Text : {"", "{", "[]", R"({"id":1})", "null"})
      CPPUNIT_ASSERT(!decodeChange(Text).has_value());
  }

private:
  auto applySet(const field_text &Field) const -> result<catalogue> {
    return Catalogue.apply(
        {change_id("c2"),
         {2},
         {{operation_verb::Set, declaration_kind::Model, "plan", {Field}}}});
  }

  catalogue Catalogue;
};
CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_test);
