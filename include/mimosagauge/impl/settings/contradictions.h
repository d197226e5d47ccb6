// Checks on settings as a whole, after each value has been read.

#ifndef MIMOSAGAUGE_IMPL_SETTINGS_CONTRADICTIONS_H_
#define MIMOSAGAUGE_IMPL_SETTINGS_CONTRADICTIONS_H_

#include "mimosagauge/impl/settings/section.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge::detail {

/// \brief Adds a fault for each pair of values that cannot both hold and for
/// each value out of range.
/// \param settings As read; values with a fault of their own are empty.
void FindContradictions(const Settings& settings, SettingsReport& report);

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_SETTINGS_CONTRADICTIONS_H_
