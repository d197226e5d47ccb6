// The JSON documents that operators read and write.

#ifndef MIMOSAGAUGE_SRC_DUTIES_OPERATORS_DOCUMENTS_H_
#define MIMOSAGAUGE_SRC_DUTIES_OPERATORS_DOCUMENTS_H_

#include <string>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/decisions/view.h"
#include "mimosagauge/impl/duties/operators/duty.h"
#include "mimosagauge/impl/settings/settings.h"
#include "mimosagauge/impl/store/rules_change.h"

namespace mimosagauge::detail {

/// \returns A problem document (RFC 9457) that describes the error.
[[nodiscard]] OperatorAnswer ProblemAnswer(unsigned status, const Error& error);

/// \returns The rules in force on this instance, or a 404 problem when there
/// are none.
[[nodiscard]] OperatorAnswer RulesAnswer(const InstanceView& view);
/// \returns The revision in force and its age in milliseconds, for every
/// instance in the settings or the view; both are null when they are unknown.
[[nodiscard]] OperatorAnswer RulesStatusAnswer(const Settings& settings,
                                               const InstanceView& view);
[[nodiscard]] OperatorAnswer InstancesAnswer(const Settings& settings,
                                             const InstanceView& view);
[[nodiscard]] OperatorAnswer UpstreamsAnswer(const InstanceView& view);
/// \returns The result of an edit: the new revision, or a problem document.
[[nodiscard]] OperatorAnswer OutcomeAnswer(const RulesOutcome& outcome);

/// \returns The edit that a request body describes, or `kInvalidInput` when the
/// body is not a valid edit.
[[nodiscard]] Result<RulesEdit> DecodeEdit(const std::string& body);

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_SRC_DUTIES_OPERATORS_DOCUMENTS_H_
