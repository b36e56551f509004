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
constexpr std::size_t MaxPiecesPerFrame = 256;

auto unauthenticated() -> grpc::Status {
  return {grpc::StatusCode::UNAUTHENTICATED, "missing or wrong token"};
}

/// Finishes a unary call with \p Status, without a reply.
auto finishCall(grpc::CallbackServerContext *Context,
                const grpc::Status &Status) -> grpc::ServerUnaryReactor * {
  auto *Reactor = Context->DefaultReactor();
  Reactor->Finish(Status);
  return Reactor;
}

class offer_stream;

/// Streams of the open offers, by attempt.
struct offer_table {
  std::mutex Mutex;
  std::map<attempt_id, offer_stream *> Open;
};

/// The stream of replies to one offer. The mutex of the table guards all
/// members.
class offer_stream : public grpc::ServerWriteReactor<wire::WorkReply> {
public:
  offer_stream(offer_table &Table, const attempt_id &Id, event_sink &Sink)
      : Table(Table), Id(Id), Sink(Sink) {}

  /// Sends \p Reply, or queues it while a write is in progress.
  /// \pre The mutex of the table is locked.
  auto send(wire::WorkReply Reply) -> void {
    if (Finished)
      return;
    if (!mergeIntoLast(Reply))
      Queued.push_back(std::move(Reply));
    if (!Writing)
      writeNext();
  }

  void OnWriteDone(bool Ok) override { // NOLINT: name given by gRPC
    const std::lock_guard Lock(Table.Mutex);
    Writing = false;
    if (Ok && !Queued.empty())
      writeNext();
    else if (!Ok || EndSent)
      finish();
  }

  auto OnCancel() -> void override { // NOLINT
    const std::lock_guard Lock(Table.Mutex);
    if (!Writing)
      finish();
  }

  auto OnDone() -> void override { // NOLINT
    bool Cancelled = false;
    {
      const std::lock_guard Lock(Table.Mutex);
      const auto Found = Table.Open.find(Id);
      if (Found != Table.Open.end() && Found->second == this)
        Table.Open.erase(Found);
      Cancelled = !EndSent;
    }
    if (Cancelled)
      Sink(work_cancelled{Id});
    delete this;
  }

private:
  /// Merges a frame into the last queued one if it directly follows that one
  /// and the limit on pieces allows it. Returns true if merged.
  auto mergeIntoLast(const wire::WorkReply &Reply) -> bool {
    if (Queued.empty() || !Reply.has_frame() || !Queued.back().has_frame())
      return false;
    auto &Last = *Queued.back().mutable_frame();
    const auto Pieces = static_cast<std::size_t>(Last.pieces_size());
    if (Last.offset() + Pieces != Reply.frame().offset() ||
        Pieces >= MaxPiecesPerFrame)
      return false;
    Last.mutable_pieces()->MergeFrom(Reply.frame().pieces());
    return true;
  }

  auto writeNext() -> void {
    Current = std::move(Queued.front());
    Queued.pop_front();
    EndSent = EndSent || Current.has_end();
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
  std::deque<wire::WorkReply> Queued;
  wire::WorkReply Current; ///< The reply that is being written.
  bool Writing = false;
  bool EndSent = false;
  bool Finished = false;
};

/// A stream that ends with an error before any reply.
class refused_stream : public grpc::ServerWriteReactor<wire::WorkReply> {
public:
  explicit refused_stream(const grpc::Status &Status) { Finish(Status); }
  auto OnDone() -> void override { delete this; } // NOLINT
};

/// State that all gRPC services of a server use.
struct service_state {
  peer_server_options Options;
  hybrid_clock &Clock;
  peer_hooks Hooks;
  offer_table Offers;
};

class agent_service : public wire::Agent::CallbackService {
public:
  explicit agent_service(service_state &Shared) : Shared(Shared) {}

  auto Run(grpc::CallbackServerContext *Context, // NOLINT
           const wire::WorkOffer *Request)
      -> grpc::ServerWriteReactor<wire::WorkReply> * override {
    if (!isAuthenticated(*Context, Shared.Options.Token))
      return new refused_stream(unauthenticated());
    Shared.Clock.observe({Request->stamp()});
    auto Offer = fromWire(*Request, process_clock::now());
    auto *Stream =
        new offer_stream(Shared.Offers, Offer.Attempt, Shared.Hooks.Sink);
    {
      const std::lock_guard Lock(Shared.Offers.Mutex);
      Shared.Offers.Open[Offer.Attempt] = Stream;
    }
    Shared.Hooks.Sink(std::move(Offer));
    return Stream;
  }

  auto SetTargetState(grpc::CallbackServerContext *Context, // NOLINT
                      const wire::TargetState *Request,
                      wire::RevisionReply *Reply)
      -> grpc::ServerUnaryReactor * override {
    if (!isAuthenticated(*Context, Shared.Options.Token))
      return finishCall(Context, unauthenticated());
    Shared.Clock.observe({Request->stamp()});
    auto *Reactor = Context->DefaultReactor();
    Shared.Hooks.SetTargetState({{Request->revision()}, Request->drained()},
                                [this, Reactor, Reply](revision Revision) {
                                  Reply->set_revision(Revision.Value);
                                  Reply->set_stamp(Shared.Clock.tick().Value);
                                  Reactor->Finish(grpc::Status::OK);
                                });
    return Reactor;
  }

private:
  service_state &Shared;
};

class entry_service : public wire::Entry::CallbackService {
public:
  explicit entry_service(service_state &Shared) : Shared(Shared) {}

  auto Push(grpc::CallbackServerContext *Context, // NOLINT
            const wire::Changes *Request, wire::RevisionReply *Reply)
      -> grpc::ServerUnaryReactor * override {
    if (!isAuthenticated(*Context, Shared.Options.Token))
      return finishCall(Context, unauthenticated());
    Shared.Clock.observe({Request->stamp()});
    auto *Reactor = Context->DefaultReactor();
    Shared.Hooks.Push({instance_name(Request->from()), fromWire(*Request)},
                      [this, Reactor, Reply](revision Revision) {
                        Reply->set_revision(Revision.Value);
                        Reply->set_stamp(Shared.Clock.tick().Value);
                        Reactor->Finish(grpc::Status::OK);
                      });
    return Reactor;
  }

  auto Fetch(grpc::CallbackServerContext *Context, // NOLINT
             const wire::FetchRequest *Request, wire::Changes *Reply)
      -> grpc::ServerUnaryReactor * override {
    if (!isAuthenticated(*Context, Shared.Options.Token))
      return finishCall(Context, unauthenticated());
    auto *Reactor = Context->DefaultReactor();
    Shared.Hooks.Fetch(
        {Request->revision()},
        [this, Reactor, Reply](const std::vector<change> &Changes) {
          toWire(Changes, *Reply);
          Reply->set_stamp(Shared.Clock.tick().Value);
          Reactor->Finish(grpc::Status::OK);
        });
    return Reactor;
  }

private:
  service_state &Shared;
};

class diagnostics_service : public wire::Diagnostics::CallbackService {
public:
  explicit diagnostics_service(service_state &Shared) : Shared(Shared) {}

  auto Inspect(grpc::CallbackServerContext *Context, // NOLINT
               const wire::InspectRequest *Request, wire::InspectReply *Reply)
      -> grpc::ServerUnaryReactor * override {
    if (!isAuthenticated(*Context, Shared.Options.Token))
      return finishCall(Context, unauthenticated());
    auto *Reactor = Context->DefaultReactor();
    Shared.Hooks.Inspect({Request->subject(), Request->argument()},
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
    if (!isAuthenticated(*Context, Shared.Options.Token))
      return finishCall(Context, unauthenticated());
    const note_filter Filter{Request->request(), target_name(Request->target()),
                             Request->change()};
    for (const auto &Note : Shared.Hooks.Timeline(Filter))
      toWire(Note, *Reply->add_notes());
    return finishCall(Context, grpc::Status::OK);
  }

private:
  static auto setError(wire::InspectReply &Reply, const error &Error) -> void {
    Reply.set_code(static_cast<std::uint32_t>(Error.Code));
    Reply.set_detail(Error.Detail);
  }

  service_state &Shared;
};

class operator_service : public wire::Operator::CallbackService {
public:
  explicit operator_service(service_state &Shared) : Shared(Shared) {}

  auto Change(grpc::CallbackServerContext *Context, // NOLINT
              const wire::ChangeRequest *Request, wire::ChangeReply *Reply)
      -> grpc::ServerUnaryReactor * override {
    if (!isAuthenticated(*Context, Shared.Options.Token))
      return finishCall(Context, unauthenticated());
    auto *Reactor = Context->DefaultReactor();
    Shared.Hooks.Change(fromWire(*Request, process_clock::now()),
                        [Reactor, Reply](const answer_command &Answer) {
                          toWire(Answer, *Reply);
                          Reactor->Finish(grpc::Status::OK);
                        });
    return Reactor;
  }

private:
  service_state &Shared;
};

} // namespace

struct peer_server::details {
  details(peer_server_options Options, hybrid_clock &Clock, peer_hooks Hooks)
      : Shared{std::move(Options), Clock, std::move(Hooks), {}}, Agent(Shared),
        Entry(Shared), Diagnostics(Shared), Operator(Shared) {}

  service_state Shared;
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
  const auto &ListenOptions = Details->Shared.Options;
  const auto Address =
      ListenOptions.Address + ":" + std::to_string(ListenOptions.Port);
  grpc::ResourceQuota Quota("listener");
  Quota.SetMaxThreads(MaxThreads);
  grpc::ServerBuilder Builder;
  Builder.SetResourceQuota(Quota);
  Builder.SetMaxReceiveMessageSize(MaxMessageBytes);
  // Without port reuse, a port that another process listens on is an error.
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.AddListeningPort(Address, grpc::InsecureServerCredentials(),
                           &Details->Port);
  if (ListenOptions.Peers) {
    Builder.RegisterService(&Details->Agent);
    Builder.RegisterService(&Details->Entry);
  }
  Builder.RegisterService(&Details->Diagnostics);
  if (ListenOptions.Operators)
    Builder.RegisterService(&Details->Operator);
  Details->Server = Builder.BuildAndStart();
  if (!Details->Server || Details->Port == 0)
    throw std::runtime_error("cannot listen on " + Address);
}

peer_server::~peer_server() { stop(); }

auto peer_server::stop() -> void {
  // gRPC cancels the calls that are still open after this time.
  constexpr auto ShutdownTimeout = std::chrono::milliseconds(200);
  Details->Server->Shutdown(std::chrono::system_clock::now() + ShutdownTimeout);
  Details->Server->Wait();
}

auto peer_server::port() const -> std::uint16_t {
  return static_cast<std::uint16_t>(Details->Port);
}

auto peer_server::execute(const send_frame &Effect) -> void {
  auto &Offers = Details->Shared.Offers;
  const std::lock_guard Lock(Offers.Mutex);
  const auto Found = Offers.Open.find(Effect.Attempt);
  if (Found == Offers.Open.end())
    return;
  wire::WorkReply Reply;
  toWire(Effect.Frame, *Reply.mutable_frame());
  Found->second->send(std::move(Reply));
}

auto peer_server::execute(const send_end &Effect) -> void {
  auto &Offers = Details->Shared.Offers;
  const std::lock_guard Lock(Offers.Mutex);
  const auto Found = Offers.Open.find(Effect.End.Attempt);
  if (Found == Offers.Open.end())
    return;
  wire::WorkReply Reply;
  toWire(Effect.End, *Reply.mutable_end());
  Reply.mutable_end()->set_stamp(Details->Shared.Clock.tick().Value);
  Found->second->send(std::move(Reply));
}

} // namespace limpetbridge
