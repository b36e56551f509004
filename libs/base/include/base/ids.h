/// \file
/// Strongly typed names and numbers. Different kinds do not convert into each
/// other.
#ifndef LIMPETBRIDGE_BASE_IDS_H
#define LIMPETBRIDGE_BASE_IDS_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace limpetbridge {

/// A name of the kind \p tag; an empty name means none.
template <typename tag> struct strong_name {
  std::string Text;

  strong_name() = default;
  explicit strong_name(std::string Value) : Text(std::move(Value)) {}
  explicit strong_name(std::string_view Value) : Text(Value) {}
  explicit strong_name(const char *Value) : Text(Value) {}

  [[nodiscard]] auto empty() const -> bool { return Text.empty(); }
  auto operator<=>(const strong_name &) const = default;
};

/// A number of the kind \p tag; zero means none.
template <typename tag> struct strong_number {
  std::uint64_t Value = 0;

  auto operator<=>(const strong_number &) const = default;
};

using model_name = strong_name<struct model_tag>;
using adapter_name = strong_name<struct adapter_tag>;
using service_name = strong_name<struct service_tag>;
using caller_name = strong_name<struct caller_tag>;
using target_name = strong_name<struct target_tag>;
using instance_name = strong_name<struct instance_tag>;
using data_centre_name = strong_name<struct data_centre_tag>;
using workspace_name = strong_name<struct workspace_tag>;
using idempotency_key = strong_name<struct idempotency_key_tag>;
using change_id = strong_name<struct change_tag>;

/// Number of a configuration revision; the first accepted change creates 1.
using revision = strong_number<struct revision_tag>;
/// Identifies one run of a process; every restart gets a new number.
using incarnation = strong_number<struct incarnation_tag>;
/// Fencing token of an order to an engine: epoch of the agent, then sequence.
using fencing_token = strong_number<struct fencing_tag>;
/// Correlates a reply of the platform with the effect that requested it.
using ticket = strong_number<struct ticket_tag>;
/// Amount of accelerator memory, bytes.
using byte_count = strong_number<struct bytes_tag>;

/// Identifies a caller's request: the incarnation of the entry that received
/// it, and a counter that is unique within that incarnation.
struct request_id {
  incarnation Entry;
  std::uint64_t Counter = 0;

  auto operator<=>(const request_id &) const = default;
};

/// Identifies one attempt at a request; attempts are numbered from 1.
struct attempt_id {
  request_id Request;
  std::uint32_t Attempt = 0;

  auto operator<=>(const attempt_id &) const = default;
};

/// Formats as `entry-counter` in hexadecimal, as used in logs and headers.
[[nodiscard]] auto toString(const request_id &Id) -> std::string;
/// Formats as `entry-counter.attempt`; the attempt number is decimal.
[[nodiscard]] auto toString(const attempt_id &Id) -> std::string;

/// 64-bit XXH3 hash of \p Text with \p Seed. All processes and machines compute
/// the same value.
[[nodiscard]] auto stableHash(std::string_view Text, std::uint64_t Seed = 0)
    -> std::uint64_t;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_IDS_H
