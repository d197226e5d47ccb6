// Includes the generated code of src/wire/streams.fbs without its
// warnings. Regenerate: flatc --cpp --cpp-std c++17 -o
// include/mimosagauge/impl/wire src/wire/streams.fbs

#ifndef MIMOSAGAUGE_IMPL_WIRE_STREAMS_SCHEMA_H_
#define MIMOSAGAUGE_IMPL_WIRE_STREAMS_SCHEMA_H_

#pragma GCC system_header

#include "mimosagauge/impl/wire/streams_generated.h"

#endif  // MIMOSAGAUGE_IMPL_WIRE_STREAMS_SCHEMA_H_
