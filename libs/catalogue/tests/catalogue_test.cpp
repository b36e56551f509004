/// \file
/// Tests of the catalogue, of plans from declaration files and of the change
/// codec.

#include "catalogue/catalogue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace limpetbridge;

namespace {

constexpr const char *SampleDeclarations = R"(
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
  return {
      change_id("c1"), {1}, parseDeclarations(SampleDeclarations, "s").value()};
}

} // namespace

class catalogue_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(catalogue_test);
  CPPUNIT_TEST(apply_sampleDeclarations_resolvesModelVersionAdapter);
  CPPUNIT_TEST(apply_modelServesVersion_resolvesToVersion);
  CPPUNIT_TEST(apply_danglingReference_isRefused);
  CPPUNIT_TEST(apply_withdrawReferencedModel_isRefused);
  CPPUNIT_TEST(apply_unknownField_errorListsKnownFields);
  CPPUNIT_TEST(apply_setUndeclaredModel_returnsUnknownName);
  CPPUNIT_TEST(mayUseModel_unlistedModel_isFalse);
  CPPUNIT_TEST(snapshot_appliedToEmptyCatalogue_recreatesIt);
  CPPUNIT_TEST(planChange_unchangedFile_isEmpty);
  CPPUNIT_TEST(planChange_pruneMissingCaller_withdrawsIt);
  CPPUNIT_TEST(codec_anyChange_roundTrips);
  CPPUNIT_TEST(decodeChange_malformedText_returnsError);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Catalogue = catalogue().apply(sampleChange()).value();
  }

  auto apply_sampleDeclarations_resolvesModelVersionAdapter() -> void {
    CPPUNIT_ASSERT(Catalogue.currentRevision() == revision{1});
    CPPUNIT_ASSERT(Catalogue.resolve("plan")->Unit == model_name("plan"));
    CPPUNIT_ASSERT(Catalogue.resolve("plan-2")->Memory.Value == 120'000'000);
    const auto Adapter = Catalogue.resolve("plan-ma");
    CPPUNIT_ASSERT(Adapter->Unit == model_name("plan"));
    CPPUNIT_ASSERT(Adapter->Adapter == adapter_name("plan-ma"));
    CPPUNIT_ASSERT(!Catalogue.resolve("nothing"));
  }

  auto apply_modelServesVersion_resolvesToVersion() -> void {
    const auto Updated = applySet({"serve", "plan-2"});
    CPPUNIT_ASSERT(Updated.value().resolve("plan")->Unit ==
                   model_name("plan-2"));
  }

  auto apply_danglingReference_isRefused() -> void {
    const auto Updated = applySet({"serve", "plan-9"});
    CPPUNIT_ASSERT(!Updated.has_value());
    CPPUNIT_ASSERT(Updated.error().Code == result_code::InvalidDeclaration);
  }

  auto apply_withdrawReferencedModel_isRefused() -> void {
    const auto Updated = Catalogue.apply(
        {change_id("c2"),
         {2},
         {{operation_verb::Withdraw, declaration_kind::Model, "plan", {}}}});
    CPPUNIT_ASSERT(!Updated.has_value());
  }

  auto apply_unknownField_errorListsKnownFields() -> void {
    const auto Updated = applySet({"colour", "red"});
    CPPUNIT_ASSERT(!Updated.has_value());
    CPPUNIT_ASSERT(Updated.error().Detail.find("memory_mb") !=
                   std::string::npos);
  }

  auto apply_setUndeclaredModel_returnsUnknownName() -> void {
    const auto Updated = Catalogue.apply(
        {change_id("c2"),
         {2},
         {{operation_verb::Set, declaration_kind::Model, "x", {}}}});
    CPPUNIT_ASSERT(!Updated.has_value());
    CPPUNIT_ASSERT(Updated.error().Code == result_code::UnknownName);
  }

  auto mayUseModel_unlistedModel_isFalse() -> void {
    const auto Caller = Catalogue.callerOf("desk-token");
    CPPUNIT_ASSERT(Caller == caller_name("desk"));
    CPPUNIT_ASSERT(Catalogue.mayUseModel(Caller, "plan"));
    CPPUNIT_ASSERT(!Catalogue.mayUseModel(Caller, "plan-2"));
    CPPUNIT_ASSERT(Catalogue.callerOf("wrong").empty());
  }

  auto snapshot_appliedToEmptyCatalogue_recreatesIt() -> void {
    const auto Rebuilt = catalogue().apply(Catalogue.snapshot());
    CPPUNIT_ASSERT(Rebuilt.has_value());
    CPPUNIT_ASSERT(Rebuilt.value().snapshot() == Catalogue.snapshot());
  }

  auto planChange_unchangedFile_isEmpty() -> void {
    const auto Desired = parseDeclarations(SampleDeclarations, "s").value();
    CPPUNIT_ASSERT(planChange(Catalogue, Desired, true).empty());
  }

  auto planChange_pruneMissingCaller_withdrawsIt() -> void {
    auto Desired = parseDeclarations(SampleDeclarations, "s").value();
    std::erase_if(Desired, [](const operation &Declaration) {
      return Declaration.Kind == declaration_kind::Caller;
    });
    const auto Operations = planChange(Catalogue, Desired, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Operations.size());
    CPPUNIT_ASSERT(Operations.front().Verb == operation_verb::Withdraw);
  }

  auto codec_anyChange_roundTrips() -> void {
    const bool Passed = rc::check([] {
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
    CPPUNIT_ASSERT(Passed);
  }

  auto decodeChange_malformedText_returnsError() -> void {
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
