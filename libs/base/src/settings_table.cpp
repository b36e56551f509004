#include "base/settings.h"

#include <array>

namespace limpetbridge {

namespace {

using s = node_settings;

constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t MaxNameLength = 64;
constexpr std::int64_t MaxPathLength = 4096;
constexpr std::int64_t HourMs = 3'600'000;

constexpr std::array Table = {
    setting_row{"instance", "role", &s::Role, "entry", "", 1, MaxNameLength,
                "entry|agent|gateway|controller", "What this process is."},
    setting_row{"instance", "name", &s::Name, "node", "", 1, MaxNameLength, "",
                "Unique name; an agent's name is its target's name."},
    setting_row{"instance", "data_centre", &s::DataCentre, "local", "", 1,
                MaxNameLength, "", "Data centre that this instance runs in."},
    setting_row{"instance", "address", &s::Address, "127.0.0.1", "", 1,
                MaxNameLength, "",
                "IP number that others reach this instance by."},

    setting_row{"caller", "port", &s::CallerPort, "0", "", 0, MaxPort, "",
                "HTTP port for callers; 0 picks a free one."},
    setting_row{"caller", "threads", &s::CallerThreads, "256", "", 1, 4096, "",
                "Connections served at once; more get 429."},
    setting_row{"caller", "body_limit_kb", &s::BodyLimitKb, "4096", "KB", 1,
                262144, "", "Largest request body."},
    setting_row{"caller", "read_timeout_ms", &s::ReadTimeoutMs, "5000", "ms",
                10, HourMs, "", "Longest wait for the bytes of a request."},
    setting_row{"caller", "default_deadline_ms", &s::DefaultDeadlineMs, "60000",
                "ms", 1, HourMs, "", "Deadline of requests that name none."},

    setting_row{"peer", "port", &s::PeerPort, "0", "", 0, MaxPort, "",
                "gRPC port for other instances; 0 picks a free one."},
    setting_row{"peer", "token", &s::PeerToken, "", "", 0, MaxNameLength, "",
                "Shared token between instances; empty asks for none."},
    setting_row{"peer", "seeds", &s::Seeds, "", "", 0, MaxPathLength, "",
                "Entries as ip:port,…, for a start without the platform."},
    setting_row{"operator", "port", &s::OperatorPort, "0", "", 0, MaxPort, "",
                "gRPC port for operators (entries); 0 picks a free one."},
    setting_row{"operator", "token", &s::OperatorToken, "", "", 0,
                MaxNameLength, "",
                "Token that operators send; empty asks for none."},

    setting_row{"platform", "host", &s::PlatformHost, "127.0.0.1", "", 1,
                MaxNameLength, "", "IP number of the platform's service."},
    setting_row{"platform", "port", &s::PlatformPort, "7000", "", 1, MaxPort,
                "", "Port of the platform's service."},
    setting_row{"platform", "poll_ms", &s::PlatformPollMs, "1000", "ms", 50,
                60000, "", "Time between reads of head revision and list."},
    setting_row{"platform", "timeout_ms", &s::PlatformTimeoutMs, "1000", "ms",
                10, 60000, "", "Longest wait for an answer of the platform."},

    setting_row{"target", "kind", &s::TargetKind, "engine", "", 1,
                MaxNameLength, "engine|service",
                "Model engine or plain service (agents)."},
    setting_row{"target", "service", &s::TargetService, "", "", 0,
                MaxNameLength, "",
                "Name of the service, when the kind is service."},
    setting_row{"target", "host", &s::TargetHost, "127.0.0.1", "", 1,
                MaxNameLength, "",
                "IP number of the target beside this agent."},
    setting_row{"target", "port", &s::TargetPort, "7100", "", 1, MaxPort, "",
                "HTTP port of the target."},
    setting_row{"target", "memory_mb", &s::TargetMemoryMb, "80000", "MB", 1,
                100'000'000, "", "Memory of the accelerator for models."},
    setting_row{"target", "checks_fence", &s::TargetChecksFence, "false", "", 0,
                0, "", "True when the engine refuses old fencing tokens."},
    setting_row{"target", "slots", &s::TargetSlots, "16", "", 1, 4096, "",
                "Work that runs in the target at once."},
    setting_row{"target", "short_slots", &s::TargetShortSlots, "4", "", 0, 4096,
                "", "Slots that only short work may take."},
    setting_row{"target", "queue", &s::TargetQueue, "64", "", 0, 100'000, "",
                "Work that may wait at the agent."},
    setting_row{"target", "report_ms", &s::ReportMs, "1000", "ms", 20, 60000,
                "", "Time between readings of the engine's state."},
    setting_row{"target", "order_timeout_ms", &s::OrderTimeoutMs, "30000", "ms",
                10, HourMs, "", "Longest wait for the reply to an order."},

    setting_row{"limits", "progress_ms", &s::ProgressMs, "5000", "ms", 20,
                HourMs, "", "Silence after which a stream is abandoned."},
    setting_row{"limits", "max_attempts", &s::MaxAttempts, "4", "", 1, 16, "",
                "Attempts at one request."},
    setting_row{"limits", "retry_budget_percent", &s::RetryBudgetPercent, "20",
                "%", 0, 100, "", "Retries as a share of recent requests."},
    setting_row{"limits", "hedge_budget_percent", &s::HedgeBudgetPercent, "5",
                "%", 0, 100, "", "Hedges as a share of recent requests."},

    setting_row{"drain", "deadline_ms", &s::DrainDeadlineMs, "60000", "ms", 1,
                HourMs, "", "Longest wait for work in progress at the end."},
    setting_row{"drain", "grace_ms", &s::StopGraceMs, "8000", "ms", 100, HourMs,
                "", "Time from SIGTERM to SIGKILL."},
    setting_row{"drain", "balancer_wait_ms", &s::BalancerWaitMs, "2000", "ms",
                0, 60000, "", "Time in which the balancer sees readyz fail."},

    setting_row{"gateway", "callers", &s::GatewayCallers, "", "", 0,
                MaxNameLength, "", "ip:port for callers (gateways)."},
    setting_row{"gateway", "readiness", &s::GatewayReadiness, "", "", 0,
                MaxNameLength, "",
                "ip:port that tells whether this one is ready."},
    setting_row{"gateway", "peers", &s::GatewayPeers, "", "", 0, MaxNameLength,
                "", "ip:port where starting gateways ask what this one knows."},
    setting_row{"gateway", "seeds", &s::GatewaySeeds, "", "", 0, MaxPathLength,
                "", "The same of other gateways, separated by commas."},
    setting_row{"gateway", "memory_mb", &s::MemoryMb, "256", "MB", 16,
                1'000'000, "",
                "Memory of the process; a quarter may hold answers."},
    setting_row{"gateway", "cpu_share", &s::CpuShare, "0", "cores", 0, 1024, "",
                "Processor share of the process, by which it refuses new "
                "requests when it forwards late; 0: it refuses none."},
    setting_row{"gateway", "forward_ms", &s::ForwardMs, "200", "ms", 20, HourMs,
                "", "Longest time from the event of a target to the caller."},
    setting_row{"link", "address", &s::LinkAddress, "", "", 0, MaxNameLength,
                "", "ip:port for messages of other gateways and controllers."},
    setting_row{"metrics", "address", &s::MetricsAddress, "", "", 0,
                MaxNameLength, "",
                "ip:port of the metrics; empty serves none."},
    setting_row{"store", "address", &s::StoreAddress, "", "", 0, MaxNameLength,
                "", "ip:port of the store (gateways and controllers)."},
    setting_row{"store", "wait_ms", &s::StoreWaitMs, "1000", "ms", 100, 30000,
                "",
                "Longest wait of a call that reports changes; a connection "
                "that fell silent is noticed after it."},
    setting_row{"store", "timeout_ms", &s::StoreTimeoutMs, "1500", "ms", 10,
                60000, "", "Longest wait for any other answer of the store."},
    setting_row{"store", "lost_grace_ms", &s::LostGraceMs, "1500", "ms", 0,
                60000, "", "Time in which a lost row may come back."},
    setting_row{"store", "leaving_bound_ms", &s::LeavingBoundMs, "2000", "ms",
                600, 60000, "",
                "Time after which a target that leaves gets no more requests."},
    setting_row{"store", "configuration_bound_ms", &s::ConfigurationBoundMs,
                "3000", "ms", 1000, 60000, "",
                "Time after which no gateway that can reach another one "
                "decides by an older configuration."},
    setting_row{"controller", "target", &s::ControllerTarget, "", "", 0,
                MaxNameLength, "",
                "ip:port of the target beside a controller."},
    setting_row{"retry", "ratio", &s::RetryRatio, "0.2", "", 0, 10, "",
                "Repeats per request, over all gateways."},
    setting_row{"retry", "extra", &s::RetryExtra, "50", "", 0, 1'000'000, "",
                "Repeats beyond the ratio in a window, over all gateways."},
    setting_row{"retry", "window_ms", &s::RetryWindowMs, "10000", "ms", 1,
                HourMs, "", "Window of the retry budget."},
    setting_row{"quarantine", "crashes", &s::QuarantineCrashes, "3", "", 0, 6,
                "",
                "Crashes of targets that quarantine a part of prompts; 0: "
                "never."},
    setting_row{"quarantine", "hold_ms", &s::QuarantineHoldMs, "120000", "ms",
                1000, HourMs, "",
                "Time until a request with a quarantined part is tried."},
    setting_row{"workspaces", "revocation_ms", &s::RevocationMs, "5000", "ms",
                600, HourMs, "",
                "Time after which a removed key is refused by every gateway "
                "that can reach another one."},
    setting_row{"workspaces", "revocation_strict", &s::RevocationStrict,
                "false", "", 0, 0, "",
                "True: no key is accepted on a configuration that may be "
                "older than that."},
    setting_row{"quota", "window_ms", &s::QuotaWindowMs, "0", "ms", 0, HourMs,
                "",
                "Window in which the quotas of workspaces hold over all "
                "gateways; 0: there are no quotas."},
    setting_row{"quota", "overrun", &s::QuotaOverrun, "0", "", 0, 10, "",
                "Part of a quota by which a window may exceed it."},
    setting_row{"quota", "slack", &s::QuotaSlack, "0", "", 0, 1'000'000'000, "",
                "Tokens by which a window may exceed a quota as well."},
    setting_row{"targets", "contracts", &s::TargetContracts, "", "", 0,
                MaxPathLength, "",
                "Words of the platform on what its targets do, separated by "
                "commas."},
    setting_row{"targets", "keep_connections", &s::KeepConnections, "false", "",
                0, 0, "",
                "Whether connections to targets serve several requests; a word "
                "of contracts may switch it on."},
    setting_row{"targets", "measure_pace", &s::MeasurePace, "false", "", 0, 0,
                "",
                "Whether the speed of targets is learned from the pace of the "
                "streams that have a bound of their pauses."},
    setting_row{"targets", "idle_ms", &s::ConnectionIdleMs, "2000", "ms", 0,
                HourMs, "",
                "Longest rest of a kept connection whose target names no "
                "time."},
    setting_row{"targets", "keep_alive_margin_ms", &s::KeepAliveMarginMs, "500",
                "ms", 0, HourMs, "",
                "Part of a target's Keep-Alive time in which a connection is "
                "not used."},
    setting_row{"targets", "single_use_idle_ms", &s::SingleUseIdleMs, "5000",
                "ms", 0, HourMs, "",
                "Longest rest of a connection that a request uses which may "
                "run only once, and half of the target's time at most."},
    setting_row{"targets", "max_idle", &s::MaxIdleConnections, "512", "", 0,
                1'000'000, "",
                "Connections to targets that rest; at most a quarter of the "
                "descriptors."},
    setting_row{"targets", "connection_cost_ms", &s::ConnectionCostMs, "0",
                "ms", 0, 10'000, "",
                "Cost of a new connection in the choice of a target."},
    setting_row{"intake", "memory_mb", &s::IntakeMemoryMb, "0", "MB", 0,
                1'000'000, "",
                "Memory for what is held for callers; 0: three eighths of "
                "gateway.memory_mb, at controllers one."},
    setting_row{"intake", "connections", &s::IntakeConnections, "0", "", 0,
                1'000'000, "",
                "Open connections of callers; 0, and at most: five eighths of "
                "the descriptors."},
    setting_row{"intake", "stall_ms", &s::IntakeStallMs, "1000", "ms", 100,
                HourMs, "",
                "Time without progress after which a caller is ended if "
                "others wait."},
    setting_row{"intake", "wait_ms", &s::IntakeWaitMs, "2000", "ms", 10, HourMs,
                "", "Longest wait of a request for room before it is refused."},
    setting_row{"hedging", "max_extra_percent", &s::MaxExtraPercent, "0", "%",
                0, 20, "",
                "Second attempts at slow requests that may be repeated, per "
                "hundred requests of this gateway; 0: none."},
    setting_row{"fair_shares", "enabled", &s::FairSharesEnabled, "false", "", 0,
                0, "",
                "Whether prompts of workspaces above their fair share wait or "
                "are refused while targets are short of capacity."},
    setting_row{"loads", "window_ms", &s::LoadWindowMs, "5000", "ms", 1, HourMs,
                "", "Window of the limit on loads from the weight store."},
    setting_row{"loads", "overrun", &s::LoadOverrun, "1", "", 0, 10, "",
                "Loads of a window, as a multiple of the declared rate."},

    setting_row{"log", "file", &s::LogFile, "", "", 0, MaxPathLength, "",
                "Log file; empty writes to standard error."},
    setting_row{"log", "timeline_notes", &s::TimelineNotes, "4096", "", 1,
                1'000'000, "", "Notes that the time line keeps."},
};

} // namespace

auto settingsTable() -> std::span<const setting_row> { return Table; }

} // namespace limpetbridge
