/// \file
/// A process of the system under test, and what the kernel says of it.
#ifndef LIMPETBRIDGE_CROWDS_TESTS_NODE_PROCESS_H
#define LIMPETBRIDGE_CROWDS_TESTS_NODE_PROCESS_H

#include <sys/types.h>

#include <cstddef>
#include <string>

namespace limpetbridge::crowds {

/// One limpetbridge process with settings and limits of its own. Ends with this
/// object.
class node_process {
public:
  /// \param Settings text of its settings file.
  /// \param Descriptors its limit of open descriptors (RLIMIT_NOFILE).
  /// \throws std::system_error if it cannot be started.
  node_process(const std::string &Settings, std::size_t Descriptors);
  ~node_process();
  node_process(const node_process &) = delete;
  auto operator=(const node_process &) -> node_process & = delete;

  /// True while the process that was started runs.
  [[nodiscard]] auto isAlive() -> bool;
  /// The same after a second, in which a process that is ending has ended.
  [[nodiscard]] auto staysAlive() -> bool;
  /// Largest resident memory so far, bytes; 0 once it has ended.
  [[nodiscard]] auto peakBytes() const -> std::size_t;
  /// Descriptors that are open now.
  [[nodiscard]] auto openDescriptors() const -> std::size_t;
  /// The last lines of what it has written.
  [[nodiscard]] auto logEnd() const -> std::string;

private:
  std::string Folder; ///< Of its settings and its log.
  pid_t Pid = 0;
  bool Ended = false;
};

} // namespace limpetbridge::crowds

#endif // LIMPETBRIDGE_CROWDS_TESTS_NODE_PROCESS_H
