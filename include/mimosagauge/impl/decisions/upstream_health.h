// Whether an upstream is left alone for a while, by what its answers show.
//
// Patterns: an upstream that fails all it gets (in a row); one that fails a
// part of it while its health check is good (a share, of what all instances of
// the region see); one that is full and says so (a rest, no failure).

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_UPSTREAM_HEALTH_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_UPSTREAM_HEALTH_H_

#include <cstddef>
#include <cstdint>

#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief What the answers of one upstream have shown.
struct UpstreamHealth {
  std::size_t failures = 0;    ///< Own ones in a row, without an answer.
  double answered = 0;         ///< By all instances, fading with time.
  double failed = 0;           ///< The same.
  double untold_answered = 0;  ///< Own, not yet told to others; fading too.
  double untold_failed = 0;    ///< The same.
  TimePoint faded_at{};        ///< When all these were last brought up to date.
  Duration ejection{};         ///< Length of the last one; zero: none.
  TimePoint ejected_until{};   ///< Gets no new work before.
  Duration rest{};             ///< Length of the last one; zero: none.
  TimePoint rests_until{};     ///< Full; gets no new work before.
};

/// \brief How a request failed by its upstream.
enum class UpstreamFailure : std::uint8_t {
  kNoAnswer,     ///< Reset, silent, cut off, or not HTTP.
  kErrorAnswer,  ///< An answer that says so; counts in the share alone, for
                 ///< some requests are wrong in themselves.
};

/// \returns Whether it is neither ejected nor at rest.
[[nodiscard]] bool MayWork(const UpstreamHealth& health,
                           TimePoint now) noexcept;

/// \brief A request came to an answer that the upstream is responsible for.
void CountAnswer(UpstreamHealth& health, TimePoint now);

/// \brief A request failed by the upstream.
void CountFailure(UpstreamHealth& health, UpstreamFailure failure,
                  TimePoint now);

/// \brief Own outcomes of one upstream that the region has not been told.
struct UntoldOutcomes {
  std::uint32_t answered = 0;
  std::uint32_t failed = 0;
};
/// \returns Them, from then on told; none while nobody has seen it fail.
[[nodiscard]] UntoldOutcomes TakeUntold(UpstreamHealth& health, TimePoint now);

/// \brief Another instance of the region told what it saw since it told last.
void CountToldOutcomes(UpstreamHealth& health, const UntoldOutcomes& told,
                       TimePoint now);

/// \returns Whether what was seen is reason enough to eject it.
[[nodiscard]] bool DeservesEjection(const UpstreamHealth& health,
                                    TimePoint now);

/// \brief Ejects it, for twice as long as the last time.
void Eject(UpstreamHealth& health, TimePoint now);

/// \brief It refused a request because it is full: it gets nothing until some
/// of its places will be free, longer each time in a row.
/// \param service How long it takes for a request; zero: unknown.
void Rest(UpstreamHealth& health, Duration service, TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_UPSTREAM_HEALTH_H_
