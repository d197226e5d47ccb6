// Which software version began each stream, so that a stream that broke off is
// resumed by that version only. An instance that begins a stream tells two
// instances of its region, chosen by the request's id, and one of each other
// region, which tells one more there; an instance at which a caller resumes it
// asks them.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_STREAMS_STREAM_ORIGINS_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_STREAMS_STREAM_ORIGINS_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"

namespace mimosagauge {

/// Longest time after its first event for which a stream can be resumed.
inline constexpr Duration kLongestResumption = std::chrono::minutes(5);

/// \brief The version that began the stream of a request.
struct StreamOrigin {
  RequestId request;  ///< The caller's attempt that brought the first event.
  SoftwareVersion software;
  /// Time for which the stream may still be resumed: until the deadline of its
  /// caller, which may be later than the time-out of its route.
  Duration remaining{};

  [[nodiscard]] friend bool operator==(const StreamOrigin&,
                                       const StreamOrigin&) = default;
};

/// \brief A question for the version that began a stream.
struct StreamQuestion {
  RequestId request;  ///< As in `StreamOrigin`.
  ServiceId service;

  [[nodiscard]] friend bool operator==(const StreamQuestion&,
                                       const StreamQuestion&) = default;
};

/// \brief Message between two instances about the origins of streams.
struct StreamMessage {
  /// Streams that were begun, or that the receiver asked for.
  std::vector<StreamOrigin> origins;
  std::vector<StreamQuestion> questions;
  /// Streams that the receiver asked for and whose origin is not known.
  std::vector<RequestId> unknown;

  [[nodiscard]] bool empty() const noexcept {
    return origins.empty() && questions.empty() && unknown.empty();
  }
  [[nodiscard]] friend bool operator==(const StreamMessage&,
                                       const StreamMessage&) = default;
};

/// \brief The origins that this instance knows.
///
/// `expiry` has one element for each time that an origin was recorded, and its
/// oldest are dropped first once there are `kCapacity`.
struct StreamOrigins {
  static constexpr std::size_t kCapacity = 65536;

  struct Known {
    SoftwareVersion software;
    TimePoint until;  ///< When the stream can no longer be resumed.
  };
  std::unordered_map<RequestId, Known> known;
  std::deque<std::pair<TimePoint, RequestId>> expiry;
};

/// \brief Records which version began a stream. What is known already is kept,
/// and its time is extended.
void RecordOrigin(StreamOrigins& origins, const StreamOrigin& origin,
                  TimePoint now);

/// \returns The origin of the stream; empty: it is not known.
[[nodiscard]] std::optional<StreamOrigin> FindOrigin(
    const StreamOrigins& origins, const RequestId& request, TimePoint now);

/// \brief Forgets streams that can no longer be resumed.
void ExpireOrigins(StreamOrigins& origins, TimePoint now);

/// \returns The instances of `candidates` that keep the origin of this stream,
/// in order of preference and at most `count`. Instances that know of the same
/// candidates choose the same ones.
[[nodiscard]] std::vector<InstanceId> KeepersOf(
    const RequestId& request, const std::vector<InstanceId>& candidates,
    std::size_t count);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_STREAMS_STREAM_ORIGINS_H_
