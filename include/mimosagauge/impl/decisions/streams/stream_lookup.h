// The search for the version that began a stream which a caller resumes here:
// which instances were asked, whether the store is to show that only one
// version has run, and who waits for the result.
//
// A stream's origin is a fact that never changes, so the first instance that
// knows it ends the search. That only one version ran is a conclusion: it needs
// an answer of the store to a call sent after the caller's request arrived, and
// is never passed on to another instance.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_STREAMS_STREAM_LOOKUP_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_STREAMS_STREAM_LOOKUP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// \brief Who is asked for the origin of a stream.
enum class LookupStage : std::uint8_t {
  kOwnRegion,  ///< The instances of this region that keep it.
  /// Instances of the other regions, which ask in their regions, and the store.
  kBeyond,
};

/// \brief The search for the origin of one stream.
struct StreamLookup {
  ServiceId service;
  LookupStage stage = LookupStage::kOwnRegion;
  std::set<InstanceId> awaited;  ///< Instances that have not answered.
  /// When the last of `requests` arrived.
  TimePoint arrived{};
  /// Whether an answer of the store that covers `arrived` is awaited.
  bool awaits_store = false;
  TimePoint deadline{};                 ///< When this stage ends.
  std::vector<RequestNumber> requests;  ///< Requests that resume the stream.
  std::vector<InstanceId> askers;  ///< Instances of other regions that asked.
};

/// \brief The searches in progress.
struct StreamLookups {
  std::map<RequestId, StreamLookup> open;
  /// One element for each search, at its deadline.
  std::set<std::pair<TimePoint, RequestId>> deadlines;
};

/// \returns The search for the origin of the stream, or null. The pointer is
/// valid until the search ends.
[[nodiscard]] StreamLookup* FindLookup(StreamLookups& lookups,
                                       const RequestId& stream);

/// \brief Starts a search.
/// \returns The search; valid until it ends.
StreamLookup& OpenLookup(StreamLookups& lookups, const RequestId& stream,
                         const ServiceId& service);

/// \brief Sets when the present stage of the search ends.
void SetDeadline(StreamLookups& lookups, const RequestId& stream,
                 StreamLookup& lookup, TimePoint deadline);

/// \returns Whether an answer is still awaited in this stage.
[[nodiscard]] bool IsAwaiting(const StreamLookup& lookup) noexcept;

/// \brief Ends a search.
/// \returns Who waited for it.
[[nodiscard]] StreamLookup CloseLookup(StreamLookups& lookups,
                                       const RequestId& stream);

/// \returns A search whose stage is over at `now`, if any.
[[nodiscard]] std::optional<RequestId> FirstDue(const StreamLookups& lookups,
                                                TimePoint now);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_STREAMS_STREAM_LOOKUP_H_
