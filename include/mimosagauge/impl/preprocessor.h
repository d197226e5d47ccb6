// The one place for configuration macros.
//
// Every compile-time switch of the project is defined here with its default;
// other headers test these macros and define none of their own.

#ifndef MIMOSAGAUGE_IMPL_PREPROCESSOR_H_
#define MIMOSAGAUGE_IMPL_PREPROCESSOR_H_

#define MIMOSAGAUGE_VERSION_MAJOR 0
#define MIMOSAGAUGE_VERSION_MINOR 1
#define MIMOSAGAUGE_VERSION_PATCH 0
#define MIMOSAGAUGE_VERSION_STRING "0.1.0"

#endif  // MIMOSAGAUGE_IMPL_PREPROCESSOR_H_
