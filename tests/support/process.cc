// Starting and ending of child processes.

#include "tests/support/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "tests/support/wait.h"

namespace mimosagauge::testing {
namespace {

constexpr int kSignalExitBase = 128;
constexpr mode_t kOutputMode = 0644;

/// \brief Redirects both outputs of a child into a file.
class OutputToFile {
 public:
  explicit OutputToFile(const std::string& file) {
    posix_spawn_file_actions_init(&actions_);
    posix_spawn_file_actions_addopen(&actions_, STDOUT_FILENO, file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     kOutputMode);
    posix_spawn_file_actions_adddup2(&actions_, STDOUT_FILENO, STDERR_FILENO);
  }
  ~OutputToFile() { posix_spawn_file_actions_destroy(&actions_); }
  OutputToFile(const OutputToFile&) = delete;
  OutputToFile& operator=(const OutputToFile&) = delete;

  [[nodiscard]] const posix_spawn_file_actions_t* actions() const noexcept {
    return &actions_;
  }

 private:
  posix_spawn_file_actions_t actions_{};
};

// On a busy machine a process runs on for a while after a signal was sent. Its
// end stays to be reaped.
void WaitForEffect(pid_t pid, int states) {
  siginfo_t ignored{};
  while (waitid(P_PID, static_cast<id_t>(pid), &ignored, states | WNOWAIT) !=
             0 &&
         errno == EINTR) {
  }
}

}  // namespace

Process::Process(const std::vector<std::string>& words, std::string output)
    : output_(std::move(output)) {
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (const std::string& word : words) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  const OutputToFile redirection(output_);
  const int error = posix_spawn(&pid_, arguments[0], redirection.actions(),
                                nullptr, arguments.data(), environ);
  if (error != 0) {
    throw std::runtime_error("cannot start " + words[0]);
  }
}

Process::~Process() { Kill(); }

void Process::Signal(int signal) const {
  if (exit_code_) {
    return;
  }
  kill(pid_, signal);
  if (signal == SIGSTOP) {
    WaitForEffect(pid_, WEXITED | WSTOPPED);
  } else if (signal == SIGKILL) {
    WaitForEffect(pid_, WEXITED);
  }
}

void Process::Kill() {
  Signal(SIGKILL);
  (void)WaitExit();
}

std::optional<int> Process::WaitExit() {
  (void)WaitUntil([this] { return Reap(); });
  return exit_code_;
}

bool Process::Running() { return !Reap(); }

std::string Process::Output() const {
  std::ifstream file(output_);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool Process::Reap() {
  if (exit_code_) {
    return true;
  }
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) {
    return false;
  }
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                 : kSignalExitBase + WTERMSIG(status);
  return true;
}

}  // namespace mimosagauge::testing
