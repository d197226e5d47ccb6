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

namespace mimosagauge {

/// \brief What one instance has at one upstream of its region.
struct UpstreamShare {
  UpstreamId upstream;
  std::uint32_t in_flight = 0;
  std::uint32_t unread_tokens = 0;  ///< Of prompts that it has not begun.
  std::uint32_t sent_tokens = 0;    ///< Given to it since the last digest.
};

/// \brief A prompt part that an engine has been given to read.
struct PartRead {
  UpstreamId upstream;
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
  std::vector<UpstreamShare> shares;  ///< For instances of its region.
  std::vector<PartRead> parts;        ///< For instances of its region.
  std::vector<ServiceOffer> offers;   ///< For those of other regions.
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_LOAD_DIGEST_H_
