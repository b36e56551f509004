/// \file
/// Stand-in for the platform: table, object store, list of instances, weights.
#ifndef LIMPETBRIDGE_TESTING_PLATFORM_STAND_IN_H
#define LIMPETBRIDGE_TESTING_PLATFORM_STAND_IN_H

#include "core/effects.h"
#include "stand_in_server.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace limpetbridge {

/// The table by itself, for tests in virtual time as well.
class table_fake {
public:
  /// Applies a transaction; rows written on success.
  auto transact(const std::vector<table_condition> &Conditions,
                const std::vector<table_write> &Writes) -> table_replied;
  [[nodiscard]] auto read(const std::vector<std::string> &Keys) const
      -> std::vector<table_row>;
  [[nodiscard]] auto range(const std::string &Prefix, const std::string &From,
                           std::uint32_t Limit) const -> std::vector<table_row>;

private:
  std::map<std::string, table_row> Rows;
  /// Versions outlive their row, so that no condition holds by accident.
  std::map<std::string, std::uint64_t> LastVersions;
};

/// Limits of the platform, a second.
struct platform_limits {
  std::int64_t Writes = 500;
  std::int64_t Reads = 2000;
};

/// The platform as an HTTP server.
class platform_stand_in {
public:
  explicit platform_stand_in(std::uint16_t Port, platform_limits Limits = {});
  ~platform_stand_in();

  [[nodiscard]] auto port() const -> std::uint16_t { return Server.port(); }
  auto faults() -> fault_switches & { return Server.faults(); }

private:
  /// A row of the list and the list version that last changed it.
  struct listed_instance {
    instance_record Record;
    std::uint64_t ChangedAt = 0;
    int MissedProbes = 0;
  };

  auto setRoutes() -> void;
  auto listInstances(const httplib::Request &Request,
                     httplib::Response &Response) -> void;
  auto probeInstances() -> void;
  /// False when the second's budget is spent.
  auto allow(bool Write) -> bool;

  stand_in_server Server;
  platform_limits Limits;
  std::mutex Mutex;
  table_fake Table;
  std::map<std::string, std::string> Objects;
  std::map<std::string, listed_instance> Instances;
  std::map<std::string, std::uint64_t> Removed;
  std::uint64_t ListVersion = 1;
  std::chrono::steady_clock::time_point SecondStart;
  std::int64_t WritesThisSecond = 0;
  std::int64_t ReadsThisSecond = 0;
  std::atomic<bool> Closing{false};
  std::unique_ptr<thread> Prober;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_TESTING_PLATFORM_STAND_IN_H
