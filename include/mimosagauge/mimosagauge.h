// The public header: everything a program needs to check settings and rules
// and to drive the decisions under its own clock.

#ifndef MIMOSAGAUGE_MIMOSAGAUGE_H_
#define MIMOSAGAUGE_MIMOSAGAUGE_H_

#include "mimosagauge/impl/core/endpoint.h"
#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/run_state.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/core/units.h"
#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/decisions/gateway.h"
#include "mimosagauge/impl/decisions/request.h"
#include "mimosagauge/impl/forward_declarations.h"
#include "mimosagauge/impl/preprocessor.h"
#include "mimosagauge/impl/rules/explain.h"
#include "mimosagauge/impl/rules/rule_set.h"
#include "mimosagauge/impl/rules/verdict.h"
#include "mimosagauge/impl/settings/settings.h"

#endif  // MIMOSAGAUGE_MIMOSAGAUGE_H_
