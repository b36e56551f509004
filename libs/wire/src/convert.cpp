#include "convert.h"

#include <algorithm>

namespace limpetbridge {

namespace {

/// Longest time to a deadline that is sent, one year; work without a deadline
/// is sent with this value.
constexpr std::int64_t MaxRemainingUs = 365LL * 24 * 3600 * 1'000'000;

auto remainingUs(time_point Deadline, time_point Now) -> std::int64_t {
  if (Deadline == NoDeadline)
    return MaxRemainingUs;
  return std::min(remaining(Deadline, Now).count(), MaxRemainingUs);
}

auto deadlineFrom(std::int64_t RemainingUs, time_point Now) -> time_point {
  return Now +
         duration(std::clamp<std::int64_t>(RemainingUs, 0, MaxRemainingUs));
}

auto toWire(const work &From, time_point Now, wire::Work &To) -> void {
  To.set_kind(static_cast<std::uint32_t>(From.Kind));
  To.set_caller(From.Caller.Text);
  To.set_rank(From.Rank);
  To.set_short_work(From.Short);
  To.set_remaining_us(remainingUs(From.Deadline, Now));
  To.set_first_token_us(remainingUs(From.FirstTokenBy, Now));
  if (From.Body)
    To.set_body(*From.Body);
  To.set_unit(From.Unit.Text);
  To.set_adapter(From.Adapter.Text);
  To.set_memory(From.Memory.Value);
  To.set_adapter_memory(From.AdapterMemory.Value);
  To.set_load_ms(From.LoadMs);
  To.set_prompt_tokens(From.PromptTokens);
  To.set_max_tokens(From.MaxTokens);
  To.set_prefix_hash(From.PrefixHash);
  To.set_service(From.Service.Text);
  To.set_operation(From.Operation);
  To.set_idempotent(From.Idempotent);
  To.set_key(From.Key.Text);
}

auto fromWire(const wire::Work &From, time_point Now) -> work {
  work To;
  To.Kind = From.kind() == 0 ? work_kind::Generate : work_kind::Call;
  To.Caller = caller_name(From.caller());
  To.Rank = static_cast<std::uint8_t>(std::min(From.rank(), 9U));
  To.Short = From.short_work();
  To.Deadline = deadlineFrom(From.remaining_us(), Now);
  To.FirstTokenBy = deadlineFrom(From.first_token_us(), Now);
  To.Body = shareText(From.body());
  To.Unit = model_name(From.unit());
  To.Adapter = adapter_name(From.adapter());
  To.Memory = {From.memory()};
  To.AdapterMemory = {From.adapter_memory()};
  To.LoadMs = From.load_ms();
  To.PromptTokens = From.prompt_tokens();
  To.MaxTokens = From.max_tokens();
  To.PrefixHash = From.prefix_hash();
  To.Service = service_name(From.service());
  To.Operation = From.operation();
  To.Idempotent = From.idempotent();
  To.Key = idempotency_key(From.key());
  return To;
}

} // namespace

auto toWire(const attempt_id &From, wire::AttemptId &To) -> void {
  To.set_entry(From.Request.Entry.Value);
  To.set_counter(From.Request.Counter);
  To.set_attempt(From.Attempt);
}

auto fromWire(const wire::AttemptId &From) -> attempt_id {
  return {{{From.entry()}, From.counter()}, From.attempt()};
}

auto toWire(const work_offered &From, time_point Now, wire::WorkOffer &To)
    -> void {
  toWire(From.Attempt, *To.mutable_attempt());
  toWire(From.Work, Now, *To.mutable_work());
  To.set_resume_offset(From.ResumeOffset);
  To.set_resume_text(From.ResumeText);
  To.set_agent(From.Agent.Value);
  To.set_revision(From.Revision.Value);
  To.set_home_rank(From.HomeRank);
}

auto fromWire(const wire::WorkOffer &From, time_point Now) -> work_offered {
  work_offered To;
  To.Attempt = fromWire(From.attempt());
  To.Work = fromWire(From.work(), Now);
  To.ResumeOffset = From.resume_offset();
  To.ResumeText = From.resume_text();
  To.Agent = {From.agent()};
  To.Revision = {From.revision()};
  To.HomeRank = static_cast<std::uint8_t>(std::min(From.home_rank(), 255U));
  return To;
}

auto toWire(const frame &From, wire::Frame &To) -> void {
  To.set_offset(From.Offset);
  for (const auto &Piece : From.Pieces)
    To.add_pieces(Piece);
}

auto fromWire(const wire::Frame &From) -> frame {
  return {From.offset(), {From.pieces().begin(), From.pieces().end()}};
}

auto toWire(const attempt_ended &From, wire::End &To) -> void {
  To.set_outcome(static_cast<std::uint32_t>(From.Outcome));
  To.set_code(static_cast<std::uint32_t>(From.Code));
  To.set_detail(From.Detail);
  To.set_total(From.Total);
  if (From.Body)
    To.set_body(*From.Body);
  To.set_status(From.Status);
  auto &Hint = *To.mutable_hint();
  Hint.set_queue_delay_ms(
      static_cast<std::uint32_t>(toMilliseconds(From.Hint.QueueDelay)));
  Hint.set_free_slots(From.Hint.FreeSlots);
  Hint.set_agent(From.Hint.Agent.Value);
  Hint.set_revision(From.Hint.Revision.Value);
}

auto fromWire(const wire::End &From, const attempt_id &Attempt)
    -> attempt_ended {
  attempt_ended To;
  To.Attempt = Attempt;
  To.Outcome = From.outcome() == 0   ? run_outcome::Done
               : From.outcome() == 1 ? run_outcome::NotRun
                                     : run_outcome::Unknown;
  To.Code = static_cast<result_code>(From.code());
  To.Detail = From.detail();
  To.Total = From.total();
  To.Body = shareText(From.body());
  To.Status = From.status();
  To.Hint = {milliseconds(From.hint().queue_delay_ms()),
             From.hint().free_slots(),
             {From.hint().agent()},
             {From.hint().revision()}};
  return To;
}

auto toWire(const std::vector<change> &From, wire::Changes &To) -> void {
  for (const auto &Change : From)
    To.add_changes(encodeChange(Change));
}

auto fromWire(const wire::Changes &From) -> std::vector<change> {
  std::vector<change> To;
  for (const auto &Text : From.changes())
    if (auto Change = decodeChange(Text))
      To.push_back(std::move(Change.value()));
  return To;
}

auto toWire(const command_arrived &From, time_point Now,
            wire::ChangeRequest &To) -> void {
  To.set_id(From.Id.Text);
  for (const auto &Operation : From.Operations) {
    auto &Message = *To.add_operations();
    Message.set_verb(static_cast<std::uint32_t>(Operation.Verb));
    Message.set_kind(static_cast<std::uint32_t>(Operation.Kind));
    Message.set_name(Operation.Name);
    for (const auto &Field : Operation.Fields) {
      Message.add_field_names(Field.Name);
      Message.add_field_values(Field.Value);
    }
  }
  To.set_has_revision(From.IfRevision.has_value());
  To.set_if_revision(From.IfRevision.value_or(revision{}).Value);
  To.set_remaining_us(remainingUs(From.Deadline, Now));
}

auto fromWire(const wire::ChangeRequest &From, time_point Now)
    -> command_arrived {
  command_arrived To;
  To.Id = change_id(From.id());
  for (const auto &Message : From.operations()) {
    operation Operation;
    Operation.Verb =
        static_cast<operation_verb>(std::min<std::uint32_t>(Message.verb(), 2));
    Operation.Kind = static_cast<declaration_kind>(
        std::min<std::uint32_t>(Message.kind(), DeclarationKindCount - 1));
    Operation.Name = Message.name();
    const int Count =
        std::min(Message.field_names_size(), Message.field_values_size());
    for (int Index = 0; Index < Count; ++Index)
      Operation.Fields.push_back(
          {Message.field_names(Index), Message.field_values(Index)});
    To.Operations.push_back(std::move(Operation));
  }
  if (From.has_revision())
    To.IfRevision = revision{From.if_revision()};
  To.Deadline = deadlineFrom(From.remaining_us(), Now);
  return To;
}

auto toWire(const answer_command &From, wire::ChangeReply &To) -> void {
  To.set_code(static_cast<std::uint32_t>(From.Code));
  To.set_detail(From.Detail);
  To.set_revision(From.Revision.Value);
  To.set_data_centres_in_force(From.DataCentresInForce);
  To.set_data_centres(From.DataCentres);
}

auto fromWire(const wire::ChangeReply &From) -> answer_command {
  return {0,
          static_cast<result_code>(From.code()),
          From.detail(),
          {From.revision()},
          From.data_centres_in_force(),
          From.data_centres()};
}

auto toWire(const report &From, wire::InspectReply &To) -> void {
  for (const auto &Column : From.Columns)
    To.add_columns(Column);
  for (const auto &Row : From.Rows) {
    auto &Message = *To.add_rows();
    for (const auto &Cell : Row)
      Message.add_cells(Cell);
  }
}

auto fromWire(const wire::InspectReply &From) -> report {
  report To;
  To.Columns.assign(From.columns().begin(), From.columns().end());
  for (const auto &Row : From.rows())
    To.Rows.emplace_back(Row.cells().begin(), Row.cells().end());
  return To;
}

auto toWire(const stamped_note &From, wire::Note &To) -> void {
  To.set_stamp(From.Stamp.Value);
  To.set_instance(From.Instance.Text);
  To.set_kind(static_cast<std::uint32_t>(From.Note.Kind));
  To.set_request(From.Note.Request);
  To.set_target(From.Note.Target.Text);
  To.set_change(From.Note.Change);
  To.set_detail(From.Note.Detail);
}

auto fromWire(const wire::Note &From) -> stamped_note {
  const auto Kind = std::min<std::uint32_t>(
      From.kind(), static_cast<std::uint32_t>(note_kind::StreamAbandoned));
  return {{From.stamp()},
          instance_name(From.instance()),
          {static_cast<note_kind>(Kind), From.request(),
           target_name(From.target()), From.change(), From.detail()}};
}

} // namespace limpetbridge
