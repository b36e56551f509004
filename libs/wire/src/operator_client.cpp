#include "wire/operator_client.h"

#include "convert.h"
#include "credentials.h"
#include "limpetbridge.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace limpetbridge {

namespace {

constexpr int MaxMessageBytes = 64 * 1024 * 1024;

auto toError(const grpc::Status &Status, const std::string &Address) -> error {
  const bool Denied = Status.error_code() == grpc::StatusCode::UNAUTHENTICATED;
  return failure(Denied ? result_code::Unauthenticated
                        : result_code::TargetUnreachable,
                 Address + ": " + Status.error_message());
}

} // namespace

struct operator_client::details {
  std::string Address;
  std::string Token;
  std::shared_ptr<grpc::Channel> Channel;

  auto setTokenAndDeadline(grpc::ClientContext &Context, duration Timeout) const
      -> void {
    addToken(Context, Token);
    Context.set_deadline(std::chrono::system_clock::now() + Timeout);
  }
};

operator_client::operator_client(const std::string &Address, std::string Token)
    : Details(std::make_unique<details>()) {
  grpc::ChannelArguments Arguments;
  Arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
  Details->Address = Address;
  Details->Token = std::move(Token);
  Details->Channel = grpc::CreateCustomChannel(
      Address, grpc::InsecureChannelCredentials(), Arguments);
}

operator_client::~operator_client() = default;

auto operator_client::change(const command_arrived &Command, duration Timeout)
    -> result<answer_command> {
  grpc::ClientContext Context;
  Details->setTokenAndDeadline(Context, Timeout);
  wire::ChangeRequest Request;
  wire::ChangeReply Reply;
  toWire(Command, process_clock::now(), Request);
  const auto Status = wire::Operator::NewStub(Details->Channel)
                          ->Change(&Context, Request, &Reply);
  if (!Status.ok())
    return toError(Status, Details->Address);
  return fromWire(Reply);
}

auto operator_client::inspect(const report_request &Request, duration Timeout)
    -> result<report> {
  grpc::ClientContext Context;
  Details->setTokenAndDeadline(Context, Timeout);
  wire::InspectRequest Message;
  wire::InspectReply Reply;
  Message.set_subject(Request.Subject);
  Message.set_argument(Request.Argument);
  const auto Status = wire::Diagnostics::NewStub(Details->Channel)
                          ->Inspect(&Context, Message, &Reply);
  if (!Status.ok())
    return toError(Status, Details->Address);
  if (Reply.code() != 0)
    return failure(static_cast<result_code>(Reply.code()), Reply.detail());
  return fromWire(Reply);
}

auto operator_client::notes(const note_filter &Filter, duration Timeout)
    -> result<std::vector<stamped_note>> {
  grpc::ClientContext Context;
  Details->setTokenAndDeadline(Context, Timeout);
  wire::TimelineRequest Request;
  wire::TimelineReply Reply;
  Request.set_request(Filter.Request);
  Request.set_target(Filter.Target.Text);
  Request.set_change(Filter.Change);
  const auto Status = wire::Diagnostics::NewStub(Details->Channel)
                          ->Timeline(&Context, Request, &Reply);
  if (!Status.ok())
    return toError(Status, Details->Address);
  std::vector<stamped_note> Notes;
  for (const auto &Note : Reply.notes())
    Notes.push_back(fromWire(Note));
  return Notes;
}

} // namespace limpetbridge
