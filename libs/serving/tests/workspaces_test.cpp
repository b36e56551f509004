#include "gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace limpetbridge;
using namespace limpetbridge::serving;

/// Keys of requests: which workspace a request belongs to, and what happens
/// when its key is removed. All keys contain `secret`, and no log entry does.
class workspaces_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(workspaces_test);
  CPPUNIT_TEST(index_anyKeys_findsEachAndNoOther);
  CPPUNIT_TEST(arrive_anyKey_decidesWorkspaceAndPriority);
  CPPUNIT_TEST(arrive_newerConfigurationMayHaveTheKey_isNotReady);
  CPPUNIT_TEST(change_severalVersions_lastOneDecides);
  CPPUNIT_TEST(wait_keyRemoved_isRefusedAtOnce);
  CPPUNIT_TEST(attempt_keyRemoved_isNotRepeated);
  CPPUNIT_TEST(retry_keyMoved_namesTheNewWorkspace);
  CPPUNIT_TEST(priorities_workspacesAndRoutes_keepTheOrderOfPairs);
  CPPUNIT_TEST(priorities_morePairsThanLevels_neverInvert);
  CPPUNIT_TEST_SUITE_END();

public:
  auto setUp() -> void override {
    Gateway = gateway_harness();
    Version = 1;
    Gateway.addTarget("l1", "ledger", {});
    Gateway.addTarget("l2", "ledger", {});
    Gateway.addTarget("m1", "models", {"a"});
  }

  auto index_anyKeys_findsEachAndNoOther() -> void {
    CPPUNIT_ASSERT(rc::check("an index finds exactly its keys", [] {
      auto Texts = *rc::gen::container<std::vector<std::string>>(
          rc::gen::string<std::string>());
      const auto Other = *rc::gen::string<std::string>();
      hash_secret Secret;
      Secret.Bytes.fill(*rc::gen::arbitrary<std::uint8_t>());
      std::vector<declared_key> Keys;
      std::map<std::string, std::string> First;
      for (const auto &Text : Texts) {
        const workspace_name Name("w" + std::to_string(Keys.size() % 3));
        Keys.push_back({workspace_key(Text), Name});
        if (workspace_key(Text).isSendable())
          First.try_emplace(Text, Name.Text);
      }
      const key_index Index(Keys, Secret);
      Texts.insert(Texts.end(), {Other, "", " a", "a\t", "a\nb"});
      for (const auto &Text : Texts) {
        const workspace_key Key(Text);
        const auto *Name = Index.find(Key, Key.digest(Secret));
        RC_ASSERT((Name == nullptr ? "" : Name->Text) == First[Text]);
      }
    }));
  }

  auto arrive_anyKey_decidesWorkspaceAndPriority() -> void {
    check("/read/x", "secret-9", "", 0); // No workspaces yet.
    declare({{"7-late", {"secret-7"}}, {"plain", {"secret-p"}}, {"no", {}}});
    check("/read/x", "secret-7", "7-late", 1);
    check("/read/x", "secret-p", "plain", 0);
    for (const auto &Key :
         {std::string(), std::string("secret-P"), std::string("secret-p2"),
          std::string("\xff\xfe"), "secret" + std::string(16'000, 'k')})
      checkRefused("/read/x", Key, result_code::UnknownKey);
    for (const auto *Key : {"", "secret-7", "secret-unknown"})
      check("/open/x", Key, "", 0);
    // A workspace that has lost all its keys is closed, not open.
    declare({{"plain", {}}});
    checkRefused("/read/x", "secret-p", result_code::UnknownKey);
    checkRefused("/read/x", "", result_code::UnknownKey);
  }

  /// A 401 or 404 would tell callers that nothing can become of the request.
  auto arrive_newerConfigurationMayHaveTheKey_isNotReady() -> void {
    declare({{"plain", {"secret-p"}}});
    gateway_digest Digest;
    Digest.From = instance_name("g2");
    Digest.Configuration = Version + 1;
    Gateway.dispatch(Digest);
    checkRefused("/read/x", "secret-new", result_code::NotReady);
    checkRefused("/read/x", "", result_code::UnknownKey);
    Gateway.State = makeGatewayState({});
    checkRefused("/read/x", "secret-p", result_code::NotReady);
  }

  auto change_severalVersions_lastOneDecides() -> void {
    for (int I = 0; I < 50; ++I)
      declare({{"plain", {"secret-" + std::to_string(I)}}});
    Gateway.dispatch(configuration_read{
        makeConfiguration(Version - 1, {{"plain", {"secret-48"}}})});
    check("/read/x", "secret-49", "plain", 0);
    checkRefused("/read/x", "secret-48", result_code::UnknownKey);
    // The first of two workspaces has a key that both declare.
    declare({{"a", {"secret-0"}}, {"b", {"secret-0", "secret-1"}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Gateway.State.Keys.unusableCount());
    check("/read/x", "secret-0", "a", 0);
    check("/read/x", "secret-1", "b", 0);
  }

  auto wait_keyRemoved_isRefusedAtOnce() -> void {
    gateway_digest Peer;
    Peer.From = instance_name("g2");
    Peer.TargetsKnownAgeMs = 0;
    // For a load, then for a current view of the targets.
    for (const auto *Model : {"b", "a"}) {
      declare({{"plain", {"secret-p"}}});
      Gateway.Key = "secret-p";
      Gateway.receiveRequest(++Last, "/plan/x", Model);
      CPPUNIT_ASSERT(Gateway.State.Requests.at(Last).CurrentTarget.empty());
      declare({{"plain", {}}});
      CPPUNIT_ASSERT(refusal() == result_code::UnknownKey);
      Gateway.dispatch(targets_read{});
      Gateway.Now += seconds(3);
      Gateway.dispatch(Peer);
    }
  }

  /// 401 only if it has not run, and a run goes on. A target that was not at
  /// fault was avoided for a second.
  auto attempt_keyRemoved_isNotRepeated() -> void {
    const std::vector<std::pair<attempt_end, result_code>> Cases = {
        {attempt_end::NotSent, result_code::UnknownKey},
        {attempt_end::NotRun, result_code::UnknownKey},
        {attempt_end::Unknown, result_code::OutcomeUnknown},
        {attempt_end::Failed, result_code::OutcomeUnknown},
        {attempt_end::Answered, result_code::Ok}};
    for (const auto &[End, Code] : Cases) {
      declare({{"plain", {"secret-p"}}});
      check("/read/x", "secret-p", "plain", 0);
      CPPUNIT_ASSERT(hasValidKey(Gateway.State, Last));
      declare({{"plain", {}}});
      CPPUNIT_ASSERT(Gateway.effectsOf<refuse_request>().empty());
      CPPUNIT_ASSERT(!hasValidKey(Gateway.State, Last));
      const auto Target = Gateway.State.Requests.at(Last).CurrentTarget;
      Gateway.endAttempt(Last, End);
      CPPUNIT_ASSERT(refusal() == Code);
      CPPUNIT_ASSERT(Gateway.effectsOf<send_attempt>().empty());
      if (End == attempt_end::NotSent)
        CPPUNIT_ASSERT(Gateway.State.Book.find(Target)->AvoidUntil <=
                       Gateway.Now);
    }
  }

  auto retry_keyMoved_namesTheNewWorkspace() -> void {
    declare({{"2-b", {}}, {"7-a", {"secret"}}});
    check("/read/x", "secret", "7-a", 2);
    declare({{"2-b", {"secret"}}, {"7-a", {}}});
    Gateway.endAttempt(Last, attempt_end::NotRun);
    const auto Second = Gateway.onlyEffect<send_attempt>();
    CPPUNIT_ASSERT(Second.Workspace.Text == "2-b" && Second.Priority == 1);
    Gateway.endAttempt(Last, attempt_end::Answered);
    for (const auto &[Name, Entry] : Gateway.State.Book.all())
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name.Text, 0U, Entry.OwnLoad.activeCount());
  }

  /// Routes of a workspace would lose their order if its priority replaced
  /// theirs.
  auto priorities_workspacesAndRoutes_keepTheOrderOfPairs() -> void {
    const auto Order = makeOrder({0, 1}, {0, 1, 2});
    std::uint32_t Expected = 0;
    for (const std::uint32_t Workspace : {0, 1})
      for (const std::uint32_t Route : {0, 1, 2}) {
        // The route's level 2 stands for workspaces without a priority.
        CPPUNIT_ASSERT_EQUAL(Expected, Order.targetPriority(Workspace, Route));
        ++Expected;
      }
    CPPUNIT_ASSERT(Order.targetPriority({}, 2) > Order.targetPriority(1, 2));
    CPPUNIT_ASSERT_EQUAL(5U, priority_order().targetPriority({}, 5));
  }

  auto priorities_morePairsThanLevels_neverInvert() -> void {
    CPPUNIT_ASSERT(rc::check("a pair that goes first is not sent later", [] {
      const auto Levels =
          rc::gen::nonEmpty(rc::gen::container<std::vector<std::uint32_t>>(
              rc::gen::inRange<std::uint32_t>(0, 40)));
      const auto Workspaces = *Levels;
      const auto Routes = *Levels;
      const auto Order = makeOrder(Workspaces, Routes);
      for (const auto First : Workspaces)
        for (const auto Second : Workspaces)
          for (const auto FirstRoute : Routes)
            for (const auto SecondRoute : Routes)
              if (std::pair(First, FirstRoute) <=
                  std::pair(Second, SecondRoute)) {
                const auto Later = Order.targetPriority(Second, SecondRoute);
                RC_ASSERT(Order.targetPriority(First, FirstRoute) <= Later);
                RC_ASSERT(Later < TargetPriorityLevels);
              }
    }));
  }

private:
  static auto makeOrder(const std::vector<std::uint32_t> &Workspaces,
                        const std::vector<std::uint32_t> &Routes)
      -> priority_order {
    configuration Configuration;
    for (const auto Priority : Workspaces) {
      workspace_spec Spec;
      Spec.Name = workspace_name("w" + std::to_string(Priority));
      Spec.Priority = Priority;
      Configuration.Workspaces[Spec.Name] = Spec;
    }
    for (const auto Priority : Routes) {
      route Route;
      Route.Priority = Priority;
      Configuration.Routes.push_back(Route);
    }
    return priority_order(Configuration);
  }

  auto checkNotes() -> void {
    for (const auto &Note : Gateway.effectsOf<write_note>())
      for (const auto &[Name, Value] : Note.Fields)
        CPPUNIT_ASSERT(Value.find("secret") == std::string::npos);
  }

  auto declare(const std::map<std::string, std::vector<std::string>> &Keys)
      -> void {
    Gateway.dispatch(configuration_read{makeConfiguration(++Version, Keys)});
    checkNotes();
  }

  auto receive(const char *Path, const std::string &Key) -> void {
    Gateway.Key = Key;
    Gateway.receiveRequest(++Last, Path);
    checkNotes();
  }

  auto check(const char *Path, const std::string &Key, const char *Workspace,
             std::uint32_t Priority) -> void {
    receive(Path, Key);
    const auto Send = Gateway.onlyEffect<send_attempt>();
    CPPUNIT_ASSERT_EQUAL(Last, Send.Number);
    CPPUNIT_ASSERT_EQUAL(std::string(Workspace), Send.Workspace.Text);
    CPPUNIT_ASSERT_EQUAL(Priority, Send.Priority);
  }

  auto checkRefused(const char *Path, const std::string &Key, result_code Code)
      -> void {
    receive(Path, Key);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(Code), static_cast<int>(refusal()));
    CPPUNIT_ASSERT_EQUAL(Code == result_code::NotReady,
                         Gateway.onlyEffect<refuse_request>().RetryAfterMs > 0);
  }

  /// Ok if no request was refused.
  [[nodiscard]] auto refusal() const -> result_code {
    const auto Refusals = Gateway.effectsOf<refuse_request>();
    return Refusals.empty() ? result_code::Ok : Refusals.at(0).Code;
  }

  gateway_harness Gateway;
  std::uint64_t Version = 1;
  request_number Last = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(workspaces_test);

} // namespace
