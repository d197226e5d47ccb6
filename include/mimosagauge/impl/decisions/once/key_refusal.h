// Reasons for refusing a keyed call, and the problem that its caller receives.
// The run state of a refusal is decided here and nowhere else.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ONCE_KEY_REFUSAL_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ONCE_KEY_REFUSAL_H_

#include <cstdint>
#include <string_view>

#include "mimosagauge/impl/core/run_state.h"
#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

/// \brief Why a keyed call is refused.
///
/// For a keyed call, the run state `not_run` means that this content has not
/// run under this key and never will.
enum class KeyRefusal : std::uint8_t {
  kContentDiffers,    ///< The key was used with another content.
  kMalformedKey,      ///< The key is invalid on every instance.
  kUnverifiedTicket,  ///< The ticket's signature could not be verified.
  kTicketExpired,  ///< The key was first received after its ticket had expired.
  kRecordExpired,  ///< The key's record may have been removed already.
  kTableFull,      ///< The key table has no room for another key.
  /// The key is being claimed or run, and this call may not wait for it.
  kTooManyWaiting,
  kOutcomeUnknown,  ///< The request was sent; whether it ran is unknown.
  /// The request ran; its answer was too large to keep or incomplete.
  kAnswerNotKept,
  kClosed,  ///< The key was refused before it was sent and will never run.
  kOwnerUnreachable,  ///< The owner and its records cannot be reached.
  /// The store cannot be reached, or the slot has no room for the claim.
  kClaimUnavailable,
  kOwnerStopping,  ///< The owner is stopping and accepts no new keys.
};

/// \returns The run state that the caller receives with this refusal.
[[nodiscard]] RunState RunStateOf(KeyRefusal refusal) noexcept;

/// \returns The name of the refusal in logs, which is also its problem type.
[[nodiscard]] std::string_view ToString(KeyRefusal refusal) noexcept;

/// \returns The problem that the caller receives.
[[nodiscard]] Problem ProblemFor(KeyRefusal refusal);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ONCE_KEY_REFUSAL_H_
