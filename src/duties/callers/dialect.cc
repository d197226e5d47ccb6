// The product's own interface towards callers.

#include "mimosagauge/impl/duties/callers/dialect.h"

#include "mimosagauge/impl/duties/callers/answer_text.h"

namespace mimosagauge {
namespace {

// Own resources have paths of their own, so every listener serves all.
[[nodiscard]] CallerRequest ReadHeader(
    const boost::beast::http::request_header<>& header,
    const Settings& settings, const AccountBook& accounts,
    ListenerKind /*listener*/) {
  return ReadCallerHeader(header, settings, accounts);
}

}  // namespace

const CallerDialect& OwnCallerDialect() noexcept {
  static constexpr CallerDialect kDialect{&ReadHeader, &ReadCallerBody,
                                          &AnswerFor, &detail::TraceFields,
                                          &detail::ProblemFields};
  return kDialect;
}

}  // namespace mimosagauge
