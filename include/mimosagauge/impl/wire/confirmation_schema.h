// Includes the generated code of src/wire/confirmation.fbs without its
// warnings. Regenerate: flatc --cpp --cpp-std c++17 -o
// include/mimosagauge/impl/wire src/wire/confirmation.fbs

#ifndef MIMOSAGAUGE_IMPL_WIRE_CONFIRMATION_SCHEMA_H_
#define MIMOSAGAUGE_IMPL_WIRE_CONFIRMATION_SCHEMA_H_

#pragma GCC system_header

#include "mimosagauge/impl/wire/confirmation_generated.h"

#endif  // MIMOSAGAUGE_IMPL_WIRE_CONFIRMATION_SCHEMA_H_
