/// \file
/// Runs a gateway's reducer in virtual time, with a small deployment.
#ifndef LIMPETBRIDGE_SERVING_TESTS_GATEWAY_FIXTURE_H
#define LIMPETBRIDGE_SERVING_TESTS_GATEWAY_FIXTURE_H

#include "serving/gateway.h"

#include <string>
#include <vector>

namespace limpetbridge::serving {

/// Configuration with a service of engines, a plain service, and two routes to
/// each.
inline auto makeConfiguration(std::uint64_t Version) -> configuration {
  configuration Configuration;
  Configuration.Version = Version;
  const auto Add = [&](const char *Prefix, request_kind Kind,
                       const char *Service, std::uint32_t Attempts,
                       bool Resumable) {
    route Route;
    Route.Name = Prefix;
    Route.Host = "h";
    Route.Prefix = Prefix;
    Route.Kind = Kind;
    Route.Resumable = Resumable;
    Route.MaxAttempts = Attempts;
    Route.TimeoutMs = 4000;
    Route.TargetLatencyMs = 600;
    Route.FirstOutputTimeoutMs = Kind == request_kind::Stream ? 2400 : 0;
    Route.Shares = {{service_name(Service), 1}};
    Configuration.Routes.push_back(Route);
  };
  Add("/chat/", request_kind::Stream, "models", 1, false);
  Add("/plan/", request_kind::Stream, "models", 2, true);
  Add("/pay/", request_kind::NonIdempotent, "ledger", 2, false);
  Add("/read/", request_kind::Idempotent, "ledger", 2, false);
  service_spec Models;
  Models.Name = service_name("models");
  Models.HasEngine = true;
  Models.Engine.WeightsMb = 230;
  Models.Engine.AdapterSlots = 8;
  Models.Engine.CacheTokens = 200'000;
  for (const auto *Name : {"a", "b", "c", "d", "e"}) {
    model_spec Model;
    Model.Name = model_name(Name);
    Model.WeightsMb = 70;
    Model.LoadMs = 1000;
    Model.DiskLoadMs = 500;
    Model.MemoryLoadMs = 300;
    Models.Engine.Models[Model.Name] = Model;
  }
  Configuration.Services[Models.Name] = Models;
  service_spec Ledger;
  Ledger.Name = service_name("ledger");
  Configuration.Services[Ledger.Name] = Ledger;
  return Configuration;
}

/// The same with streams that have a bound of their gaps. The requests of
/// /plan/ may wait for long.
inline auto protectedConfiguration(std::uint64_t Version = 2) -> configuration {
  auto Configuration = makeConfiguration(Version);
  for (auto &Route : Configuration.Routes) {
    if (Route.Kind != request_kind::Stream)
      continue;
    Route.GapBoundMs = 500;
    if (Route.Name == "/plan/") {
      Route.TargetLatencyMs = 8000;
      Route.TimeoutMs = Route.FirstOutputTimeoutMs = 12'000;
      Route.Priority = 2;
    }
  }
  Configuration.Services[service_name("models")].Engine.TokensPerEvent = 5;
  return Configuration;
}

/// The same with workspaces that have the given keys, and a public route.
/// Workspaces with a name that begins with a digit have it as their priority.
inline auto makeConfiguration(
    std::uint64_t Version,
    const std::map<std::string, std::vector<std::string>> &Workspaces)
    -> configuration {
  auto Configuration = makeConfiguration(Version);
  auto Open = Configuration.Routes.back();
  Open.Name = Open.Prefix = "/open/";
  Open.Public = true;
  Configuration.Routes.push_back(Open);
  for (const auto &[Name, Keys] : Workspaces) {
    workspace_spec Spec;
    Spec.Name = workspace_name(Name);
    if (Name[0] >= '0' && Name[0] <= '9')
      Spec.Priority = static_cast<std::uint32_t>(Name[0] - '0');
    Configuration.Workspaces[Spec.Name] = Spec;
    for (const auto &Key : Keys)
      Configuration.Keys.push_back({workspace_key(Key), Spec.Name});
  }
  return Configuration;
}

/// A gateway that has a configuration, but no targets.
struct gateway_harness {
  gateway_harness() {
    gateway_options Options;
    Options.Self = instance_name("g1");
    Options.DataCentre = data_centre_name("north");
    Options.Retries.Extra = 100;
    // Most tests let time pass without confirming the configuration.
    Options.MaxConfigurationAge = std::chrono::hours(1);
    State = makeGatewayState(Options);
    dispatch(configuration_read{makeConfiguration(1)});
    dispatch(configuration_confirmed{Now});
  }

  /// Applies \p Event; Effects holds what it caused.
  auto dispatch(const gateway_event &Event) -> void {
    Effects = reduce(State, Event, Now);
  }

  /// Adds a target, which holds \p Models, and its controller.
  auto addTarget(const char *Name, const char *Service,
                 const std::vector<std::string> &Models) -> void {
    target Target;
    Target.Name = target_name(Name);
    Target.Incarnation = 1;
    Target.Service = service_name(Service);
    Target.Address = std::string(Name) + ":1";
    Target.DataCentre = data_centre_name("north");
    for (const auto &Model : Models)
      Target.Holdings.Models[model_name(Model)];
    dispatch(target_updated{Target});
    instance_record Controller;
    Controller.Name = instance_name(std::string("c-") + Name);
    Controller.Role = instance_role::Controller;
    Controller.Address = std::string("c-") + Name + ":1";
    Controller.TargetAddress = Target.Address;
    dispatch(instances_listed{{Controller}});
  }

  /// Raises the arrival of a request, with a prompt if \p Model is not null.
  auto receiveRequest(request_number Number, const char *Path,
                      const char *Model = nullptr, std::uint32_t Tokens = 1000)
      -> void {
    request_arrived Event;
    Event.Number = Number;
    Event.Call.Id = std::to_string(Number);
    Event.Call.Host = "h";
    Event.Call.Path = Path;
    Event.Call.Arrived = Now;
    Event.Call.Key = workspace_key(Key);
    if (Model != nullptr) {
      Event.Call.HasPrompt = true;
      Event.Call.Prompt.Model = model_name(Model);
      Event.Call.Prompt.InputTokens = Tokens;
      Event.Call.Prompt.Parts = {{Number, Tokens}};
    }
    dispatch(Event);
  }

  auto endAttempt(request_number Number, attempt_end End) -> void {
    attempt_ended Event;
    Event.Number = Number;
    Event.End = End;
    dispatch(Event);
  }

  /// Effects of one kind that the last event caused.
  template <typename effect>
  [[nodiscard]] auto effectsOf() const -> std::vector<effect> {
    std::vector<effect> Found;
    for (const auto &Candidate : Effects)
      if (const auto *Effect = std::get_if<effect>(&Candidate))
        Found.push_back(*Effect);
    return Found;
  }

  /// The effect of this kind if there is exactly one, else a default one.
  template <typename effect> [[nodiscard]] auto onlyEffect() const -> effect {
    const auto Found = effectsOf<effect>();
    return Found.size() == 1 ? Found.front() : effect();
  }

  /// A field of the first log entry \p Event that the last event caused; empty
  /// if there is none.
  [[nodiscard]] auto logField(const std::string &Event,
                              const std::string &Name) const -> std::string {
    for (const auto &Entry : effectsOf<write_note>())
      if (Entry.Event == Event)
        for (const auto &[Field, Value] : Entry.Fields)
          if (Field == Name)
            return Value;
    return "";
  }

  gateway_state State;
  gateway_effects Effects;
  std::string Key; ///< Of the requests; empty for none.
  time_point Now{seconds(1000)};
};

} // namespace limpetbridge::serving

#endif // LIMPETBRIDGE_SERVING_TESTS_GATEWAY_FIXTURE_H
