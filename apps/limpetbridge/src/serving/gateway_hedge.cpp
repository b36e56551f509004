/// A second attempt at a request beside the one in progress. It is a
/// gateway_request of its own that shares the caller and the request's body.
/// Both may read an answer; the one whose answer begins first claims the caller
/// and alone writes to it.
#include "gateway_request.h"

#include "base/log.h"

namespace limpetbridge {

using namespace serving;
using net::awaitable;

auto gateway_request::setHedgeTimer(const set_hedge_timer &Timer) -> void {
  HedgeTimer.emplace(Executor);
  HedgeTimer->expires_at(net::toSteadyTime(Timer.At));
  HedgeTimer->async_wait(
      [Weak = weak_from_this(),
       Due = hedge_due{Timer.Number, Timer.Attempt}](net::error_code Error) {
        if (const auto This = Weak.lock(); This && !Error)
          This->Environment.Dispatch(Due);
      });
}

auto gateway_request::startHedge(const send_attempt &Send) -> void {
  Hedge = std::make_shared<gateway_request>(Number, Caller, Request, Call,
                                            Environment, Executor);
  Hedge->Body = Body;
  Hedge->Owner = weak_from_this();
  HedgeRunning = true;
  HedgeFailedLast = false;
  // The coroutine holds the hedge, and this object until it has ended.
  net::spawnContained(
      Executor, Hedge->runHedge(Send),
      [Self = shared_from_this(), Number = Send.Attempt](const std::string &) {
        attempt_result Result;
        Result.Number = Self->Number;
        Result.Attempt = Number;
        Self->finishHedge(Result);
      });
}

auto gateway_request::runHedge(send_attempt Send) -> awaitable<void> {
  const auto Self = shared_from_this();
  const auto Main = Owner.lock();
  const auto Result = co_await runAttempt(Send);
  if (Target && Result.End != attempt_end::Answered)
    Target->close();
  Target.reset();
  if (Main)
    Main->finishHedge(Result);
}

auto gateway_request::finishHedge(const attempt_result &Result) -> void {
  HedgeRunning = false;
  if (Hedge->Claimed) {
    Events = Hedge->Events;
    ResponseStarted |= Hedge->ResponseStarted;
    CloseAfterResponse = Hedge->CloseAfterResponse;
  }
  // The caller has the whole answer, whatever was decided meanwhile.
  HedgeAnswered = Result.End == attempt_end::Answered;
  CommandTimer.cancel();
  if (!HedgeAnswered && (Hedge->isCancelled() || !Commands.empty()))
    return;
  HedgeFailedLast = Result.End == attempt_end::Failed;
  Environment.Dispatch(Result);
}

auto gateway_request::cancelAttempt(attempt_number Number) -> void {
  if (Hedge && Hedge->Attempt == Number)
    Hedge->cancel();
  else if (Attempt == Number)
    cancel();
}

auto gateway_request::cancel() -> void {
  Cancelled = true;
  if (Target)
    Target->close();
}

auto gateway_request::claimAnswer() -> bool {
  if (Claimed)
    return true;
  if (isCancelled())
    return false;
  // Also if hedging was switched off while two attempts were in progress.
  if (Environment.Hedges() || Hedge || !Owner.expired())
    Environment.Dispatch(answer_begun{Number, Attempt});
  Claimed = !isCancelled();
  return Claimed;
}

} // namespace limpetbridge
