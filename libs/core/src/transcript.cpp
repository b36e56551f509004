#include "core/transcript.h"

#include "transcript_json.h"

#include <array>
#include <sstream>

namespace limpetbridge {

namespace {

using nlohmann::json;

/// Names of events, in the order of the variant.
constexpr std::array EventNames = {"tick",
                                   "drain_requested",
                                   "instances_listed",
                                   "table_replied",
                                   "object_replied",
                                   "changes_received",
                                   "revision_seen",
                                   "changes_acknowledged",
                                   "command_arrived",
                                   "request_arrived",
                                   "caller_left",
                                   "attempt_progressed",
                                   "attempt_ended",
                                   "work_offered",
                                   "work_cancelled",
                                   "target_state_received",
                                   "target_progressed",
                                   "target_ended",
                                   "order_replied",
                                   "engine_reported"};
static_assert(EventNames.size() == std::variant_size_v<event>);

/// Names of effects, in the order of the variant.
constexpr std::array EffectNames = {
    "answer_frame",   "answer_end",   "start_attempt", "cancel_attempt",
    "table_transact", "table_read",   "table_range",   "object_get",
    "object_put",     "send_changes", "fetch_changes", "send_target_state",
    "answer_command", "send_frame",   "send_end",      "run_work",
    "stop_work",      "send_order",   "read_engine",   "write_note",
    "observe_metric", "count_metric", "stop_process"};
static_assert(EffectNames.size() == std::variant_size_v<effect>);

auto dump(const json &Body) -> std::string {
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// The event of that name, read from its fields.
template <std::size_t index = 0>
auto decodeEvent(const std::string &Name, const json &Fields) -> event {
  if constexpr (index == std::variant_size_v<event>) {
    throw std::invalid_argument("no event " + Name);
  } else {
    if (Name == EventNames[index])
      return Fields.get<std::variant_alternative_t<index, event>>();
    return decodeEvent<index + 1>(Name, Fields);
  }
}

auto difference(std::size_t Line, const std::string &Expected,
                const std::string &Found) -> error {
  return failure(result_code::MalformedRequest, "line " + std::to_string(Line) +
                                                    ": expected " + Expected +
                                                    ", found " + Found);
}

/// A session under way.
class replayer {
public:
  auto take(const std::string &Line) -> result<void> {
    ++Number;
    const auto Body = json::parse(Line);
    if (Body.contains("start"))
      start(Body);
    else if (Body.contains("event"))
      return takeEvent(Body);
    else
      return takeEffect(Line);
    return boost::outcome_v2::success();
  }

  auto finish() -> result<replay_result> {
    if (!Pending.empty())
      return difference(Number + 1, "the end", Pending.front());
    return Done;
  }

private:
  auto start(const json &Body) -> void {
    State = makeNode(Body["start"].get<node_options>(),
                     Body["seed"].get<std::uint64_t>());
  }

  auto takeEvent(const json &Body) -> result<void> {
    if (!Pending.empty())
      return difference(Number, "an event", Pending.front());
    const auto Event =
        decodeEvent(Body["event"].get<std::string>(), Body["fields"]);
    for (const auto &Effect :
         reduce(State, Event, Body["at"].get<time_point>()))
      Pending.push_back(encodeEffect(Effect));
    ++Done.Events;
    return boost::outcome_v2::success();
  }

  auto takeEffect(const std::string &Line) -> result<void> {
    const auto Found = Pending.empty() ? "no effect" : Pending.front();
    if (Found != Line)
      return difference(Number, Line, Found);
    Pending.pop_front();
    ++Done.Effects;
    return boost::outcome_v2::success();
  }

  node_state State;
  std::deque<std::string> Pending;
  std::size_t Number = 0;
  replay_result Done;
};

} // namespace

auto encodeStart(const node_options &Options, std::uint64_t Seed)
    -> std::string {
  return dump({{"start", Options}, {"seed", Seed}});
}

auto encodeEvent(const event &Event, time_point Now) -> std::string {
  json Fields;
  std::visit([&Fields](const auto &Each) { Fields = Each; }, Event);
  return dump({{"at", Now},
               {"event", EventNames.at(Event.index())},
               {"fields", std::move(Fields)}});
}

auto encodeEffect(const effect &Effect) -> std::string {
  json Fields;
  std::visit([&Fields](const auto &Each) { Fields = Each; }, Effect);
  return dump({{"effect", EffectNames.at(Effect.index())},
               {"fields", std::move(Fields)}});
}

auto replaySession(std::string_view Text) -> result<replay_result> {
  replayer Replayer;
  std::istringstream Lines{std::string(Text)};
  std::string Line;
  try {
    while (std::getline(Lines, Line)) {
      if (Line.empty() || Line.starts_with('#'))
        continue;
      auto Taken = Replayer.take(Line);
      if (!Taken)
        return Taken.error();
    }
  } catch (const std::exception &Error) {
    return failure(result_code::MalformedRequest,
                   std::string("unreadable session: ") + Error.what());
  }
  return Replayer.finish();
}

} // namespace limpetbridge
