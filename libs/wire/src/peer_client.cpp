#include "wire/peer_client.h"

#include "base/thread.h"
#include "convert.h"
#include "credentials.h"
#include "limpetbridge.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace limpetbridge {

namespace {

constexpr int KeepaliveMs = 10'000;
constexpr int KeepaliveTimeoutMs = 3'000;
constexpr int MaxMessageBytes = 64 * 1024 * 1024;
constexpr auto UnaryTimeout = std::chrono::seconds(2);
constexpr auto ConnectTimeout = std::chrono::milliseconds(1000);
constexpr std::size_t ConnectThreads = 4;
constexpr std::size_t ConnectQueue = 4096;

using channel = std::shared_ptr<grpc::Channel>;

/// A channel with a connection of its own, so that dropping the channel drops
/// the connection.
auto makeChannel(const std::string &Address) -> channel {
  grpc::ChannelArguments Arguments;
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveMs);
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveTimeoutMs);
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
  Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  Arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
  return grpc::CreateCustomChannel(Address, grpc::InsecureChannelCredentials(),
                                   Arguments);
}

/// True when the channel is connected; starts to connect an idle one.
auto isConnected(const channel &Channel) -> bool {
  return Channel->GetState(true) == GRPC_CHANNEL_READY;
}

auto connectFailure(const attempt_id &Id, const std::string &Address)
    -> attempt_ended {
  attempt_ended Ended;
  Ended.Attempt = Id;
  Ended.Outcome = run_outcome::NotRun;
  Ended.Code = result_code::TargetUnreachable;
  Ended.Detail = "could not connect to " + Address;
  return Ended;
}

auto systemDeadline(time_point Deadline, time_point Now)
    -> std::chrono::system_clock::time_point {
  constexpr auto MaxTimeout = std::chrono::hours(24);
  const duration Timeout =
      std::min<duration>(remaining(Deadline, Now), MaxTimeout);
  return std::chrono::system_clock::now() + Timeout;
}

/// Open channels by address.
class channel_pool {
public:
  /// Channel to \p Address; \p Fresh replaces an existing one.
  auto get(const std::string &Address, bool Fresh) -> channel {
    const std::lock_guard Lock(Mutex);
    auto &Channel = Channels[Address];
    if (!Channel || Fresh)
      Channel = makeChannel(Address);
    return Channel;
  }
  auto drop(const std::string &Address) -> void {
    const std::lock_guard Lock(Mutex);
    Channels.erase(Address);
  }

private:
  std::mutex Mutex;
  std::map<std::string, channel> Channels;
};

class attempt_call;

} // namespace

struct peer_client::details {
  details(peer_client_options Options, hybrid_clock &Clock, event_sink Sink)
      : Options(std::move(Options)), Clock(Clock), Sink(std::move(Sink)),
        Connector("connect", ConnectThreads, ConnectionStackBytes,
                  ConnectQueue) {}

  peer_client_options Options;
  hybrid_clock &Clock;
  event_sink Sink;
  channel_pool Channels;
  std::mutex Mutex;
  std::condition_variable CallFinished;
  std::map<attempt_id, attempt_call *> Attempts;
  std::size_t OpenCalls = 0;
  thread_pool Connector;

  auto countCallStarted() -> void {
    const std::lock_guard Lock(Mutex);
    ++OpenCalls;
  }
  /// Must be the last access of a call to this object, because the destructor
  /// waits only until no call is open.
  auto countCallFinished() -> void {
    const std::lock_guard Lock(Mutex);
    --OpenCalls;
    CallFinished.notify_all();
  }
  auto startCall(const start_attempt &Effect, const channel &Channel) -> void;
};

namespace {

/// One offer and the stream of its replies.
class attempt_call : public grpc::ClientReadReactor<wire::WorkReply> {
public:
  attempt_call(peer_client::details &Owner, const start_attempt &Effect,
               const channel &Channel)
      : Owner(Owner), Id(Effect.Offer.Attempt), Address(Effect.Address),
        Stub(wire::Agent::NewStub(Channel)) {
    const auto Now = process_clock::now();
    toWire(Effect.Offer, Now, Offer);
    Offer.set_stamp(Owner.Clock.tick().Value);
    addToken(Context, Owner.Options.Token);
    Context.set_deadline(systemDeadline(Effect.Offer.Work.Deadline, Now));
  }

  auto start() -> void {
    Stub->async()->Run(&Context, &Offer, this);
    StartRead(&Reply);
    StartCall();
  }

  auto cancel() -> void { Context.TryCancel(); }
  [[nodiscard]] auto address() const -> const std::string & { return Address; }

  void OnReadDone(bool Ok) override { // NOLINT: name given by gRPC
    if (!Ok)
      return;
    if (Reply.has_frame()) {
      Owner.Sink(attempt_progressed{Id, fromWire(Reply.frame())});
    } else {
      EndReceived = true;
      Owner.Clock.observe({Reply.end().stamp()});
      Owner.Sink(fromWire(Reply.end(), Id));
    }
    Reply.Clear();
    StartRead(&Reply);
  }

  void OnDone(const grpc::Status &Status) override { // NOLINT
    if (!EndReceived)
      Owner.Sink(streamFailure(Status));
    {
      const std::lock_guard Lock(Owner.Mutex);
      Owner.Attempts.erase(Id);
    }
    auto &Client = Owner;
    delete this;
    Client.countCallFinished();
  }

private:
  /// The result of a stream that failed before its end message arrived. The
  /// agent may have run the work.
  [[nodiscard]] auto streamFailure(const grpc::Status &Status) const
      -> attempt_ended {
    attempt_ended End;
    End.Attempt = Id;
    End.Outcome = run_outcome::Unknown;
    End.Code = result_code::OutcomeUnknown;
    End.Detail =
        "reply stream from " + Address + " failed: " + Status.error_message();
    return End;
  }

  peer_client::details &Owner;
  attempt_id Id;
  std::string Address;
  std::unique_ptr<wire::Agent::Stub> Stub;
  grpc::ClientContext Context;
  wire::WorkOffer Offer;
  wire::WorkReply Reply;
  bool EndReceived = false;
};

/// State of one unary call; its completion callback keeps it alive.
template <typename service, typename request, typename reply>
struct unary_call {
  std::unique_ptr<typename service::Stub> Stub;
  grpc::ClientContext Context;
  request Request;
  reply Reply;
};

template <typename service, typename request, typename reply>
auto makeUnary(const channel &Channel, const std::string &Token)
    -> std::shared_ptr<unary_call<service, request, reply>> {
  auto Call = std::make_shared<unary_call<service, request, reply>>();
  Call->Stub = service::NewStub(Channel);
  Call->Context.set_deadline(std::chrono::system_clock::now() + UnaryTimeout);
  addToken(Call->Context, Token);
  return Call;
}

} // namespace

auto peer_client::details::startCall(const start_attempt &Effect,
                                     const channel &Channel) -> void {
  auto *Call = new attempt_call(*this, Effect, Channel);
  const std::lock_guard Lock(Mutex);
  ++OpenCalls;
  Attempts[Effect.Offer.Attempt] = Call;
  Call->start();
}

peer_client::peer_client(peer_client_options Options, hybrid_clock &Clock,
                         event_sink Sink)
    : Details(std::make_unique<details>(std::move(Options), Clock,
                                        std::move(Sink))) {}

peer_client::~peer_client() {
  Details->Connector.stop();
  std::unique_lock Lock(Details->Mutex);
  for (auto &[Id, Call] : Details->Attempts)
    Call->cancel();
  Details->CallFinished.wait(Lock, [this] { return Details->OpenCalls == 0; });
}

auto peer_client::execute(const start_attempt &Effect) -> void {
  const auto Channel =
      Details->Channels.get(Effect.Address, Effect.FreshConnection);
  if (isConnected(Channel)) {
    Details->startCall(Effect, Channel);
    return;
  }
  // Only a failure to connect proves that the work was not run, because
  // nothing has been sent.
  const bool Queued = Details->Connector.submit([this, Effect, Channel] {
    const auto ConnectDeadline =
        std::chrono::system_clock::now() + ConnectTimeout;
    if (Channel->WaitForConnected(ConnectDeadline))
      Details->startCall(Effect, Channel);
    else
      Details->Sink(connectFailure(Effect.Offer.Attempt, Effect.Address));
  });
  if (!Queued)
    Details->Sink(connectFailure(Effect.Offer.Attempt, Effect.Address));
}

auto peer_client::execute(const cancel_attempt &Effect) -> void {
  const std::lock_guard Lock(Details->Mutex);
  const auto Found = Details->Attempts.find(Effect.Attempt);
  if (Found == Details->Attempts.end())
    return;
  if (Effect.Abandon)
    Details->Channels.drop(Found->second->address());
  Found->second->cancel();
}

auto peer_client::execute(const send_changes &Effect) -> void {
  const auto Call = makeUnary<wire::Entry, wire::Changes, wire::RevisionReply>(
      Details->Channels.get(Effect.Address, false), Details->Options.Token);
  toWire(Effect.Changes, Call->Request);
  Call->Request.set_from(Details->Options.Self.Text);
  Call->Request.set_stamp(Details->Clock.tick().Value);
  Details->countCallStarted();
  Call->Stub->async()->Push(
      &Call->Context, &Call->Request, &Call->Reply,
      [this, Call, To = Effect.To](const grpc::Status &Status) {
        if (Status.ok()) {
          Details->Clock.observe({Call->Reply.stamp()});
          Details->Sink(changes_acknowledged{To, {Call->Reply.revision()}});
        }
        Details->countCallFinished();
      });
}

auto peer_client::execute(const fetch_changes &Effect) -> void {
  const auto Call = makeUnary<wire::Entry, wire::FetchRequest, wire::Changes>(
      Details->Channels.get(Effect.Address, false), Details->Options.Token);
  Call->Request.set_from(Details->Options.Self.Text);
  Call->Request.set_revision(Effect.From.Value);
  Details->countCallStarted();
  Call->Stub->async()->Fetch(
      &Call->Context, &Call->Request, &Call->Reply,
      [this, Call, To = Effect.To](const grpc::Status &Status) {
        if (Status.ok())
          Details->Sink(changes_received{To, fromWire(Call->Reply)});
        Details->countCallFinished();
      });
}

auto peer_client::execute(const send_target_state &Effect) -> void {
  const auto Call =
      makeUnary<wire::Agent, wire::TargetState, wire::RevisionReply>(
          Details->Channels.get(Effect.Address, false), Details->Options.Token);
  Call->Request.set_revision(Effect.State.Revision.Value);
  Call->Request.set_drained(Effect.State.Drained);
  Call->Request.set_stamp(Details->Clock.tick().Value);
  Details->countCallStarted();
  Call->Stub->async()->SetTargetState(
      &Call->Context, &Call->Request, &Call->Reply,
      [this, Call, To = Effect.To](const grpc::Status &Status) {
        if (Status.ok())
          Details->Sink(revision_seen{To, {Call->Reply.revision()}});
        Details->countCallFinished();
      });
}

} // namespace limpetbridge
