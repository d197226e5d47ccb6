// What instances tell each other of their load, so that those with the same
// upstreams neither all choose the same one nor read a prompt twice, and so
// that other regions know what they would find.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_LOAD_DIGEST_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_LOAD_DIGEST_H_

#include <cstdint>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/request.h"
#include "mimosagauge/impl/decisions/upstream_health.h"

namespace mimosagauge {

/// \brief An upstream's name in digests, shorter than its id.
using UpstreamMark = StrongNumber<struct UpstreamMarkTag>;

/// \returns The same on every instance.
[[nodiscard]] UpstreamMark MarkOf(const UpstreamId& upstream) noexcept;

/// \brief What one instance has at one upstream of its region.
struct UpstreamShare {
  UpstreamMark upstream;
  std::uint32_t in_flight = 0;
  std::uint32_t unread_tokens = 0;  ///< Of prompts that it has not begun.
  std::uint32_t sent_tokens = 0;    ///< Given to it since the last digest.
};

/// \brief How one instance's attempts at one upstream ended, told while some of
/// them fail.
struct UpstreamOutcomes {
  UpstreamMark upstream;
  UntoldOutcomes outcomes;
};

/// \brief A prompt part that an engine has been given to read.
struct PartRead {
  UpstreamMark upstream;
  PromptPart part;
};

/// \brief What a region's upstreams of one service could do for others.
struct ServiceOffer {
  ServiceId service;
  std::uint32_t usable = 0;  ///< Upstreams that may get work.
  Duration start{};          ///< Until a short request's answer begins.
  double reading = 0;        ///< Part of the time spent reading prompts, 0-1.
};

/// \brief One instance's word about its load.
struct LoadDigest {
  /// Newest change of the platform's store that the instance has been told.
  std::uint64_t store_seen = 0;
  /// For instances of its region; an upstream that is missing has nothing.
  std::vector<UpstreamShare> shares;
  std::vector<PartRead> parts;               ///< For instances of its region.
  std::vector<ServiceOffer> offers;          ///< For those of other regions.
  std::vector<UpstreamOutcomes> outcomes{};  ///< For those of its region.
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_LOAD_DIGEST_H_
