/// \file
/// Settings of a node, read from an INI file. Every key must be known, and its
/// value must have the right type and be in range.
#ifndef LIMPETBRIDGE_BASE_SETTINGS_H
#define LIMPETBRIDGE_BASE_SETTINGS_H

#include "base/result.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace limpetbridge {

/// Settings of one `limpetbridge` process. The defaults are in
/// settingsTable, from which `--print-settings` is generated.
struct node_settings {
  std::string File; ///< Path of the file; empty if not read from one.
  std::string Role;
  std::string Name;
  std::string DataCentre;
  std::string Address;

  std::int64_t CallerPort = 0;
  std::int64_t CallerThreads = 0;
  std::int64_t BodyLimitKb = 0;
  std::int64_t ReadTimeoutMs = 0;
  std::int64_t DefaultDeadlineMs = 0;

  std::int64_t PeerPort = 0;
  std::string PeerToken;
  std::int64_t OperatorPort = 0;
  std::string OperatorToken;

  std::string PlatformHost;
  std::int64_t PlatformPort = 0;
  std::int64_t PlatformPollMs = 0;
  std::int64_t PlatformTimeoutMs = 0;

  std::string Seeds;

  std::string TargetKind;
  std::string TargetService;
  std::string TargetHost;
  std::int64_t TargetPort = 0;
  std::int64_t TargetMemoryMb = 0;
  bool TargetChecksFence = false;
  std::int64_t TargetSlots = 0;
  std::int64_t TargetShortSlots = 0;
  std::int64_t TargetQueue = 0;
  std::int64_t ReportMs = 0;
  std::int64_t OrderTimeoutMs = 0;

  std::int64_t MemoryMb = 0;
  std::int64_t ProgressMs = 0;
  std::int64_t MaxAttempts = 0;
  std::int64_t RetryBudgetPercent = 0;
  std::int64_t HedgeBudgetPercent = 0;

  std::int64_t DrainDeadlineMs = 0;
  std::int64_t BalancerWaitMs = 0;

  std::string GatewayCallers;
  std::string GatewayReadiness;
  std::string GatewayPeers;
  std::string GatewaySeeds;
  std::string LinkAddress;
  std::string MetricsAddress;
  std::string StoreAddress;
  std::int64_t StoreWaitMs = 0;
  std::int64_t StoreTimeoutMs = 0;
  std::string ControllerTarget;
  double RetryRatio = 0;
  double RetryExtra = 0;
  std::int64_t RetryWindowMs = 0;
  std::int64_t LoadWindowMs = 0;
  double LoadOverrun = 0;
  std::int64_t StopGraceMs = 0;
  std::int64_t LostGraceMs = 0;
  std::int64_t LeavingBoundMs = 0;
  std::int64_t ConfigurationBoundMs = 0;
  std::int64_t QuarantineCrashes = 0;
  std::int64_t QuarantineHoldMs = 0;
  std::int64_t RevocationMs = 0;
  bool RevocationStrict = false;
  std::int64_t QuotaWindowMs = 0;
  double QuotaOverrun = 0;
  double QuotaSlack = 0;
  std::string TargetContracts;
  bool KeepConnections = false;
  std::int64_t ConnectionIdleMs = 0;
  std::int64_t KeepAliveMarginMs = 0;
  std::int64_t SingleUseIdleMs = 0;
  std::int64_t MaxIdleConnections = 0;
  double CpuShare = 0;
  std::int64_t ForwardMs = 0;
  double ConnectionCostMs = 0;
  double MaxExtraPercent = 0;
  bool FairSharesEnabled = false;
  bool MeasurePace = false;

  std::int64_t IntakeMemoryMb = 0;
  std::int64_t IntakeConnections = 0;
  std::int64_t IntakeStallMs = 0;
  std::int64_t IntakeWaitMs = 0;

  std::string LogFile;
  std::int64_t TimelineNotes = 0;
};

/// Member of node_settings that stores a setting.
using setting_slot =
    std::variant<std::string node_settings::*, std::int64_t node_settings::*,
                 bool node_settings::*, double node_settings::*>;

/// Definition of one setting.
struct setting_row {
  std::string_view Section;
  std::string_view Key;
  setting_slot Slot;
  std::string_view Default; ///< Default value in its text form.
  std::string_view Unit;    ///< `ms`, `MB`, … or empty.
  std::int64_t Min = 0;     ///< Minimum value, or minimum length of a text.
  std::int64_t Max = 0;     ///< Maximum value, or maximum length of a text.
  std::string_view Choices; ///< Allowed words as `a|b`; empty allows any.
  std::string_view Help;    ///< Description in one line.
};

/// Definitions of all settings, in the order of `--print-settings`.
[[nodiscard]] auto settingsTable() -> std::span<const setting_row>;

/// Parses the settings in \p Text. A time in ms may also be given in seconds,
/// as a number followed by `s`. Error messages name \p File as its source.
/// \returns UnknownSetting, InvalidSetting or FileUnreadable with file, line
/// and key in the detail. A text without a section or without a line end at its
/// end is refused as FileUnreadable: the file is empty or was cut off.
[[nodiscard]] auto parseSettings(std::string_view Text, const std::string &File)
    -> result<node_settings>;

/// Reads and parses the settings file \p File; errors as of parseSettings.
[[nodiscard]] auto loadSettings(const std::string &File)
    -> result<node_settings>;

/// Formats \p Settings as INI text, with the help of each key as a comment.
[[nodiscard]] auto printSettings(const node_settings &Settings) -> std::string;

/// Names of the settings that differ, as `section.key`.
[[nodiscard]] auto changedKeys(const node_settings &Before,
                               const node_settings &After)
    -> std::vector<std::string>;

/// Settings in which every key has its default value.
[[nodiscard]] auto defaultSettings() -> node_settings;

/// Reads a whole file.
/// \returns FileUnreadable if it cannot be opened.
[[nodiscard]] auto readFile(const std::string &File) -> result<std::string>;

/// Levenshtein distance: the least number of single-character insertions,
/// deletions and replacements that turn \p Left into \p Right.
[[nodiscard]] auto editDistance(std::string_view Left, std::string_view Right)
    -> std::size_t;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_SETTINGS_H
