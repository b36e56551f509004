/// Suspects of prompts that crash targets: checks of targets, messages to the
/// other gateways, and the operators' page.
#include "gateway_node.h"

#include "base/json_text.h"
#include "link_codec.h"

namespace limpetbridge {

namespace {

using namespace serving;
using net::awaitable;

constexpr std::uint16_t StatusOk = 200;

auto listSuspects(const gateway_state &State, time_point Now) -> std::string {
  auto List = nlohmann::json::array();
  for (const auto &Suspect : State.Crashes.suspects()) {
    auto Verdict =
        State.Crashes.decide({Suspect}, State.Options.Quarantine, Now);
    if (Suspect.Kind == suspect_kind::Load) {
      Verdict.HoldUntil = State.Crashes.loadHeldUntil(Suspect);
      Verdict.Admission =
          Now < Verdict.HoldUntil ? admission::Refused : admission::Allowed;
    }
    auto Crashed = nlohmann::json::array();
    for (const auto &Run : State.Crashes.crashesOf(Suspect))
      Crashed.push_back(Run.Target.Text);
    const bool Held = Verdict.Admission != admission::Allowed;
    List.push_back(
        {{"suspect", toString(Suspect)},
         {"admission", nameOf(Verdict.Admission)},
         {"hold_ms",
          Held ? toMilliseconds(remaining(Verdict.HoldUntil, Now)) : 0},
         {"crashed", std::move(Crashed)}});
  }
  return toJsonText(List) + "\n";
}

} // namespace

auto gateway_node::execute(const check_target &Effect) -> void {
  spawnContained("target_check", checkTarget(Effect), [this, Effect] {
    dispatch(
        target_checked{Effect.Target, Effect.Incarnation, port_state::Silent});
  });
}

auto gateway_node::checkTarget(check_target Check) -> awaitable<void> {
  const auto Connection =
      std::make_shared<net::target_connection>(Context.get_executor());
  const bool Connected =
      co_await Connection->connect(Check.Address, Check.Deadline);
  const auto Result = Connected                 ? port_state::Open
                      : Connection->isRefused() ? port_state::Closed
                                                : port_state::Silent;
  Connection->close();
  dispatch(target_checked{Check.Target, Check.Incarnation, Result});
}

auto gateway_node::execute(const send_crash_report &Effect) -> void {
  const auto Bytes = encodeLink(Effect.Report);
  for (const auto &Address : Effect.Addresses)
    LinkSocket->send(Address, Bytes);
}

auto gateway_node::handleQuarantineCall(const net::http_request &Request)
    -> net::http_response {
  net::http_response Response;
  Response.Head.Fields.push_back({"Content-Type", "application/json"});
  Response.Head.Status = StatusOk;
  if (Request.Method == "DELETE") {
    auto Text = std::string_view(Request.Target).substr(QuarantinePath.size());
    if (Text.starts_with('/'))
      Text.remove_prefix(1);
    const auto Suspect = parseSuspect(Text);
    if (!Suspect || State.Crashes.crashesOf(*Suspect).empty()) {
      Response.Head.Status = describe(result_code::NotFound).HttpStatus;
      return Response;
    }
    dispatch(quarantine_lifted{*Suspect});
  } else if (Request.Method != "GET" || Request.Target != QuarantinePath) {
    Response.Head.Status = describe(result_code::NotFound).HttpStatus;
    return Response;
  }
  Response.Body = listSuspects(State, process_clock::now());
  return Response;
}

} // namespace limpetbridge
