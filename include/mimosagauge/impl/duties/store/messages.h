// Messages between the operators duty and the platform duty: edits of the rules
// and their outcomes.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_STORE_MESSAGES_H_
#define MIMOSAGAUGE_IMPL_DUTIES_STORE_MESSAGES_H_

#include <cstdint>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/store/rules_change.h"

namespace mimosagauge {

/// \brief Command to execute an operator's edit of the rules.
struct RulesEditCommand {
  std::uint64_t number = 0;  ///< Copied into the reply, to match the two.
  RulesEdit edit;
  /// Revision of the rules in force on this instance; the edit's revision will
  /// be greater.
  Revision in_force;
};

/// \brief Outcome of an edit. Exactly one is posted for each
/// `RulesEditCommand`, unless the platform duty stops before.
struct RulesEditReply {
  std::uint64_t number = 0;  ///< Number of the `RulesEditCommand`.
  RulesOutcome outcome;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_STORE_MESSAGES_H_
