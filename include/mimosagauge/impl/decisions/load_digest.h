// Load digests that instances exchange. Instances of one region use them to
// avoid sending all requests to the same upstream and to avoid the prefill of
// one prompt on two engines; instances of other regions use them to estimate
// the latency of a request that they would forward.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_LOAD_DIGEST_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_LOAD_DIGEST_H_

#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/poison_news.h"
#include "mimosagauge/impl/decisions/request.h"
#include "mimosagauge/impl/decisions/upstream_health.h"

namespace mimosagauge {

/// \returns The hash of the upstream's id; the same on every instance.
[[nodiscard]] UpstreamHash HashUpstreamId(const UpstreamId& upstream) noexcept;

/// \brief Load of one instance at one upstream of its region.
struct UpstreamShare {
  UpstreamHash upstream;
  std::uint32_t in_flight = 0;      ///< Requests at the upstream.
  std::uint32_t unread_tokens = 0;  ///< Prompt tokens of requests whose
                                    ///< responses have not begun.
  std::uint32_t sent_tokens = 0;    ///< Prompt tokens sent to it since the
                                    ///< previous digest.
};

/// \brief Outcomes of one instance's attempts at one upstream; sent only while
/// some attempts at it fail.
struct UpstreamOutcomes {
  UpstreamHash upstream;
  UnreportedOutcomes outcomes;
};

/// \brief The rate limit that an upstream named in an answer, or its end.
struct LimitReport {
  UpstreamHash upstream;
  /// Requests per second that it accepts from all instances together; empty: it
  /// named no limit any more.
  std::optional<double> requests_per_second;
  Duration age{};  ///< Time since the answer.
};

/// \brief An upstream that is cold, as its store entry or a health response
/// stated to the sender.
struct ColdReport {
  UpstreamHash upstream;
  Incarnation incarnation;  ///< Of the process that is cold; zero: unknown.
  Duration remaining{};
};

/// \brief A start of an upstream's process that stated to the sender, in a
/// response, that it is leaving.
struct DepartureReport {
  UpstreamHash upstream;
  Incarnation incarnation;  ///< Zero: unknown.
};

/// \brief A prompt part that has been sent to an engine for prefill.
struct PartRead {
  UpstreamHash upstream;
  PromptPart part;
};

/// \brief Capacity and latency that a region's upstreams of one service offer
/// to requests from other regions.
struct ServiceOffer {
  ServiceId service;
  std::uint32_t usable = 0;  ///< Upstreams that may receive requests now.
  Duration start{};          ///< Estimated time until the response to a short
                             ///< request begins.
  double reading = 0;        ///< Fraction of the engines' time that is spent on
                             ///< prefill, from 0 to 1.
};

/// \brief A point in the history of the platform's store. Positions are ordered
/// by era first, since revisions are given out again when the store is restored
/// from an earlier copy.
struct StorePosition {
  std::uint64_t era = 0;  ///< Zero: the store does not state it.
  std::uint64_t revision = 0;

  [[nodiscard]] friend bool operator<(const StorePosition& a,
                                      const StorePosition& b) noexcept {
    return std::tie(a.era, a.revision) < std::tie(b.era, b.revision);
  }
};

/// \brief Load digest of one instance.
struct LoadDigest {
  /// The newest change in the platform's store that the instance has received.
  StorePosition store_seen;
  /// Sent to instances of its region. An upstream that is missing from the list
  /// has no load from this instance.
  std::vector<UpstreamShare> shares;
  /// Sent to instances of its region.
  std::vector<PartRead> parts;
  /// Sent to instances of other regions.
  std::vector<ServiceOffer> offers;
  /// Sent to instances of its region.
  std::vector<UpstreamOutcomes> outcomes{};
  /// Sent to instances of its region.
  std::vector<LimitReport> limits{};
  /// Sent to instances of all regions.
  PoisonNews poison{};
  /// Sent to instances of its region.
  std::vector<ColdReport> cold{};
  /// Sent to instances of its region.
  std::vector<DepartureReport> departures{};
  /// Whether the sender's calls to the store succeed.
  bool store_in_contact = false;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_LOAD_DIGEST_H_
