/// Log entries of attempts.
#include "details/gateway_parts.h"

namespace limpetbridge::serving {

auto logAttemptEnd(const gateway_step &Step, const request_state &Request,
                   const target_name &Target, const attempt_ended &Event)
    -> void {
  log_fields Fields = {
      {"request", Request.Call.Id},
      {"attempt", std::to_string(Request.AttemptNumber)},
      {"target", Target.Text},
      {"end", std::string(nameOf(Event.End))},
      {"status", std::to_string(Event.Status)},
      {"route", Request.Route.Name},
      {"first_ms", std::to_string(Request.FirstOutputMs)},
      {"longest_gap_ms", std::to_string(Event.LongestGapMs)},
      {"took_ms", std::to_string(toMilliseconds(Step.Now - Request.SentAt))},
      {"framing", std::string(nameOf(Event.Body.Framing))},
      {"bytes", std::to_string(Event.Body.Bytes)},
      {"events", std::to_string(Event.Body.Events)},
      {"inside_event", Event.Body.InsideEvent ? "true" : "false"},
      {"read_error", Event.Body.ReadError},
      {"kept", Event.Connection.Kept ? "true" : "false"},
      {"rested_ms",
       std::to_string(Event.Connection.Kept
                          ? toMilliseconds(Request.SentAt -
                                           Request.Connection.RestingSince)
                          : 0)},
      {"lost", Event.Connection.Lost ? "true" : "false"}};
  addWorkspace(Fields, Request);
  const bool Answered = Event.End == attempt_end::Answered;
  const auto &Prompt = Request.Call.Prompt;
  if (!Answered && Request.Call.HasPrompt) {
    Fields.emplace_back("model", Prompt.Model.Text);
    Fields.emplace_back("adapter", Prompt.Adapter);
    Fields.emplace_back("parts", describeParts(Prompt.Parts));
  }
  addLogEntry(Step, Answered ? log_level::Info : log_level::Warning,
              "attempt_ended", std::move(Fields));
}

} // namespace limpetbridge::serving
