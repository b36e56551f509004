#include "core/requests.h"

#include "details/handlers.h"

#include <algorithm>

namespace limpetbridge {

auto budget::earn() -> void { Tokens = std::min(Limit, Tokens + PerRequest); }

auto budget::spend() -> bool {
  if (Tokens < 1.0)
    return false;
  Tokens -= 1.0;
  return true;
}

namespace details {

namespace {

auto importanceOf(const catalogue &Catalogue, const std::string &Name)
    -> importance_declaration {
  const auto *Declared = Catalogue.find<importance_declaration>(Name);
  if (Declared != nullptr)
    return *Declared;
  return {};
}

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

/// Gives pieces to the caller and remembers their text for a resume.
auto deliver(const context &Ctx, const request_id &Id, request_state &Request,
             frame Frame) -> void {
  if (Request.Delivered == 0)
    Ctx.emit(observe_metric{"first_token",
                            Request.Work.Short ? "short" : "long",
                            asMilliseconds(Ctx.Now - Request.ArrivedAt)});
  Request.Delivered += static_cast<std::uint32_t>(Frame.Pieces.size());
  for (const auto &Piece : Frame.Pieces)
    Request.Text += Piece;
  Ctx.emit(answer_frame{Id, std::move(Frame)});
}

/// Takes a frame of the source attempt: drops what was delivered, keeps what
/// lies beyond a gap, delivers the rest in order.
auto takeFrame(const context &Ctx, const request_id &Id, request_state &Request,
               attempt_state &Attempt, frame Frame) -> void {
  if (Frame.Offset > Request.Delivered) {
    Attempt.Early[Frame.Offset] = std::move(Frame.Pieces);
    return;
  }
  const std::size_t Known = Request.Delivered - Frame.Offset;
  if (Known >= Frame.Pieces.size())
    return;
  Frame.Pieces.erase(Frame.Pieces.begin(),
                     Frame.Pieces.begin() + static_cast<std::ptrdiff_t>(Known));
  Frame.Offset = Request.Delivered;
  deliver(Ctx, Id, Request, std::move(Frame));
  const auto Next = Attempt.Early.begin();
  if (Next == Attempt.Early.end() || Next->first > Request.Delivered)
    return;
  frame Following{Next->first, std::move(Next->second)};
  Attempt.Early.erase(Next);
  takeFrame(Ctx, Id, Request, Attempt, std::move(Following));
}

auto finishIfWhole(const context &Ctx, const request_id &Id,
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

auto cancelOthers(const context &Ctx, const request_id &Id,
                  request_state &Request, std::uint32_t Kept) -> void {
  for (auto Each = Request.Live.begin(); Each != Request.Live.end();) {
    if (Each->first == Kept) {
      ++Each;
      continue;
    }
    Ctx.emit(cancel_attempt{{Id, Each->first}, false});
    if (auto *View = viewOf(Ctx.State, Each->second.Target))
      View->Outstanding -= std::min(View->Outstanding, 1U);
    Each = Request.Live.erase(Each);
  }
}

auto bindSource(const context &Ctx, const attempt_id &Id,
                request_state &Request, const attempt_state &Attempt) -> void {
  if (Request.Source == Id.Attempt)
    return;
  Request.Source = Id.Attempt;
  Request.HedgeAt = NoDeadline;
  learnResident(Ctx.State, Request.Work.Unit, Attempt.Target);
  const auto Took = Ctx.Now - Attempt.StartedAt;
  if (Attempt.Cold)
    learnLoad(Ctx, Took, Request.Work);
  else
    learnFirstToken(Ctx, Attempt.Target, Took, Attempt.ExpectedWait,
                    Request.Work);
  cancelOthers(Ctx, Id.Request, Request, Id.Attempt);
}

struct live_attempt {
  request_state *Request = nullptr;
  attempt_state *Attempt = nullptr;
};

/// The request and attempt that \p Id names, if it may still speak.
auto findLive(node_state &State, const attempt_id &Id) -> live_attempt {
  const auto Found = State.Requests.Open.find(Id.Request);
  if (Found == State.Requests.Open.end())
    return {};
  auto &Live = Found->second.Live;
  const auto Attempt = Live.find(Id.Attempt);
  if (Attempt == Live.end())
    return {};
  return {&Found->second, &Attempt->second};
}

/// Under the mutation, frames of abandoned attempts are taken as well.
auto mutantFrame(const context &Ctx, const attempt_progressed &Event) -> void {
  if (!isMutated(Ctx.State.Options, mutation::AcceptAnyFrame))
    return;
  const auto Found = Ctx.State.Requests.Open.find(Event.Attempt.Request);
  if (Found == Ctx.State.Requests.Open.end() || Event.Frame.Pieces.empty())
    return;
  deliver(Ctx, Event.Attempt.Request, Found->second, Event.Frame);
}

} // namespace

auto onRequest(const context &Ctx, const request_arrived &Event) -> void {
  auto &Requests = Ctx.State.Requests;
  auto Work = resolveWork(Ctx, Event);
  if (!Work) {
    refuseRequest(Ctx, Event.Request, Work.error());
    return;
  }
  Requests.RetryBudget.earn();
  Requests.HedgeBudget.earn();
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
  cancelOthers(Ctx, Event.Request, Found->second, 0);
  Ctx.recordNote(note_kind::RequestEnded, toString(Event.Request), {}, "",
                 "the caller left");
  Open.erase(Found);
}

auto onProgress(const context &Ctx, const attempt_progressed &Event) -> void {
  const auto Live = findLive(Ctx.State, Event.Attempt);
  if (Live.Request == nullptr) {
    mutantFrame(Ctx, Event);
    return;
  }
  Live.Attempt->LastProgress = Ctx.Now;
  if (Event.Frame.Pieces.empty())
    return;
  const auto Source = Live.Request->Source;
  if (Source != 0 && Source != Event.Attempt.Attempt)
    return;
  bindSource(Ctx, Event.Attempt, *Live.Request, *Live.Attempt);
  takeFrame(Ctx, Event.Attempt.Request, *Live.Request, *Live.Attempt,
            Event.Frame);
  finishIfWhole(Ctx, Event.Attempt.Request, *Live.Request, *Live.Attempt);
}

auto finishRequest(const context &Ctx, const request_id &Id, answer_end End)
    -> void {
  const auto Found = Ctx.State.Requests.Open.find(Id);
  auto &Request = Found->second;
  cancelOthers(Ctx, Id, Request, 0);
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
