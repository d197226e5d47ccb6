// Texts of the error kinds.

#include "mimosagauge/impl/core/error.h"

#include <fmt/format.h>

namespace mimosagauge {

std::string ToString(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidSettings:
      return "invalid settings";
    case ErrorKind::kInvalidRules:
      return "invalid rules";
    case ErrorKind::kInvalidInput:
      return "invalid input";
    case ErrorKind::kUnauthenticated:
      return "unauthenticated";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kNotFound:
      return "not found";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kTimeout:
      return "timeout";
    case ErrorKind::kOverloaded:
      return "overloaded";
    case ErrorKind::kUnknownOutcome:
      return "unknown outcome";
    case ErrorKind::kUnsupported:
      return "unsupported";
    case ErrorKind::kInternal:
      return "internal";
  }
  return "internal";
}

std::string ToString(const Error& error) {
  if (error.remedy.empty()) {
    return error.message;
  }
  return fmt::format("{}; {}", error.message, error.remedy);
}

}  // namespace mimosagauge
