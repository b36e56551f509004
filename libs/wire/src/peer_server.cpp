#include "wire/peer_server.h"

#include "convert.h"
#include "credentials.h"
#include "limpetbridge.grpc.pb.h"

#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>

#include <deque>
#include <map>
#include <mutex>
#include <stdexcept>

namespace limpetbridge {

namespace {

constexpr int MaxThreads = 16;
constexpr int MaxMessageBytes = 64 * 1024 * 1024;
constexpr std::size_t MaxPiecesAFrame = 256;

auto denied() -> grpc::Status {
  return {grpc::StatusCode::UNAUTHENTICATED, "missing or wrong token"};
}

/// Ends a unary call at once.
auto finishWith(grpc::CallbackServerContext *Context,
                const grpc::Status &Status) -> grpc::ServerUnaryReactor * {
  auto *Reactor = Context->DefaultReactor();
  Reactor->Finish(Status);
  return Reactor;
}

class offer_stream;

/// Offers that are open, by attempt.
struct offer_table {
  std::mutex Mutex;
  std::map<attempt_id, offer_stream *> Open;
};

/// The stream of replies to one offer. All members are guarded by the mutex
/// of the table.
class offer_stream : public grpc::ServerWriteReactor<wire::WorkReply> {
public:
  offer_stream(offer_table &Table, const attempt_id &Id, event_sink &Sink)
      : Table(Table), Id(Id), Sink(Sink) {}

  /// \pre The table is locked.
  auto push(wire::WorkReply Reply) -> void {
    if (Finished)
      return;
    if (!mergeIntoLast(Reply))
      Waiting.push_back(std::move(Reply));
    if (!Writing)
      writeNext();
  }

  void OnWriteDone(bool Ok) override { // NOLINT: name given by gRPC
    const std::lock_guard Lock(Table.Mutex);
    Writing = false;
    if (Ok && !Waiting.empty())
      writeNext();
    else if (!Ok || Ended)
      finish();
  }

  auto OnCancel() -> void override { // NOLINT
    const std::lock_guard Lock(Table.Mutex);
    if (!Writing)
      finish();
  }

  auto OnDone() -> void override { // NOLINT
    bool Cut = false;
    {
      const std::lock_guard Lock(Table.Mutex);
      const auto Found = Table.Open.find(Id);
      if (Found != Table.Open.end() && Found->second == this)
        Table.Open.erase(Found);
      Cut = !Ended;
    }
    if (Cut)
      Sink(work_cancelled{Id});
    delete this;
  }

private:
  /// While a write is under way, frames that follow each other become one.
  auto mergeIntoLast(const wire::WorkReply &Reply) -> bool {
    if (Waiting.empty() || !Reply.has_frame() || !Waiting.back().has_frame())
      return false;
    auto &Last = *Waiting.back().mutable_frame();
    const auto Pieces = static_cast<std::size_t>(Last.pieces_size());
    if (Last.offset() + Pieces != Reply.frame().offset() ||
        Pieces >= MaxPiecesAFrame)
      return false;
    Last.mutable_pieces()->MergeFrom(Reply.frame().pieces());
    return true;
  }

  auto writeNext() -> void {
    Current = std::move(Waiting.front());
    Waiting.pop_front();
    Ended = Ended || Current.has_end();
    Writing = true;
    StartWrite(&Current);
  }

  auto finish() -> void {
    if (std::exchange(Finished, true))
      return;
    Finish(grpc::Status::OK);
  }

  offer_table &Table;
  attempt_id Id;
  event_sink &Sink;
  std::deque<wire::WorkReply> Waiting;
  wire::WorkReply Current;
  bool Writing = false;
  bool Ended = false;
  bool Finished = false;
};

/// A stream that is refused before it begins.
class refused_stream : public grpc::ServerWriteReactor<wire::WorkReply> {
public:
  explicit refused_stream(const grpc::Status &Status) { Finish(Status); }
  auto OnDone() -> void override { delete this; } // NOLINT
};

/// What the services share.
struct shared_parts {
  peer_server_options Options;
  hybrid_clock &Clock;
  peer_hooks Hooks;
  offer_table Offers;
};

class agent_service : public wire::Agent::CallbackService {
public:
  explicit agent_service(shared_parts &Parts) : Parts(Parts) {}

  auto Run(grpc::CallbackServerContext *Context, // NOLINT
           const wire::WorkOffer *Request)
      -> grpc::ServerWriteReactor<wire::WorkReply> * override {
    if (!hasToken(*Context, Parts.Options.Token))
      return new refused_stream(denied());
    Parts.Clock.observe({Request->stamp()});
    auto Offer = fromWire(*Request, process_clock::now());
    auto *Stream =
        new offer_stream(Parts.Offers, Offer.Attempt, Parts.Hooks.Sink);
    {
      const std::lock_guard Lock(Parts.Offers.Mutex);
      Parts.Offers.Open[Offer.Attempt] = Stream;
    }
    Parts.Hooks.Sink(std::move(Offer));
    return Stream;
  }

  auto SetTargetState(grpc::CallbackServerContext *Context, // NOLINT
                      const wire::TargetState *Request,
                      wire::RevisionReply *Reply)
      -> grpc::ServerUnaryReactor * override {
    if (!hasToken(*Context, Parts.Options.Token))
      return finishWith(Context, denied());
    Parts.Clock.observe({Request->stamp()});
    auto *Reactor = Context->DefaultReactor();
    Parts.Hooks.SetTargetState({{Request->revision()}, Request->drained()},
                               [this, Reactor, Reply](revision Revision) {
                                 Reply->set_revision(Revision.Value);
                                 Reply->set_stamp(Parts.Clock.tick().Value);
                                 Reactor->Finish(grpc::Status::OK);
                               });
    return Reactor;
  }

private:
  shared_parts &Parts;
};

class entry_service : public wire::Entry::CallbackService {
public:
  explicit entry_service(shared_parts &Parts) : Parts(Parts) {}

  auto Push(grpc::CallbackServerContext *Context, // NOLINT
            const wire::Changes *Request, wire::RevisionReply *Reply)
      -> grpc::ServerUnaryReactor * override {
    if (!hasToken(*Context, Parts.Options.Token))
      return finishWith(Context, denied());
    Parts.Clock.observe({Request->stamp()});
    auto *Reactor = Context->DefaultReactor();
    Parts.Hooks.Push({instance_name(Request->from()), fromWire(*Request)},
                     [this, Reactor, Reply](revision Revision) {
                       Reply->set_revision(Revision.Value);
                       Reply->set_stamp(Parts.Clock.tick().Value);
                       Reactor->Finish(grpc::Status::OK);
                     });
    return Reactor;
  }

  auto Fetch(grpc::CallbackServerContext *Context, // NOLINT
             const wire::FetchRequest *Request, wire::Changes *Reply)
      -> grpc::ServerUnaryReactor * override {
    if (!hasToken(*Context, Parts.Options.Token))
      return finishWith(Context, denied());
    auto *Reactor = Context->DefaultReactor();
    Parts.Hooks.Fetch({Request->revision()},
                      [this, Reactor, Reply](const std::vector<change> &All) {
                        toWire(All, *Reply);
                        Reply->set_stamp(Parts.Clock.tick().Value);
                        Reactor->Finish(grpc::Status::OK);
                      });
    return Reactor;
  }

private:
  shared_parts &Parts;
};

class diagnostics_service : public wire::Diagnostics::CallbackService {
public:
  explicit diagnostics_service(shared_parts &Parts) : Parts(Parts) {}

  auto Inspect(grpc::CallbackServerContext *Context, // NOLINT
               const wire::InspectRequest *Request, wire::InspectReply *Reply)
      -> grpc::ServerUnaryReactor * override {
    if (!hasToken(*Context, Parts.Options.Token))
      return finishWith(Context, denied());
    auto *Reactor = Context->DefaultReactor();
    Parts.Hooks.Inspect({Request->subject(), Request->argument()},
                        [Reactor, Reply](const result<report> &Report) {
                          if (Report)
                            toWire(Report.value(), *Reply);
                          else
                            setError(*Reply, Report.error());
                          Reactor->Finish(grpc::Status::OK);
                        });
    return Reactor;
  }

  auto Timeline(grpc::CallbackServerContext *Context, // NOLINT
                const wire::TimelineRequest *Request,
                wire::TimelineReply *Reply)
      -> grpc::ServerUnaryReactor * override {
    if (!hasToken(*Context, Parts.Options.Token))
      return finishWith(Context, denied());
    const note_filter Filter{Request->request(), target_name(Request->target()),
                             Request->change()};
    for (const auto &Note : Parts.Hooks.Timeline(Filter))
      toWire(Note, *Reply->add_notes());
    return finishWith(Context, grpc::Status::OK);
  }

private:
  static auto setError(wire::InspectReply &Reply, const error &Error) -> void {
    Reply.set_code(static_cast<std::uint32_t>(Error.Code));
    Reply.set_detail(Error.Detail);
  }

  shared_parts &Parts;
};

class operator_service : public wire::Operator::CallbackService {
public:
  explicit operator_service(shared_parts &Parts) : Parts(Parts) {}

  auto Change(grpc::CallbackServerContext *Context, // NOLINT
              const wire::ChangeRequest *Request, wire::ChangeReply *Reply)
      -> grpc::ServerUnaryReactor * override {
    if (!hasToken(*Context, Parts.Options.Token))
      return finishWith(Context, denied());
    auto *Reactor = Context->DefaultReactor();
    Parts.Hooks.Change(fromWire(*Request, process_clock::now()),
                       [Reactor, Reply](const answer_command &Answer) {
                         toWire(Answer, *Reply);
                         Reactor->Finish(grpc::Status::OK);
                       });
    return Reactor;
  }

private:
  shared_parts &Parts;
};

} // namespace

struct peer_server::details {
  details(peer_server_options Options, hybrid_clock &Clock, peer_hooks Hooks)
      : Parts{std::move(Options), Clock, std::move(Hooks), {}}, Agent(Parts),
        Entry(Parts), Diagnostics(Parts), Operator(Parts) {}

  shared_parts Parts;
  agent_service Agent;
  entry_service Entry;
  diagnostics_service Diagnostics;
  operator_service Operator;
  std::unique_ptr<grpc::Server> Server;
  int Port = 0;
};

peer_server::peer_server(peer_server_options Options, hybrid_clock &Clock,
                         peer_hooks Hooks)
    : Details(std::make_unique<details>(std::move(Options), Clock,
                                        std::move(Hooks))) {
  const auto &Chosen = Details->Parts.Options;
  const auto Address = Chosen.Address + ":" + std::to_string(Chosen.Port);
  grpc::ResourceQuota Quota("listener");
  Quota.SetMaxThreads(MaxThreads);
  grpc::ServerBuilder Builder;
  Builder.SetResourceQuota(Quota);
  Builder.SetMaxReceiveMessageSize(MaxMessageBytes);
  // A port that another process holds is an error, never shared.
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.AddListeningPort(Address, grpc::InsecureServerCredentials(),
                           &Details->Port);
  if (Chosen.Peers) {
    Builder.RegisterService(&Details->Agent);
    Builder.RegisterService(&Details->Entry);
  }
  Builder.RegisterService(&Details->Diagnostics);
  if (Chosen.Operators)
    Builder.RegisterService(&Details->Operator);
  Details->Server = Builder.BuildAndStart();
  if (!Details->Server || Details->Port == 0)
    throw std::runtime_error("cannot listen on " + Address);
}

peer_server::~peer_server() { stop(); }

auto peer_server::stop() -> void {
  constexpr auto Patience = std::chrono::milliseconds(200);
  Details->Server->Shutdown(std::chrono::system_clock::now() + Patience);
  Details->Server->Wait();
}

auto peer_server::port() const -> std::uint16_t {
  return static_cast<std::uint16_t>(Details->Port);
}

auto peer_server::execute(const send_frame &Effect) -> void {
  auto &Offers = Details->Parts.Offers;
  const std::lock_guard Lock(Offers.Mutex);
  const auto Found = Offers.Open.find(Effect.Attempt);
  if (Found == Offers.Open.end())
    return;
  wire::WorkReply Reply;
  toWire(Effect.Frame, *Reply.mutable_frame());
  Found->second->push(std::move(Reply));
}

auto peer_server::execute(const send_end &Effect) -> void {
  auto &Offers = Details->Parts.Offers;
  const std::lock_guard Lock(Offers.Mutex);
  const auto Found = Offers.Open.find(Effect.End.Attempt);
  if (Found == Offers.Open.end())
    return;
  wire::WorkReply Reply;
  toWire(Effect.End, *Reply.mutable_end());
  Reply.mutable_end()->set_stamp(Details->Parts.Clock.tick().Value);
  Found->second->push(std::move(Reply));
}

} // namespace limpetbridge
