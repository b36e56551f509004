/// \file
/// Encoded size of each control message, without the framing of gRPC and
/// HTTP/2, and of the snapshot and changes that the platform stores.

#include "catalogue/catalogue.h"
#include "convert.h"

#include <chrono>
#include <iostream>

namespace {

using namespace limpetbridge;

auto sampleOffer() -> work_offered {
  work_offered Offer;
  Offer.Attempt = {{{1'764'800'000'000'000}, 123'456}, 1};
  Offer.Work.Caller = caller_name("glasgow-buyers");
  Offer.Work.Unit = model_name("notes-shea-2026-11");
  Offer.Work.Memory = {40'000'000'000};
  Offer.Work.LoadMs = 2000;
  Offer.Work.PromptTokens = 3500;
  Offer.Work.MaxTokens = 230;
  Offer.Work.PrefixHash = 0x1234567890abcdef;
  Offer.Work.Deadline = process_clock::now() + seconds(60);
  Offer.Work.FirstTokenBy = process_clock::now() + seconds(1);
  Offer.Agent = {1'764'800'000'000'001};
  Offer.Revision = {2'000'000};
  return Offer;
}

auto sampleChange(std::uint64_t Revision) -> change {
  return {change_id("c-9c662dc3726a766d"),
          {Revision},
          {{operation_verb::Set,
            declaration_kind::Model,
            "notes-shea-2026-11",
            {{"serve", "notes-shea-2026-12"}}}}};
}

/// A catalogue of the intended size: 340 models with three adapters each.
auto sampleCatalogue() -> catalogue {
  change Change{change_id("c"), {1}, {}};
  for (int Model = 0; Model < 340; ++Model) {
    const auto Name = "model-" + std::to_string(Model);
    Change.Operations.push_back({operation_verb::Declare,
                                 declaration_kind::Model,
                                 Name,
                                 {{"memory_mb", "40000"}}});
    for (int Adapter = 0; Adapter < 3; ++Adapter)
      Change.Operations.push_back({operation_verb::Declare,
                                   declaration_kind::Adapter,
                                   Name + "-adapter-" + std::to_string(Adapter),
                                   {{"model", Name}, {"memory_mb", "200"}}});
  }
  return catalogue().apply(Change).value();
}

auto printSize(const char *Name, std::size_t Bytes) -> void {
  std::cout << Name << ' ' << Bytes << " bytes\n";
}

auto microsecondsSince(std::chrono::steady_clock::time_point Start) -> long {
  const auto Elapsed = std::chrono::steady_clock::now() - Start;
  return std::chrono::duration_cast<std::chrono::microseconds>(Elapsed).count();
}

/// Compares catching up from a snapshot with catching up from single changes.
auto printCatchUp(const catalogue &Catalogue) -> void {
  const auto Snapshot = encodeChange(Catalogue.snapshot());
  printSize("catch-up: snapshot of 340 models and 1,020 adapters",
            Snapshot.size());
  auto Start = std::chrono::steady_clock::now();
  const auto Restored = catalogue().apply(decodeChange(Snapshot).value());
  std::cout << "catch-up: reading the snapshot " << microsecondsSince(Start)
            << " us, revision " << Restored.value().currentRevision().Value
            << '\n';
  const auto ChangeBytes = encodeChange(sampleChange(2)).size();
  printSize("catch-up: one change of a tail", ChangeBytes);
  printSize("catch-up: tail of 256 changes", 256 * ChangeBytes);
  std::cout << "catch-up: the tail is smaller up to "
            << Snapshot.size() / ChangeBytes << " missing changes\n";
}

} // namespace

auto main() -> int {
  const auto Now = process_clock::now();
  wire::WorkOffer Offer;
  toWire(sampleOffer(), Now, Offer);
  Offer.set_stamp(1);
  printSize("offer without body (request path)", Offer.ByteSizeLong());
  attempt_ended Ended;
  Ended.Outcome = run_outcome::Done;
  Ended.Total = 230;
  Ended.Hint = {milliseconds(250), 12, {1'764'800'000'000'001}, {2'000'000}};
  wire::WorkReply Reply;
  toWire(Ended, *Reply.mutable_end());
  printSize("end with hint (request path)", Reply.ByteSizeLong());
  printSize("hint alone", Reply.end().hint().ByteSizeLong());
  wire::WorkReply Frame;
  toWire(frame{100, {" seven"}}, *Frame.mutable_frame());
  printSize("frame of one token (request path)", Frame.ByteSizeLong());
  wire::Changes Changes;
  toWire({sampleChange(2'000'000)}, Changes);
  Changes.set_from("entry-17");
  Changes.set_stamp(1);
  printSize("pushed change", Changes.ByteSizeLong());
  wire::RevisionReply Revision;
  Revision.set_revision(2'000'000);
  Revision.set_stamp(1);
  printSize("acknowledged revision", Revision.ByteSizeLong());
  wire::TargetState State;
  State.set_revision(2'000'000);
  State.set_stamp(1);
  printSize("target state", State.ByteSizeLong());
  printCatchUp(sampleCatalogue());
  return 0;
}
