#include "oracle.h"

#include "engine_stand_in.h"

namespace limpetbridge {

auto oracle::broken(std::string What) -> void {
  Violations.push_back(std::move(What));
}

auto oracle::asked(const request_arrived &Event) -> void {
  Requests[Event.Request].Event = Event;
}

auto oracle::delivered(const answer_frame &Frame) -> void {
  auto &Request = Requests[Frame.Request];
  const auto &Event = Request.Event;
  if (Request.Ended)
    broken("whole answer: a frame after the end of " + toString(Frame.Request));
  if (Frame.Frame.Offset != Request.Delivered)
    broken("whole answer: a gap or repeat in " + toString(Frame.Request));
  for (const auto &Piece : Frame.Frame.Pieces) {
    const auto Expected =
        expectedPiece(Event.Model, *Event.Body, Request.Delivered++);
    if (Piece != Expected)
      broken("whole answer: " + toString(Frame.Request) +
             " got a piece of another answer");
  }
}

auto oracle::ended(const answer_end &End) -> void {
  auto &Request = Requests[End.Request];
  const auto Id = toString(End.Request);
  if (std::exchange(Request.Ended, true))
    broken("whole answer: two ends of " + Id);
  Request.End = End;
  const bool Generation = Request.Event.Kind == work_kind::Generate;
  if (End.Outcome == run_outcome::Done && Generation &&
      Request.Delivered != Request.Event.MaxTokens)
    broken("whole answer: " + Id + " is done with " +
           std::to_string(Request.Delivered) + " pieces");
  if (End.Outcome == run_outcome::NotRun && Request.Runs > 0)
    broken("not run: " + Id + " was told not run and ran");
  if (End.Outcome == run_outcome::Done && !Generation &&
      Request.Event.Key.empty() && Request.Runs == 0)
    broken("whole answer: " + Id + " is done and never ran");
}

auto oracle::entryDied(incarnation Entry) -> void {
  for (auto &[Id, Request] : Requests)
    if (Id.Entry == Entry && !Request.Ended) {
      Request.Ended = true;
      Request.End.Outcome = run_outcome::Unknown;
    }
}

auto oracle::ran(const attempt_id &Attempt, const work &Work) -> void {
  auto &Request = Requests[Attempt.Request];
  ++Request.Runs;
  const auto Id = toString(Attempt.Request);
  if (Request.Ended && Request.End.Outcome == run_outcome::NotRun)
    broken("not run: " + Id + " ran after it was told not run");
  if (!Work.runsAtMostOnce())
    return;
  if (Request.Runs > 1)
    broken("at most once: " + Id + " ran twice");
  if (!Work.Key.empty() && ++RunsByKey[Work.Key.Text] > 1)
    broken("at most once: key " + Work.Key.Text + " ran twice");
}

auto oracle::overcommitted(const target_name &Target) -> void {
  broken("memory: " + Target.Text + " is committed beyond its size");
}

auto oracle::ranAfterLeaving(const target_name &Target) -> void {
  broken("leaving: " + Target.Text + " got new work while it drained");
}

auto oracle::offeredToLeaving(const target_name &Target) -> void {
  broken("leaving: an entry offered work to " + Target.Text +
         " though it knew that it leaves");
}

auto oracle::accepted(const change_id &Id, revision Revision) -> void {
  const auto [Found, New] = Accepted.try_emplace(Id, Revision);
  if (!New && Found->second != Revision)
    broken("configuration: change " + Id.Text + " was accepted twice");
  if (Refused.contains(Id))
    broken("configuration: change " + Id.Text + " was refused and accepted");
}

auto oracle::refused(const change_id &Id) -> void { Refused.insert(Id); }

auto oracle::inForce(const instance_name &Node, incarnation Life,
                     const catalogue &Catalogue) -> void {
  const auto Revision = Catalogue.currentRevision();
  auto &Last = LastInForce[Life];
  if (Revision < Last)
    broken("configuration: " + Node.Text + " went back to revision " +
           std::to_string(Revision.Value));
  if (Revision == Last)
    return;
  Last = Revision;
  const auto Text = encodeChange(Catalogue.snapshot());
  const auto [Found, New] = Content.try_emplace(Revision, Text);
  if (!New && Found->second != Text)
    broken("configuration: revision " + std::to_string(Revision.Value) +
           " differs between nodes");
}

auto oracle::stopped(const instance_name &Node, std::size_t OpenRequests)
    -> void {
  if (OpenRequests > 0)
    broken("shutdown: " + Node.Text + " cut off " +
           std::to_string(OpenRequests) + " requests");
}

auto oracle::settled(const catalogue &Catalogue,
                     const std::set<change_id> &Stored) -> void {
  for (const auto &[Id, Revision] : Accepted) {
    if (Catalogue.currentRevision() < Revision)
      broken("configuration: accepted change " + Id.Text +
             " is not in force in the end");
    if (!Stored.contains(Id))
      broken("configuration: accepted change " + Id.Text + " is not stored");
  }
  for (const auto &Id : Refused)
    if (Stored.contains(Id))
      broken("configuration: refused change " + Id.Text + " took effect");
}

auto oracle::mustBeDone(const request_id &Id) -> void {
  const auto &Request = Requests[Id];
  if (Request.Ended && Request.End.Outcome == run_outcome::Done)
    return;
  broken("reachable: " + Request.Event.Model + Request.Event.Service.Text +
         " was not answered when all had healed: " +
         (Request.Ended ? std::string(describe(Request.End.Code).Name) + " " +
                              Request.End.Detail
                        : "no end"));
}

auto oracle::find(const request_id &Id) const -> const asked_request * {
  const auto Found = Requests.find(Id);
  return Found == Requests.end() ? nullptr : &Found->second;
}

} // namespace limpetbridge
