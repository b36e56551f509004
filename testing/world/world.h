/// \file
/// Several reducers in virtual time around one queue that loses, reorders and
/// repeats. Not a model of a network: only a way to feed the reducers.
#ifndef LIMPETBRIDGE_TESTING_WORLD_H
#define LIMPETBRIDGE_TESTING_WORLD_H

#include "core/reducer.h"
#include "engine_stand_in.h"
#include "oracle.h"
#include "platform_stand_in.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace limpetbridge {

/// Index of a node in the world.
using node_index = std::size_t;

/// A message under way.
struct message {
  std::string Label; ///< For reading a failing run.
  std::function<void()> Deliver;
  std::function<void()> Lose;    ///< What the sender sees; null: silence.
  std::function<void()> TimeOut; ///< The sender gives up, it comes later.
  bool MayRepeat = false;
};

/// A node and what surrounds it.
struct world_node {
  node_state State;
  bool Alive = true;
  bool Paused = false;
  std::vector<event> Inbox; ///< What came while it was paused.
  std::string Session;      ///< Its transcript, when recording.
};

/// How an attempt ends when its connection says so.
[[nodiscard]] auto connectionEnded(const attempt_id &Id, run_outcome Outcome,
                                   result_code Code) -> attempt_ended;

inline constexpr std::size_t WorldModels = 6; ///< Models and adapters declared.
inline constexpr auto CommandTime = seconds(20); ///< For an operator's command.

/// The world.
class world {
public:
  /// Two entries, an engine that checks tokens, one that does not, and two
  /// targets of one service; a small catalogue is in force.
  /// \param Record keeps the session of every node.
  explicit world(std::uint64_t Seed, mutation Mutation = mutation::None,
                 bool Record = false);

  // Steps. Each is harmless when it does not apply.
  auto deliver(std::size_t Index) -> void;
  auto lose(std::size_t Index) -> void;
  auto timeOut(std::size_t Index) -> void;
  auto repeat(std::size_t Index) -> void;
  auto advance(duration Span) -> void;
  auto requestModel(std::size_t Entry, std::size_t Model) -> request_id;
  auto requestBooking(std::size_t Entry, std::size_t Key) -> request_id;
  auto command(std::size_t Entry, std::size_t Kind) -> void;
  auto crash(std::size_t Node) -> void;
  auto replacePaused(std::size_t Agent) -> void;
  auto resumePaused() -> void;
  auto drain(std::size_t Node) -> void;
  /// Delivers all that is under way, in order.
  auto deliverAll() -> void;
  /// Loses, or times out, the first message whose label starts so; false when
  /// there is none.
  auto loseFirst(const std::string &Label) -> bool;
  auto timeOutFirst(const std::string &Label) -> bool;
  auto setStoreDown(bool Down) -> void { StoreDown = Down; }
  /// Sets the longest drain of all nodes, those that start later included.
  auto setDrainTimeout(duration Timeout) -> void;
  auto refreshList() -> void;

  /// Heals everything, lets time pass and checks what must hold in the end.
  auto settle() -> void;

  [[nodiscard]] auto oracleOf() const -> const oracle & { return Oracle; }
  [[nodiscard]] auto queueLength() const -> std::size_t { return Queue.size(); }
  /// Sessions of the lives of a node, oldest first; empty unless recording.
  [[nodiscard]] auto sessionsOf(const std::string &Name) const
      -> std::vector<std::string>;
  [[nodiscard]] auto now() const -> time_point { return Now; }
  [[nodiscard]] auto stateOf(node_index Index) const -> const node_state & {
    return Nodes[Index].State;
  }

private:
  /// Opens a stream between an attempt at an entry and an agent.
  struct open_stream {
    node_index Entry = 0;
    node_index Agent = 0;
  };

  auto addNode(instance_role Role, const std::string &Name, target_kind Kind,
               bool ChecksFence) -> node_index;
  auto startNode(node_index Index) -> void;
  auto nodeNamed(const instance_name &Name) -> node_index;
  auto feed(node_index Index, const event &Event) -> void;
  auto watch(node_index Index, const effect &Effect) -> void;
  auto send(message Message) -> void { Queue.push_back(std::move(Message)); }
  auto takeMessage(std::size_t Index) -> message;
  auto breakStreams(node_index Agent) -> void;
  auto isEntryNode(node_index Index) const -> bool;
  auto pickEntry(std::size_t Index) -> node_index;
  auto newRequest(node_index Entry) -> request_arrived;
  auto ask(node_index Entry, const request_arrived &Event) -> request_id;
  auto applyStore(node_index From, ticket Ticket,
                  const std::function<table_replied()> &Execute) -> void;
  auto settleRound() -> void;
  auto checkReachable() -> void;
  auto checkStored() -> void;

  // Effects, one method each.
  auto perform(node_index From, const answer_frame &Effect) -> void;
  auto perform(node_index From, const answer_end &Effect) -> void;
  auto perform(node_index From, const start_attempt &Effect) -> void;
  auto perform(node_index From, const cancel_attempt &Effect) -> void;
  auto perform(node_index From, const table_transact &Effect) -> void;
  auto perform(node_index From, const table_read &Effect) -> void;
  auto perform(node_index From, const table_range &Effect) -> void;
  auto perform(node_index From, const object_get &Effect) -> void;
  auto perform(node_index From, const object_put &Effect) -> void;
  auto perform(node_index From, const send_changes &Effect) -> void;
  auto perform(node_index From, const fetch_changes &Effect) -> void;
  auto perform(node_index From, const send_target_state &Effect) -> void;
  auto perform(node_index From, const answer_command &Effect) -> void;
  auto perform(node_index From, const send_frame &Effect) -> void;
  auto perform(node_index From, const send_end &Effect) -> void;
  auto perform(node_index From, const run_work &Effect) -> void;
  auto perform(node_index From, const stop_work &Effect) -> void;
  auto perform(node_index From, const send_order &Effect) -> void;
  auto perform(node_index From, const read_engine &Effect) -> void;
  auto perform(node_index From, const stop_process &Effect) -> void;
  auto perform(node_index, const write_note &) -> void {}
  auto perform(node_index, const observe_metric &) -> void {}
  auto perform(node_index, const count_metric &) -> void {}

  auto runAtEngine(node_index Agent, const run_work &Effect) -> void;
  auto runAtService(node_index Agent, const run_work &Effect) -> void;

  auto indexOf(const std::string &Label) const -> std::size_t;

  mutation Mutation;
  bool Record;
  std::uint64_t Seed;
  time_point Now{seconds(1000)};
  oracle Oracle;
  std::deque<world_node> Nodes; ///< Stable: messages hold indices.
  std::map<instance_name, node_index> Current; ///< Live node of a name.
  std::deque<message> Queue;
  std::map<attempt_id, open_stream> Streams;
  std::map<target_name, engine_fake> Engines;
  std::map<instance_name, instance_record> Listed;
  table_fake Table;
  std::map<std::string, std::string> Objects;
  bool StoreDown = false;
  duration DrainTimeout = node_options().DrainTimeout;
  std::uint64_t LastIncarnation = 100;
  std::uint64_t LastCounter = 0;
  std::uint64_t LastCommand = 0;
  std::uint64_t LastChange = 0;
  std::map<std::uint64_t, change_id> Commands;
  std::vector<node_index> PausedAgents;
};

} // namespace limpetbridge

#endif // LIMPETBRIDGE_TESTING_WORLD_H
