// Errors as typed kinds whose messages name the remedy, and the result type
// that carries them.

#ifndef MIMOSAGAUGE_IMPL_CORE_ERROR_H_
#define MIMOSAGAUGE_IMPL_CORE_ERROR_H_

#include <boost/outcome/result.hpp>
#include <cstdint>
#include <string>

namespace mimosagauge {

/// \brief What went wrong, by who can mend it.
enum class ErrorKind : std::uint8_t {
  kInvalidSettings,  ///< A settings file does not hold.
  kInvalidRules,     ///< A rules text does not hold.
  kInvalidInput,     ///< Bytes from outside do not parse or are too large.
  kUnauthenticated,  ///< The other side did not prove who it is.
  kConflict,         ///< Somebody else changed the same thing meanwhile.
  kNotFound,         ///< The thing named does not exist.
  kUnavailable,      ///< The other side cannot be reached now.
  kTimeout,          ///< The other side did not answer in time.
  kOverloaded,       ///< A bound has been reached.
  kUnknownOutcome,   ///< The act may or may not have taken effect.
  kUnsupported,      ///< The other side speaks no common version.
  kInternal,         ///< An invariant of this program does not hold.
};

/// \brief A failure and what to do about it.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;  ///< What happened, a sentence without a full stop.
  std::string remedy;   ///< What the reader can do, an imperative.
};

/// \returns The kind in lower-case words, for logs and problem documents.
[[nodiscard]] std::string ToString(ErrorKind kind);
/// \returns Message and remedy on one line.
[[nodiscard]] std::string ToString(const Error& error);

/// \brief A value of type `T`, or an `Error`.
template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::all_narrow>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_CORE_ERROR_H_
