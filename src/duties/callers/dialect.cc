// The default interface towards callers.

#include "mimosagauge/impl/duties/callers/dialect.h"

#include "mimosagauge/impl/duties/callers/answer_text.h"

namespace mimosagauge {
namespace {

// Local resources have paths that differ from those of upstreams, so every
// listener serves both.
[[nodiscard]] CallerRequest ReadHeader(
    const boost::beast::http::request_header<>& header,
    const Settings& settings, const AccountRegistry& accounts,
    ListenerKind /*listener*/) {
  return ReadCallerHeader(header, settings, accounts);
}

}  // namespace

const CallerDialect& DefaultCallerDialect() noexcept {
  static constexpr CallerDialect kDialect{
      &ReadHeader, &ReadCallerBody, &AnswerLocalRequest, &detail::TraceFields,
      &detail::ProblemFields};
  return kDialect;
}

}  // namespace mimosagauge
