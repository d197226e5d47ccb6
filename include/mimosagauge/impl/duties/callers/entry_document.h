// What an instance answers itself: its health, its metrics and the instances
// that callers should use.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_CALLERS_ENTRY_DOCUMENT_H_
#define MIMOSAGAUGE_IMPL_DUTIES_CALLERS_ENTRY_DOCUMENT_H_

#include <cstdint>
#include <span>
#include <string>

#include "mimosagauge/impl/decisions/once/fingerprint.h"
#include "mimosagauge/impl/decisions/view.h"
#include "mimosagauge/impl/duties/callers/request.h"

namespace mimosagauge {

/// \brief A whole answer of the instance itself.
struct OwnAnswer {
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;
};

/// \returns The answer for a resource from the newest view.
/// \param secrets Sign the ticket of the account; empty: no tickets.
[[nodiscard]] OwnAnswer AnswerFor(const OwnRequest& request,
                                  const InstanceView& view,
                                  std::span<const Authenticator> secrets);

/// \returns The instances to use, in JSON: `entries` in order of preference,
/// each with `address`, `instance`, `region` and `availability_zone`, and
/// `good_for_ms`; `ticket`, the prefix of idempotency keys that this instance
/// is to run, where there is one.
[[nodiscard]] std::string FormatEntries(const InstanceView& view,
                                        const std::string& ticket);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_CALLERS_ENTRY_DOCUMENT_H_
