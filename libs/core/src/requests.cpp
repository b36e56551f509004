#include "core/requests.h"

#include "details/handlers.h"

#include <algorithm>

namespace limpetbridge {

auto attempt_budget::deposit() -> void {
  Tokens = std::min(Limit, Tokens + PerRequest);
}

auto attempt_budget::tryWithdraw() -> bool {
  if (Tokens < 1.0)
    return false;
  Tokens -= 1.0;
  return true;
}

namespace details {

namespace {

/// The importance class of that name; the default class if there is none.
auto importanceOf(const catalogue &Catalogue, const std::string &Name)
    -> importance_declaration {
  const auto *Declared = Catalogue.find<importance_declaration>(Name);
  if (Declared != nullptr)
    return *Declared;
  return {};
}

/// Sets rank and first-token time by importance class; a class of the caller
/// takes precedence over that of the model or service.
auto applyImportance(const catalogue &Catalogue, std::string Name,
                     time_point Now, work &Work) -> void {
  const auto *Caller = Catalogue.find<caller_declaration>(Work.Caller.Text);
  if (Caller != nullptr && !Caller->Importance.empty())
    Name = Caller->Importance;
  const auto Importance = importanceOf(Catalogue, Name);
  Work.Rank = static_cast<std::uint8_t>(Importance.Rank);
  Work.Short = std::int64_t{Work.PromptTokens} + Work.MaxTokens <=
               Importance.ShortTokens;
  Work.FirstTokenBy =
      Now + milliseconds(Work.Short ? Importance.FirstTokenMs
                                    : Importance.LongFirstTokenMs);
}

auto resolveGenerate(const catalogue &Catalogue, const request_arrived &Event,
                     time_point Now, work &Work) -> result<void> {
  const auto Resolved = Catalogue.resolve(Event.Model);
  if (!Resolved)
    return failure(result_code::NotFound,
                   "no model, version or adapter " + Event.Model);
  if (!Catalogue.mayUseModel(Work.Caller, Event.Model))
    return failure(result_code::Forbidden, "caller " + Work.Caller.Text +
                                               " may not use model " +
                                               Event.Model);
  Work.Unit = Resolved->Unit;
  Work.Adapter = Resolved->Adapter;
  Work.Memory = Resolved->Memory;
  Work.AdapterMemory = Resolved->AdapterMemory;
  Work.LoadMs = Resolved->LoadMs;
  Work.PromptTokens = Event.PromptTokens;
  Work.MaxTokens = Event.MaxTokens;
  Work.PrefixHash = Event.PrefixHash;
  applyImportance(Catalogue, Resolved->Importance, Now, Work);
  return boost::outcome_v2::success();
}

auto contains(const name_list &Names, const std::string &Name) -> bool {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

auto resolveCall(const catalogue &Catalogue, const request_arrived &Event,
                 time_point Now, work &Work) -> result<void> {
  const auto *Service = Catalogue.find<service_declaration>(Event.Service.Text);
  if (Service == nullptr)
    return failure(result_code::NotFound, "no service " + Event.Service.Text);
  if (!Catalogue.mayUseService(Work.Caller, Event.Service))
    return failure(result_code::Forbidden, "caller " + Work.Caller.Text +
                                               " may not use service " +
                                               Event.Service.Text);
  if (!contains(Service->Operations, Event.Operation))
    return failure(result_code::NotFound, "service " + Event.Service.Text +
                                              " has no operation " +
                                              Event.Operation);
  Work.Service = Event.Service;
  Work.Operation = Event.Operation;
  Work.Idempotent = !contains(Service->NonIdempotent, Event.Operation);
  Work.Key = Event.Key;
  applyImportance(Catalogue, Service->Importance, Now, Work);
  return boost::outcome_v2::success();
}

auto resolveWork(const context &Ctx, const request_arrived &Event)
    -> result<work> {
  const auto &Configuration = Ctx.State.Configuration;
  if (!Configuration.Loaded)
    return failure(result_code::NotReady, "configuration is not loaded");
  if (Ctx.State.Drain.Draining && Ctx.Now >= Ctx.State.Drain.RefuseFrom)
    return failure(result_code::Draining, "this entry is draining");
  const auto &Catalogue = *Configuration.Current;
  work Work;
  Work.Kind = Event.Kind;
  Work.Deadline = Event.Deadline;
  Work.Body = Event.Body;
  Work.Caller = Catalogue.callerOf(Event.Token);
  if (Work.Caller.empty())
    return failure(result_code::Unauthenticated, "unknown bearer token");
  auto Resolved = Event.Kind == work_kind::Generate
                      ? resolveGenerate(Catalogue, Event, Ctx.Now, Work)
                      : resolveCall(Catalogue, Event, Ctx.Now, Work);
  if (!Resolved)
    return Resolved.error();
  return Work;
}

auto refuseRequest(const context &Ctx, const request_id &Id, const error &Error)
    -> void {
  Ctx.emit(count_metric{"refused", describe(Error.Code).Name});
  answer_end End{Id, run_outcome::NotRun, Error.Code, Error.Detail, 0, {},
                 0,  NoDeadline};
  Ctx.emit(std::move(End));
}

/// Sends pieces to the caller and keeps their text, so that another attempt can
/// resume the answer.
auto deliverFrame(const context &Ctx, const request_id &Id,
                  request_state &Request, frame Frame) -> void {
  if (Request.Delivered == 0)
    Ctx.emit(observe_metric{"first_token",
                            Request.Work.Short ? "short" : "long",
                            asMilliseconds(Ctx.Now - Request.ArrivedAt)});
  Request.Delivered += static_cast<std::uint32_t>(Frame.Pieces.size());
  for (const auto &Piece : Frame.Pieces)
    Request.DeliveredText += Piece;
  Ctx.emit(answer_frame{Id, std::move(Frame)});
}

/// Handles a frame of the source attempt: drops pieces already delivered,
/// buffers a frame that arrived ahead of a gap, and delivers the rest in order.
auto acceptFrame(const context &Ctx, const request_id &Id,
                 request_state &Request, attempt_state &Attempt, frame Frame)
    -> void {
  if (Frame.Offset > Request.Delivered) {
    Attempt.OutOfOrder[Frame.Offset] = std::move(Frame.Pieces);
    return;
  }
  const std::size_t Repeated = Request.Delivered - Frame.Offset;
  if (Repeated >= Frame.Pieces.size())
    return;
  Frame.Pieces.erase(Frame.Pieces.begin(),
                     Frame.Pieces.begin() +
                         static_cast<std::ptrdiff_t>(Repeated));
  Frame.Offset = Request.Delivered;
  deliverFrame(Ctx, Id, Request, std::move(Frame));
  const auto Next = Attempt.OutOfOrder.begin();
  if (Next == Attempt.OutOfOrder.end() || Next->first > Request.Delivered)
    return;
  frame Following{Next->first, std::move(Next->second)};
  Attempt.OutOfOrder.erase(Next);
  acceptFrame(Ctx, Id, Request, Attempt, std::move(Following));
}

/// Ends the request when all pieces of the answer have been delivered.
auto finishIfComplete(const context &Ctx, const request_id &Id,
                      request_state &Request, const attempt_state &Attempt)
    -> bool {
  if (!Attempt.Total || *Attempt.Total != Request.Delivered)
    return false;
  finishRequest(Ctx, Id,
                {Id,
                 run_outcome::Done,
                 result_code::Ok,
                 "",
                 *Attempt.Total,
                 {},
                 0,
                 NoDeadline});
  return true;
}

/// Cancels all active attempts but \p KeptAttempt; 0 cancels all.
auto cancelOtherAttempts(const context &Ctx, const request_id &Id,
                         request_state &Request, std::uint32_t KeptAttempt)
    -> void {
  for (auto Attempt = Request.ActiveAttempts.begin();
       Attempt != Request.ActiveAttempts.end();) {
    if (Attempt->first == KeptAttempt) {
      ++Attempt;
      continue;
    }
    Ctx.emit(cancel_attempt{{Id, Attempt->first}, false});
    if (auto *View = findTargetView(Ctx.State, Attempt->second.Target))
      View->Outstanding -= std::min(View->Outstanding, 1U);
    Attempt = Request.ActiveAttempts.erase(Attempt);
  }
}

/// Makes the attempt the source of the answer, updates the time estimates, and
/// cancels the other attempts.
auto selectSourceAttempt(const context &Ctx, const attempt_id &Id,
                         request_state &Request, const attempt_state &Attempt)
    -> void {
  if (Request.SourceAttempt == Id.Attempt)
    return;
  Request.SourceAttempt = Id.Attempt;
  Request.HedgeAt = NoDeadline;
  recordResident(Ctx.State, Request.Work.Unit, Attempt.Target);
  const auto Elapsed = Ctx.Now - Attempt.StartedAt;
  if (Attempt.Cold)
    recordLoadTime(Ctx, Elapsed, Request.Work);
  else
    recordFirstToken(Ctx, Attempt.Target, Elapsed, Attempt.ExpectedWait,
                     Request.Work);
  cancelOtherAttempts(Ctx, Id.Request, Request, Id.Attempt);
}

struct active_attempt {
  request_state *Request = nullptr;
  attempt_state *Attempt = nullptr;
};

/// The active attempt \p Id and its request; null pointers if it has ended.
auto findActiveAttempt(node_state &State, const attempt_id &Id)
    -> active_attempt {
  const auto Found = State.Requests.Open.find(Id.Request);
  if (Found == State.Requests.Open.end())
    return {};
  auto &Active = Found->second.ActiveAttempts;
  const auto Attempt = Active.find(Id.Attempt);
  if (Attempt == Active.end())
    return {};
  return {&Found->second, &Attempt->second};
}

/// With the test fault AcceptAnyFrame, delivers frames of ended attempts too.
auto deliverIfMutated(const context &Ctx, const attempt_progressed &Event)
    -> void {
  if (!isMutated(Ctx.State.Options, mutation::AcceptAnyFrame))
    return;
  const auto Found = Ctx.State.Requests.Open.find(Event.Attempt.Request);
  if (Found == Ctx.State.Requests.Open.end() || Event.Frame.Pieces.empty())
    return;
  deliverFrame(Ctx, Event.Attempt.Request, Found->second, Event.Frame);
}

} // namespace

auto onRequest(const context &Ctx, const request_arrived &Event) -> void {
  auto &Requests = Ctx.State.Requests;
  auto Work = resolveWork(Ctx, Event);
  if (!Work) {
    refuseRequest(Ctx, Event.Request, Work.error());
    return;
  }
  Requests.RetryBudget.deposit();
  Requests.HedgeBudget.deposit();
  auto &Request = Requests.Open[Event.Request];
  Request.Work = std::move(Work.value());
  Request.ArrivedAt = Ctx.Now;
  Ctx.recordNote(note_kind::RequestArrived, toString(Event.Request), {}, "",
                 Event.Kind == work_kind::Generate
                     ? Event.Model
                     : Event.Service.Text + "/" + Event.Operation);
  startAttempt(Ctx, Event.Request, Request);
}

auto onCallerLeft(const context &Ctx, const caller_left &Event) -> void {
  auto &Open = Ctx.State.Requests.Open;
  const auto Found = Open.find(Event.Request);
  if (Found == Open.end())
    return;
  cancelOtherAttempts(Ctx, Event.Request, Found->second, 0);
  Ctx.recordNote(note_kind::RequestEnded, toString(Event.Request), {}, "",
                 "the caller left");
  Open.erase(Found);
}

auto onProgress(const context &Ctx, const attempt_progressed &Event) -> void {
  const auto Active = findActiveAttempt(Ctx.State, Event.Attempt);
  if (Active.Request == nullptr) {
    deliverIfMutated(Ctx, Event);
    return;
  }
  Active.Attempt->LastProgress = Ctx.Now;
  if (Event.Frame.Pieces.empty())
    return;
  const auto Source = Active.Request->SourceAttempt;
  if (Source != 0 && Source != Event.Attempt.Attempt)
    return;
  selectSourceAttempt(Ctx, Event.Attempt, *Active.Request, *Active.Attempt);
  acceptFrame(Ctx, Event.Attempt.Request, *Active.Request, *Active.Attempt,
              Event.Frame);
  finishIfComplete(Ctx, Event.Attempt.Request, *Active.Request,
                   *Active.Attempt);
}

auto finishRequest(const context &Ctx, const request_id &Id, answer_end End)
    -> void {
  const auto Found = Ctx.State.Requests.Open.find(Id);
  auto &Request = Found->second;
  cancelOtherAttempts(Ctx, Id, Request, 0);
  Ctx.emit(count_metric{"requests", nameOf(End.Outcome)});
  if (End.Outcome == run_outcome::NotRun)
    Ctx.emit(count_metric{"refused", describe(End.Code).Name});
  Ctx.emit(observe_metric{"request", Request.Work.Short ? "short" : "long",
                          asMilliseconds(Ctx.Now - Request.ArrivedAt)});
  Ctx.recordNote(note_kind::RequestEnded, toString(Id), {}, "",
                 std::string(nameOf(End.Outcome)) + " " +
                     std::string(describe(End.Code).Name));
  Ctx.emit(std::move(End));
  Ctx.State.Requests.Open.erase(Found);
}

} // namespace details

} // namespace limpetbridge
