// What one instance knows and asks about the software versions that began
// streams.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_STREAMS_STREAM_CONTINUITY_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_STREAMS_STREAM_CONTINUITY_H_

#include <map>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/streams/software_history.h"
#include "mimosagauge/impl/decisions/streams/stream_lookup.h"
#include "mimosagauge/impl/decisions/streams/stream_origins.h"

namespace mimosagauge {

/// \brief A message that gathers what is to be sent to one instance.
struct QueuedStreamMessage {
  StreamMessage message;
  TimePoint send_at{};
};

/// \brief State of the continuity of streams.
struct StreamContinuity {
  SoftwareHistory history;
  StreamOrigins origins;
  /// Longest time that a caller of a stream was seen to have until its
  /// deadline.
  Duration longest_deadline{};
  StreamLookups lookups;
  /// When the store was last asked for an answer that covers the present.
  TimePoint store_asked_at{};
  /// A later request needs such an answer too; it is asked for after a pause.
  bool store_question_due = false;
  std::map<InstanceId, QueuedStreamMessage> outbox;  ///< By receiver.
  /// When the first message of `outbox` is sent; not used while it is empty.
  TimePoint send_at{};
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_STREAMS_STREAM_CONTINUITY_H_
