/// \file
/// Not a case: the pages name no such caller. One request names an adapter in
/// bytes that are not UTF-8; the gateway ends.
#include "../stand_ins/worker.h"

namespace {

using namespace review;

const char *Configuration = R"({"version":3,"routes":[
 {"name":"draft","host":"shea.example","prefix":"/draft/","kind":"streaming",
  "timeout_ms":4000,"target_latency_ms":600,"priority":1,"service":"models",
  "attempts":1,"sticky":true,"resumable":false,"gap_aim_ms":300}],
 "services":[{"name":"models","health_path":"/health","connection_limit":360,
  "inference_engine":{"slots":64,"kv_cache_tokens":270589,
  "weights_size_mb":230000.0,"adapter_slot_count":8,"loads_per_s":2.1,
  "models":[{"name":"m0","weights_size_mb":65100.0,"load_time_s":2.6,
  "adapters":9,"adapter_size_mb":66.0}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

auto run() -> int {
  record_file Record("review/observed/odd_adapter.txt");
  const temporary_folder Folder;
  store Store;
  Store.put("op", "config", Configuration);
  worker Worker(
      Store, "i-w1", "models", {"m0"}, 64,
      [](worker &Self, channel &Channel, const http_message &Request) {
        return streamEvents(Self, Channel, Request, 100, 50, 3);
      });
  const gateway_ports Ports;
  process Controller("controller-1",
                     controllerSettings(Store, "controller-1",
                                        Worker.Server.address(), "models"),
                     Folder);
  process Gateway("gateway-1", gatewaySettings(Store, "gateway-1", Ports, ""),
                  Folder);
  if (!awaitReady(Ports.Ready))
    return CouldNotRun;
  sleepMs(2500); // The gateway knows the controller by then.
  const auto Channel = channel::open(Ports.Callers);
  const auto Result = exchangeOn(
      *Channel,
      requestHead("POST", "/draft/note", "odd-1", 4000, 4,
                  {{"X-Limpetbridge-Model", wantsTrouble() ? "m0/\xff" : "m0"},
                   {"X-Limpetbridge-Token-Usage", "828,54"},
                   {"X-Limpetbridge-Prompt-Prefix", "a1:198,b1:630"}}),
      "text", 5000);
  sleepMs(300);
  const bool Ended = Gateway.hasEnded();
  Record.say("answer " + std::to_string(Result.Status) + "; the gateway " +
             (Ended ? "has ended by itself, status " +
                          std::to_string(WEXITSTATUS(Gateway.Status))
                    : "runs on"));
  std::ifstream Log(Gateway.Log);
  for (std::string Line; std::getline(Log, Line);)
    if (Line.find("\"failed\"") != std::string::npos)
      Record.write(Line);
  return Ended ? RuleBroken : RuleHeld;
}

} // namespace

auto main() -> int {
  try {
    return run();
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n';
    return CouldNotRun;
  }
}
