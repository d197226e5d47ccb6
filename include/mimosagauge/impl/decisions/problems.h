// The problem documents that callers are told, one function each.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_PROBLEMS_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_PROBLEMS_H_

#include <string>

#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

/// No rules are known yet.
[[nodiscard]] Problem NotReady();
/// Another instance passed a request on under a configuration that has not
/// come here yet.
[[nodiscard]] Problem OlderConfiguration();
/// \returns Whether an instance that answers so has tried no upstream.
[[nodiscard]] bool TookNothingIn(const Problem& problem);
/// No rule or path names a service for the request.
[[nodiscard]] Problem NoService(const RequestHead& head);
/// The request must stay in regions that cannot serve it now.
[[nodiscard]] Problem ResidencyUnserved(const RequestHead& head, RunState run);
/// Nothing that may serve the request is there.
[[nodiscard]] Problem NoCapacity(const RequestHead& head, RunState run);
/// Too much waits already.
[[nodiscard]] Problem Overloaded(RunState run);
/// The request has passed this instance or too many places already.
[[nodiscard]] Problem PathRefused(const RequestHead& head);
/// The answer did not come in time.
[[nodiscard]] Problem DueTimePassed(RunState run);
/// An attempt failed and may not be repeated.
[[nodiscard]] Problem AttemptsFailed(const std::string& detail, RunState run);
/// \returns When a caller that has so much time left is to come back: soon
/// enough to be served then.
[[nodiscard]] Duration RetryAfter(Duration left);
/// \brief Makes the status say no more than is known: one that promises that
/// the request was not run goes with no other run state, and the reverse.
void KeepPromise(Problem& problem);
/// The instance stops.
[[nodiscard]] Problem Stopping(RunState run);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_PROBLEMS_H_
