// Age of the confirmation that the configuration in force is the newest.

#include "mimosagauge/impl/decisions/accounts/confirmation.h"

#include <algorithm>
#include <chrono>

#include "mimosagauge/impl/decisions/accounts/question_age.h"

namespace mimosagauge {
namespace {

// Two clocks that differ in rate by 100 ppm differ by 0.5 ms after 5 s; the
// rest is room for coarse readings.
constexpr Duration kMargin = std::chrono::milliseconds(200);
constexpr Duration kQuestionInterval = std::chrono::milliseconds(300);
// Interval once keys are refused, so that a long outage costs little.
constexpr Duration kOutageQuestionInterval = std::chrono::seconds(1);

// Records that the configuration in force was the newest one at this time.
[[nodiscard]] bool Advance(Confirmation& confirmation, TimePoint confirmed_at,
                           TimePoint now) {
  const bool later =
      confirmed_at <= now &&
      (!confirmation.confirmed_at || *confirmation.confirmed_at < confirmed_at);
  if (later) {
    confirmation.confirmed_at = confirmed_at;
  }
  return later;
}

}  // namespace

Duration LongestConfirmationAge(Duration strict) noexcept {
  return std::max(strict - kMargin, Duration(1));
}

Confirmation MakeConfirmation(std::optional<Duration> strict,
                              std::uint64_t process) {
  Confirmation confirmation;
  if (strict) {
    confirmation.longest_age = LongestConfirmationAge(*strict);
  }
  confirmation.process = process;
  // Instances that start together do not all ask the same ones.
  confirmation.round = static_cast<std::size_t>(process);
  return confirmation;
}

bool IsStrict(const Confirmation& confirmation) noexcept {
  return confirmation.longest_age > Duration::zero();
}

std::optional<Duration> ConfirmationAge(const Confirmation& confirmation,
                                        TimePoint now) noexcept {
  if (!confirmation.confirmed_at) {
    return std::nullopt;
  }
  return now - *confirmation.confirmed_at;
}

bool AcceptsKeys(const Confirmation& confirmation, TimePoint now) noexcept {
  if (!IsStrict(confirmation)) {
    return true;
  }
  const auto age = ConfirmationAge(confirmation, now);
  return age && *age <= confirmation.longest_age;
}

bool ConfirmByStore(Confirmation& confirmation, Revision in_force,
                    Revision stored, TimePoint as_of, TimePoint now) {
  return in_force >= stored && in_force > Revision{} &&
         Advance(confirmation, as_of, now);
}

bool ConfirmByPeer(Confirmation& confirmation, Revision in_force,
                   const ConfirmationMessage& answer, TimePoint now) {
  // This process has sent no question before the origin of its clock or after
  // now.
  const bool own_question = answer.asked.process == confirmation.process &&
                            answer.asked.at >= TimePoint{} &&
                            answer.asked.at <= now;
  if (!own_question || !answer.confirmed ||
      answer.confirmed->age < Duration::zero() ||
      in_force < answer.confirmed->version || in_force == Revision{}) {
    return false;
  }
  return Advance(confirmation, answer.asked.at - answer.confirmed->age, now);
}

bool StartRoundOfQuestions(Confirmation& confirmation, TimePoint now) {
  const auto age = ConfirmationAge(confirmation, now);
  const bool recent =
      age && *age < confirmation.longest_age * kQuestionFraction;
  if (!IsStrict(confirmation) || recent ||
      now < confirmation.next_question_at) {
    return false;
  }
  confirmation.next_question_at =
      now + (AcceptsKeys(confirmation, now) ? kQuestionInterval
                                            : kOutageQuestionInterval);
  ++confirmation.round;
  return true;
}

ConfirmationMessage MakeQuestion(const Confirmation& confirmation,
                                 TimePoint now) {
  return {{confirmation.process, now}, std::nullopt};
}

std::optional<ConfirmationMessage> AnswerQuestion(
    const Confirmation& confirmation, Revision in_force,
    const ConfirmationMessage& question, TimePoint now) {
  const auto age = ConfirmationAge(confirmation, now);
  if (!IsStrict(confirmation) || !age || *age > confirmation.longest_age ||
      in_force == Revision{}) {
    return std::nullopt;
  }
  return ConfirmationMessage{question.asked, ConfirmedVersion{in_force, *age}};
}

}  // namespace mimosagauge
