// What one instance knows and asks about the software versions that began
// streams.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_STREAMS_STREAM_CONTINUITY_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_STREAMS_STREAM_CONTINUITY_H_

#include <cstddef>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/streams/software_history.h"
#include "mimosagauge/impl/decisions/streams/stream_origins.h"

namespace mimosagauge {

/// \brief Progress of finding out which version began a resumed stream.
struct StreamLookup {
  bool settled = false;  ///< The version is known, or any may continue it.
  /// Instances that were asked and have not answered; at most 3.
  std::size_t open_questions = 0;
};

/// \brief State of the continuity of streams.
struct StreamContinuity {
  SoftwareHistory history;
  StreamOrigins origins;
  /// Longest time that a caller of a stream was seen to have until its
  /// deadline.
  Duration longest_deadline{};
  /// Requests that wait for an answer, and the streams that they resume. Each
  /// has an element in `deadlines`, and is erased when that is due at the
  /// latest.
  std::map<RequestNumber, RequestId> asking;
  /// When requests that wait for an answer are refused.
  std::set<std::pair<TimePoint, RequestNumber>> deadlines;
  /// Messages to be sent at `send_at`.
  std::map<InstanceId, StreamMessage> outbox;
  TimePoint send_at{};
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_STREAMS_STREAM_CONTINUITY_H_
