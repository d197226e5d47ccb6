// Answers that an instance makes itself: its health, its readiness, its metrics
// and the instances that callers should use.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_ENTRY_DOCUMENT_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_ENTRY_DOCUMENT_H_

#include <cstdint>
#include <span>
#include <string>

#include "mimosagauge/impl/decisions/once/fingerprint.h"
#include "mimosagauge/impl/decisions/view.h"
#include "mimosagauge/impl/duties/callers/request.h"

namespace mimosagauge {

/// \brief A complete answer that the instance makes itself.
struct LocalAnswer {
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;
};

/// \param view The state of the instance that the answer is made from.
/// \param ticket_secrets Keys that sign the account's ticket. When empty, the
/// answer has no ticket.
/// \returns The answer to a request for a local resource.
[[nodiscard]] LocalAnswer AnswerLocalRequest(
    const LocalRequest& request, const InstanceView& view,
    std::span<const Authenticator> ticket_secrets);

/// \param ticket The ticket to include; none when empty.
/// \returns A JSON document with the instances that callers should use:
/// `entries`, in order of preference, each with `address`, `instance`, `region`
/// and `availability_zone`; `good_for_ms`, the milliseconds for which the list
/// is valid; and, if there is one, `ticket`, the prefix for idempotency keys
/// whose requests this instance is to run.
[[nodiscard]] std::string FormatEntryDocument(const InstanceView& view,
                                              const std::string& ticket);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_ENTRY_DOCUMENT_H_
