// The numbered events of the log. docs/EVENTS.md lists the same, and a test
// holds the two to each other.

#ifndef MIMOSAGAUGE_IMPL_CORE_LOG_CATALOGUE_H_
#define MIMOSAGAUGE_IMPL_CORE_LOG_CATALOGUE_H_

#include <cstdint>
#include <span>
#include <string_view>

namespace mimosagauge {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// \brief One kind of log entry.
struct LogEvent {
  std::uint16_t number = 0;  ///< Never reused for another kind.
  LogLevel level = LogLevel::kInfo;
  std::string_view text;    ///< What happened.
  std::string_view remedy;  ///< What the reader can do; empty: nothing.
};

/// Numbers by part: 1xxx process, 2xxx callers, 3xxx upstreams, 4xxx links,
/// 5xxx platform, 6xxx rules, 7xxx membership, 8xxx decisions.
namespace log_events {

inline constexpr LogEvent kStarted{1001, LogLevel::kInfo, "instance started",
                                   ""};
inline constexpr LogEvent kDraining{1002, LogLevel::kInfo,
                                    "graceful shutdown began", ""};
inline constexpr LogEvent kStopped{1003, LogLevel::kInfo, "instance stopped",
                                   ""};
inline constexpr LogEvent kDrainTimeout{
    1004, LogLevel::kWarning, "graceful shutdown ran out of time",
    "raise limits.drain or look for requests that do not end"};

inline constexpr LogEvent kListening{2001, LogLevel::kInfo,
                                     "listening for callers", ""};
inline constexpr LogEvent kRequestRefused{
    2002, LogLevel::kWarning, "refused a request before it was read whole",
    "the detail says what the caller has to change"};
inline constexpr LogEvent kCallerLeft{
    2003, LogLevel::kInfo, "caller went away before its answer was complete",
    ""};
inline constexpr LogEvent kCallerStalled{
    2004, LogLevel::kWarning, "caller took no part of its answer for too long",
    "raise limits.idle_timeout if callers may pause that long"};
inline constexpr LogEvent kAnswerBrokenOff{
    2005, LogLevel::kWarning, "broke off an answer that had begun",
    "the detail says why; the caller sees a reset connection"};
inline constexpr LogEvent kAcceptFailed{
    2006, LogLevel::kError, "cannot accept a connection",
    "raise the limit on open files or lower limits.connections"};
inline constexpr LogEvent kFileLimit{
    2007, LogLevel::kWarning,
    "the limit on open files allows fewer connections than the settings",
    "raise the limit on open files or lower limits.connections"};

inline constexpr LogEvent kAttemptFailed{
    3001, LogLevel::kWarning, "an attempt at an upstream failed",
    "the error says what happened; look at the upstream"};

inline constexpr LogEvent kUpstreamEjected{
    8001, LogLevel::kWarning, "upstream gets no new work for a while",
    "look at the upstream; it failed several times in a row"};

}  // namespace log_events

/// \returns Every kind of log entry, by number.
[[nodiscard]] std::span<const LogEvent> LogCatalogue() noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_CORE_LOG_CATALOGUE_H_
