// Strict revocation: how recently the configuration in force is known to have
// been the newest one in the store. Keys are accepted only while that is recent
// enough.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ACCOUNTS_CONFIRMATION_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ACCOUNTS_CONFIRMATION_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief A time on the clock of one process.
struct ProcessStamp {
  std::uint64_t process = 0;  ///< Random number of the process.
  TimePoint at{};             ///< Comparable only within that process.

  [[nodiscard]] friend bool operator==(const ProcessStamp&,
                                       const ProcessStamp&) = default;
};

/// \brief A version of the configuration, and how long ago it was known to be
/// the newest one in the store.
struct ConfirmedVersion {
  Revision version;
  Duration age{};  ///< At least 0.

  [[nodiscard]] friend bool operator==(const ConfirmedVersion&,
                                       const ConfirmedVersion&) = default;
};

/// \brief Message between two instances: a question for the newest
/// configuration, or the answer to one.
struct ConfirmationMessage {
  /// When the asking instance sent the question, on its own clock. The answer
  /// repeats it.
  ProcessStamp asked;
  std::optional<ConfirmedVersion> confirmed;  ///< Empty: a question.

  [[nodiscard]] friend bool operator==(const ConfirmationMessage&,
                                       const ConfirmationMessage&) = default;
};

/// \brief Largest age of a confirmation under strict revocation, less a margin
/// for clocks that run at different rates.
[[nodiscard]] Duration LongestConfirmationAge(Duration strict) noexcept;

/// \brief What one instance knows about how recent its configuration is.
struct Confirmation {
  /// Largest age with which keys are accepted; zero: strict revocation is off.
  Duration longest_age{};
  std::uint64_t process = 0;  ///< Random number of this process.
  /// No configuration that the store acknowledged before this time is newer
  /// than the one in force here. Never decreases. Empty: nothing is known.
  std::optional<TimePoint> confirmed_at;
  TimePoint next_question_at{};  ///< When other instances are asked next.
  /// Number of rounds of questions, which selects the instances that are asked.
  std::size_t round = 0;
};

/// \param strict The time within which a revoked key must be refused; empty:
/// strict revocation is off.
/// \param process Random number of this process.
[[nodiscard]] Confirmation MakeConfirmation(std::optional<Duration> strict,
                                            std::uint64_t process);

/// \returns Whether strict revocation is on.
[[nodiscard]] bool IsStrict(const Confirmation& confirmation) noexcept;

/// \returns The age of the confirmation; empty: the configuration was never
/// confirmed.
[[nodiscard]] std::optional<Duration> ConfirmationAge(
    const Confirmation& confirmation, TimePoint now) noexcept;

/// \returns Whether keys may be accepted. True if strict revocation is off.
[[nodiscard]] bool AcceptsKeys(const Confirmation& confirmation,
                               TimePoint now) noexcept;

/// \brief Records that the store's newest configuration was `stored` at the
/// time `as_of`.
/// \param in_force Version of the configuration in force; zero: none. If it is
/// older than `stored`, nothing is confirmed.
/// \returns Whether the confirmation became more recent.
bool ConfirmByStore(Confirmation& confirmation, Revision in_force,
                    Revision stored, TimePoint as_of, TimePoint now);

/// \brief Records the answer of another instance.
///
/// The other instance stated the age after it had received the question, so its
/// configuration was the newest one at the time of the question less this age,
/// on the clock of this instance. That holds however long the answer was
/// delayed. An answer to a question of another process is ignored, and so is
/// one with a newer configuration than the one in force.
/// \param in_force Version of the configuration in force; zero: none.
/// \returns Whether the confirmation became more recent.
bool ConfirmByPeer(Confirmation& confirmation, Revision in_force,
                   const ConfirmationMessage& answer, TimePoint now);

/// \returns Whether other instances are to be asked now, because the
/// confirmation is older than the polls of the store should let it become. The
/// next round of questions is then scheduled.
[[nodiscard]] bool StartRoundOfQuestions(Confirmation& confirmation,
                                         TimePoint now);

[[nodiscard]] ConfirmationMessage MakeQuestion(const Confirmation& confirmation,
                                               TimePoint now);

/// \returns The answer to another instance's question, or nothing if the
/// configuration in force is not confirmed here either.
[[nodiscard]] std::optional<ConfirmationMessage> AnswerQuestion(
    const Confirmation& confirmation, Revision in_force,
    const ConfirmationMessage& question, TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ACCOUNTS_CONFIRMATION_H_
