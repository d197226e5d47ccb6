// When other instances are asked for the newest configuration. The polls of the
// store are timed by it too.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ACCOUNTS_QUESTION_AGE_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ACCOUNTS_QUESTION_AGE_H_

namespace mimosagauge {

/// Other instances are asked from this fraction of the largest age of a
/// confirmation on. While all polls of the store are answered, the age stays
/// below it; see the sum in docs/design/011-accounts.md.
inline constexpr double kQuestionFraction = 0.75;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ACCOUNTS_QUESTION_AGE_H_
