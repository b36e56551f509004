/// \file
/// What callers and workers saw around planned stops, and the promises that it
/// is held against.
#ifndef LIMPETBRIDGE_SOAK_STOP_JUDGE_H
#define LIMPETBRIDGE_SOAK_STOP_JUDGE_H

#include "base/time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limpetbridge::soak {

using optional_time = std::optional<time_point>;

/// One process of a gateway or controller, from its start to its end.
struct process_life {
  std::string Name;
  optional_time StopAt; ///< The first SIGTERM.
  optional_time EndedAt;
  int Status = 0;
};

/// What may be repeated.
enum class request_kind : unsigned char { Idempotent, NonIdempotent, Stream };

/// One request as its caller saw it.
struct sent_request {
  std::string Id;
  request_kind Kind = request_kind::Idempotent;
  std::size_t Process = 0; ///< Index of the gateway's process.
  int Connection = 0;
  time_point Deadline;     ///< The caller's or the route's, whichever is first.
  optional_time WrittenAt; ///< When its last byte was written.
  optional_time EndedAt;
  bool Read = false; ///< The gateway was seen to have read every byte.
  bool Complete = false;
  int Status = 0;      ///< 0 without a response head.
  std::string Outcome; ///< How the answer ended.
  std::string Fault;   ///< What is wrong with it.
};

/// One copy of a request at a worker.
struct worker_copy {
  std::string Worker;
  bool Ran = false;       ///< The worker did not refuse it.
  bool BrokenOff = false; ///< The worker ended the answer inside an event.
  time_point ArrivedAt;
  optional_time EndedAt; ///< None while the worker is at work.
};

/// All of one run.
struct soak_record {
  time_point Began = process_clock::now();
  milliseconds Grace{}; ///< From SIGTERM to the end of the process.
  std::vector<process_life> Processes;
  std::deque<sent_request> Requests; ///< References to elements stay valid.
  std::map<std::string, std::vector<worker_copy>> Copies; ///< By request id.
};

/// Counts of requests, and each broken promise in words.
struct verdict {
  int Answered = 0;
  int Refused = 0;
  int Unread = 0; ///< Ended without a sign that the gateway had read them.
  int Cut = 0;    ///< Read or passed on, and ended without complete answer.
  int Read = 0;   ///< Seen to have been read, however they ended.
  std::vector<std::string> Broken;
};

[[nodiscard]] auto judge(const soak_record &Record) -> verdict;

} // namespace limpetbridge::soak

#endif // LIMPETBRIDGE_SOAK_STOP_JUDGE_H
