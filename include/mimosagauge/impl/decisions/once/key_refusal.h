// Why a keyed call gets no answer from an upstream, and what its caller is
// told. The one place that decides the run state of such a refusal.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ONCE_KEY_REFUSAL_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ONCE_KEY_REFUSAL_H_

#include <cstdint>
#include <string_view>

#include "mimosagauge/impl/core/run_state.h"
#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

/// \brief Why a keyed call is refused.
///
/// To a keyed call `not_run` says that this content has not run under this
/// key and never will.
enum class KeyRefusal : std::uint8_t {
  kContentDiffers,    ///< The key is bound to another content.
  kMalformedKey,      ///< No instance accepts such a key.
  kForeignTicket,     ///< Its signature is not known here.
  kTicketExpired,     ///< Never received before its ticket expired.
  kForgotten,         ///< The record may have been forgotten.
  kTableFull,         ///< No room to remember another key.
  kTooManyWaiting,    ///< The key runs; enough calls wait for it.
  kOutcomeUnknown,    ///< It was sent; whether it ran is not known.
  kAnswerNotKept,     ///< It ran; its answer was too large to keep.
  kClosed,            ///< It was refused before it was sent, for good.
  kOwnerGone,         ///< The owner cannot be asked.
  kClaimUnavailable,  ///< The store cannot be asked, or has no room.
  kStopping,          ///< The owner stops and takes no new keys.
};

/// \returns What the refusal says about the run.
[[nodiscard]] RunState RunOf(KeyRefusal refusal) noexcept;

/// \returns The refusal as one word of the log.
[[nodiscard]] std::string_view ToString(KeyRefusal refusal) noexcept;

/// \returns What the caller is told.
[[nodiscard]] Problem ProblemFor(KeyRefusal refusal);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ONCE_KEY_REFUSAL_H_
