#include "node_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <system_error>

namespace limpetbridge::crowds {

namespace {

/// Becomes the program. Only calls that are allowed between fork and exec.
[[noreturn]] auto becomeNode(const char *SettingsFile, const char *LogFile,
                             std::size_t Descriptors) -> void {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const rlimit Limit{Descriptors, Descriptors};
  const int Log = open(LogFile, O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (Log >= 0 && setrlimit(RLIMIT_NOFILE, &Limit) == 0 &&
      dup2(Log, STDOUT_FILENO) >= 0 && dup2(Log, STDERR_FILENO) >= 0 &&
      close_range(STDERR_FILENO + 1, ~0U, 0) == 0)
    execl(NODE_PROGRAM, NODE_PROGRAM, "--settings", SettingsFile, nullptr);
  _exit(127);
}

} // namespace

node_process::node_process(const std::string &Settings,
                           std::size_t Descriptors) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "crowd-XXXXXX").string();
  if (mkdtemp(Template.data()) == nullptr)
    throw std::system_error(errno, std::generic_category(), "mkdtemp");
  Folder = Template;
  const auto SettingsFile = Folder + "/settings.ini";
  const auto LogFile = Folder + "/log";
  std::ofstream(SettingsFile) << Settings;
  Pid = fork();
  if (Pid < 0)
    throw std::system_error(errno, std::generic_category(), "fork");
  if (Pid == 0)
    becomeNode(SettingsFile.c_str(), LogFile.c_str(), Descriptors);
}

node_process::~node_process() {
  if (isAlive()) {
    kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
  }
  std::error_code Ignored; // A folder that stays harms no test.
  std::filesystem::remove_all(Folder, Ignored);
}

auto node_process::isAlive() -> bool {
  Ended = Ended || waitpid(Pid, nullptr, WNOHANG) != 0;
  return !Ended;
}

auto node_process::staysAlive() -> bool {
  constexpr int Polls = 50;
  constexpr useconds_t PollUs = 20'000;
  for (int I = 0; I < Polls && isAlive(); ++I)
    usleep(PollUs);
  return isAlive();
}

auto node_process::peakBytes() const -> std::size_t {
  constexpr std::size_t BytesPerKb = 1024;
  std::ifstream File("/proc/" + std::to_string(Pid) + "/status");
  for (std::string Line; std::getline(File, Line);) {
    std::istringstream Words(Line);
    std::string Name;
    std::size_t Kb = 0;
    if (Words >> Name >> Kb && Name == "VmHWM:")
      return Kb * BytesPerKb;
  }
  return 0;
}

auto node_process::openDescriptors() const -> std::size_t {
  std::error_code Ended;
  const std::filesystem::directory_iterator Files(
      "/proc/" + std::to_string(Pid) + "/fd", Ended);
  return static_cast<std::size_t>(std::distance(begin(Files), end(Files)));
}

auto node_process::logEnd() const -> std::string {
  constexpr std::size_t MaxBytes = 600;
  std::ifstream File(Folder + "/log");
  const std::string Text{std::istreambuf_iterator<char>(File), {}};
  return Text.substr(Text.size() - std::min(Text.size(), MaxBytes));
}

} // namespace limpetbridge::crowds
