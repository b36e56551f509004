/// \file
/// Strongly typed names and numbers. Two kinds never mix by accident.
#ifndef LIMPETBRIDGE_BASE_IDS_H
#define LIMPETBRIDGE_BASE_IDS_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace limpetbridge {

/// A name of one kind; empty means none.
template <typename tag> struct strong_name {
  std::string Text;

  strong_name() = default;
  explicit strong_name(std::string Value) : Text(std::move(Value)) {}
  explicit strong_name(std::string_view Value) : Text(Value) {}
  explicit strong_name(const char *Value) : Text(Value) {}

  [[nodiscard]] auto empty() const -> bool { return Text.empty(); }
  auto operator<=>(const strong_name &) const = default;
};

/// A number of one kind; zero means none.
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
using idempotency_key = strong_name<struct idempotency_key_tag>;
using change_id = strong_name<struct change_tag>;

/// Number of a configuration revision; the first accepted change makes 1.
using revision = strong_number<struct revision_tag>;
/// One life of a process; a restart gets another.
using incarnation = strong_number<struct incarnation_tag>;
/// Fencing token of an order to an engine: epoch of the agent, then sequence.
using fencing_token = strong_number<struct fencing_tag>;
/// Matches a reply of the platform to the effect that asked for it.
using ticket = strong_number<struct ticket_tag>;
/// Memory of an accelerator, bytes.
using byte_count = strong_number<struct bytes_tag>;

/// A caller's request: the entry's incarnation and a counter in it.
struct request_id {
  incarnation Entry;
  std::uint64_t Counter = 0;

  auto operator<=>(const request_id &) const = default;
};

/// One attempt at a request; the first is 1.
struct attempt_id {
  request_id Request;
  std::uint32_t Attempt = 0;

  auto operator<=>(const attempt_id &) const = default;
};

/// `entry-counter` in hexadecimal, as in logs and headers.
[[nodiscard]] auto toString(const request_id &Id) -> std::string;
/// `entry-counter.attempt`.
[[nodiscard]] auto toString(const attempt_id &Id) -> std::string;

/// A 64-bit hash of \p Text under \p Seed (xxHash), the same everywhere.
[[nodiscard]] auto stableHash(std::string_view Text, std::uint64_t Seed = 0)
    -> std::uint64_t;

} // namespace limpetbridge

#endif // LIMPETBRIDGE_BASE_IDS_H
