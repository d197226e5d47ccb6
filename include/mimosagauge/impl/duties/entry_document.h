// What an instance answers itself: its health, its metrics and the instances
// that callers should use.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_ENTRY_DOCUMENT_H_
#define MIMOSAGAUGE_IMPL_DUTIES_ENTRY_DOCUMENT_H_

#include <cstdint>
#include <string>

#include "mimosagauge/impl/decisions/view.h"
#include "mimosagauge/impl/duties/caller_request.h"

namespace mimosagauge {

/// \brief A whole answer of the instance itself.
struct OwnAnswer {
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;
};

/// \returns The answer for a resource from the newest view.
[[nodiscard]] OwnAnswer AnswerFor(OwnResource resource,
                                  const InstanceView& view);

/// \returns The instances to use, in JSON: `entries` in order of preference,
/// each with `address`, `instance`, `region` and `availability_zone`, and
/// `good_for_ms`.
[[nodiscard]] std::string FormatEntries(const InstanceView& view);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_ENTRY_DOCUMENT_H_
