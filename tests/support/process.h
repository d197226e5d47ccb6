// A program under test: started, stopped, frozen and killed by its id.

#ifndef TESTS_SUPPORT_PROCESS_H_
#define TESTS_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace mimosagauge::testing {

/// \brief A child process; killed and reaped when the object goes.
class Process {
 public:
  /// \param words Program and arguments.
  /// \param output File that takes standard output and standard error.
  /// \throws std::runtime_error when it cannot be started.
  Process(const std::vector<std::string>& words, std::string output);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// \brief Sends a signal; one that stops or kills has taken effect
  /// afterwards.
  void Signal(int signal) const;
  /// \brief SIGKILL, and waits for its end.
  void Kill();
  /// \brief Waits for its end.
  /// \returns The exit code; 128 and the signal's number when a signal ended
  /// it; nothing when it was still running after the longest wait.
  [[nodiscard]] std::optional<int> WaitExit();
  /// \returns Whether it has not ended.
  [[nodiscard]] bool Running();
  /// \returns What it has printed so far.
  [[nodiscard]] std::string Output() const;

  [[nodiscard]] pid_t pid() const noexcept { return pid_; }

 private:
  [[nodiscard]] bool Reap();

  pid_t pid_ = -1;
  std::string output_;
  std::optional<int> exit_code_;
};

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_PROCESS_H_
