/// Notices of prompts with much prefill between gateways, whose digests are too
/// far apart to keep several of them from the same target.
#include "details/gateway_parts.h"

#include "serving/stream_limits.h"

#include <algorithm>

namespace limpetbridge::serving {

namespace {

/// Notices that one gateway may receive a second, from all others together: of
/// 250 datagrams, what about 100 digests and, at 29 gateways, 56 reports of
/// quotas leave, less a tenth. 200 were too much for gateways with 0.09 core.
constexpr double NoticesPerSecond = 80;
/// Notices that one gateway may send at once after a pause.
constexpr double MaxNoticeCredit = 4;
/// Time after which prefill that was noticed is done, or was never sent.
constexpr duration NoticeValidity = seconds(2);
constexpr double MaxNoticedMs = 60'000;
/// Notices that are kept for one target.
constexpr std::size_t MaxNotices = 64;

/// Takes the right to send one notice, if there is one.
auto takeNoticeCredit(const gateway_step &Step) -> bool {
  auto &State = Step.State;
  const auto Others = static_cast<double>(gatewayCount(State) - 1);
  const double Seconds =
      std::chrono::duration<double>(Step.Now - State.NoticeCreditAt).count();
  State.NoticeCreditAt = Step.Now;
  State.NoticeCredit =
      std::min(MaxNoticeCredit,
               State.NoticeCredit + Seconds * NoticesPerSecond / Others);
  if (State.NoticeCredit < 1) {
    ++State.NoticesHeldBack;
    return false;
  }
  State.NoticeCredit -= 1;
  return true;
}

} // namespace

auto sendPrefillNotice(const gateway_step &Step, const request_state &Request,
                       const pick &Pick) -> void {
  const auto &State = Step.State;
  const auto Bounds = State.StreamBounds.find(Request.Service);
  if (Bounds == State.StreamBounds.end() ||
      Pick.PrefillMs < minNoticeMs(Bounds->second))
    return;
  auto Addresses = gatewayAddresses(State);
  if (Addresses.empty() || !takeNoticeCredit(Step))
    return;
  Step.Effects.push_back(
      send_prefill_notice{std::move(Addresses),
                          {State.Options.Self, Pick.Target,
                           rankOf(Request.Route.Priority), Pick.PrefillMs}});
}

auto handle(const gateway_step &Step, const prefill_notice &Event) -> void {
  auto *Entry = Step.State.Book.find(Event.Target);
  const bool Usable = Event.Rank < RankCount && Event.PrefillMs > 0 &&
                      Event.PrefillMs < MaxNoticedMs;
  if (Entry == nullptr || !Usable || Event.From == Step.State.Options.Self)
    return;
  auto &Notices = Entry->NoticedPrefill;
  std::erase_if(Notices, [&](const noticed_prefill &Notice) {
    return Step.Now - Notice.At > NoticeValidity;
  });
  if (Notices.size() < MaxNotices)
    Notices.push_back({Event.From, Event.Rank, Event.PrefillMs, Step.Now});
}

} // namespace limpetbridge::serving
