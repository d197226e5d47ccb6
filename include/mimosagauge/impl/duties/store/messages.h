// What the operators duty asks of the platform duty, and its answers.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_STORE_MESSAGES_H_
#define MIMOSAGAUGE_IMPL_DUTIES_STORE_MESSAGES_H_

#include <cstdint>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/store/rules_change.h"

namespace mimosagauge {

/// \brief Carry out an operator's edit of the rules.
struct ChangeRules {
  std::uint64_t number = 0;  ///< Comes back with the outcome.
  RulesEdit edit;
  Revision in_force;  ///< On this instance; the new revision is greater.
};

/// \brief How an edit went. Exactly one for each `ChangeRules`.
struct RulesChanged {
  std::uint64_t number = 0;
  RulesOutcome outcome;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_STORE_MESSAGES_H_
