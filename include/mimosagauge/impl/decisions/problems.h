// Problem documents (RFC 9457) that requests are answered with, one function
// for each type.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_PROBLEMS_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_PROBLEMS_H_

#include <string>

#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

/// This instance has received no rules or configuration yet.
[[nodiscard]] Problem NotReady();
/// Another instance forwarded the request under a configuration newer than the
/// one in force here.
[[nodiscard]] Problem OlderConfiguration();
/// \returns Whether an instance that answers with this problem refused the
/// request before it tried any upstream.
[[nodiscard]] bool IsRefusedBeforeAttempt(const Problem& problem);
/// No rule, route or path names a service for the request.
[[nodiscard]] Problem NoService(const RequestHead& head);
/// The rules restrict the request to regions that cannot serve it now.
[[nodiscard]] Problem ResidencyUnserved(const RequestHead& head, RunState run);
/// No upstream that may serve the request is available.
[[nodiscard]] Problem NoCapacity(const RequestHead& head, RunState run);
/// Too many requests are in progress or waiting, or the request could not be
/// answered in time because of them.
[[nodiscard]] Problem Overloaded(RunState run);
/// The request has already passed this instance, or too many instances and
/// upstreams.
[[nodiscard]] Problem PathRefused(const RequestHead& head);
/// The request was not answered by its due time.
[[nodiscard]] Problem DueTimePassed(RunState run);
/// An attempt failed and may not be retried.
/// \param detail The error of the last attempt.
[[nodiscard]] Problem AttemptsFailed(const std::string& detail, RunState run);
/// \param left The time until the request is due.
/// \returns The delay after which the caller should retry, short enough that
/// the request can still be served in time: from 50 ms to 1 s.
[[nodiscard]] Duration RetryAfter(Duration left);
/// \brief Makes the problem's status consistent with its run state.
///
/// A status that means that the request was not run is replaced by 502 if it
/// may have run, and 502 or 504 is replaced by 503 if it was not run.
void MatchStatusToRunState(Problem& problem);
/// The instance is shutting down.
[[nodiscard]] Problem Stopping(RunState run);

/// The request has no key of an account, or one that no account has.
[[nodiscard]] Problem Unauthenticated(bool has_key);
/// The configuration in force is not known to be recent enough to decide about
/// keys.
[[nodiscard]] Problem ConfigurationUnconfirmed();
/// It is not known which software version began the stream that the request
/// resumes.
[[nodiscard]] Problem StreamOriginUnknown(RunState run);
/// The configuration in force does not contain the account of a request that
/// was authenticated before.
[[nodiscard]] Problem AccountGone(RunState run);
/// The home regions of the request's route and of its account have no region in
/// common.
[[nodiscard]] Problem NoCommonRegion(const RequestHead& head, RunState run);

/// The request's account is beyond its allowance.
/// \param retry_after The time until the request would be admitted.
[[nodiscard]] Problem AllowanceExceeded(Duration retry_after);
/// It cannot be found out whether the account is beyond its allowance.
[[nodiscard]] Problem AllowanceNotKnown(Duration retry_after);

/// Requests with the same content have crashed upstreams. The status is 503 if
/// this request was not run, else 502.
/// \param remaining The time until requests with it are accepted again.
[[nodiscard]] Problem PoisonRefused(std::string detail, RunState run,
                                    Duration remaining);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_PROBLEMS_H_
