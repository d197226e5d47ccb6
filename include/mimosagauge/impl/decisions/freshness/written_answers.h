// Responses that the decisions have completed and that a duty still has to
// write to a caller or to another instance.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_FRESHNESS_WRITTEN_ANSWERS_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_FRESHNESS_WRITTEN_ANSWERS_H_

#include <cstddef>
#include <cstdint>
#include <unordered_set>

#include "mimosagauge/impl/core/ids.h"

namespace mimosagauge {

/// \brief How the writing of one response ended.
struct WrittenAnswer {
  RequestNumber number;
  bool whole = true;  ///< Its last byte was written; false: its receiver
                      ///< disconnected before.
};

/// \brief Bookkeeping of the responses that are not written yet.
///
/// Each response is added once, with its last effect, and removed by the
/// report of the duty or by the abandonment of its request. Its size is
/// bounded by the duties' connections.
struct WrittenAnswers {
  std::unordered_set<RequestNumber> unwritten;
  std::uint64_t cut = 0;  ///< Responses whose receiver disconnected before
                          ///< their last byte was written.
};

/// \brief Records that the last effect of a response was emitted.
void AddUnwritten(WrittenAnswers& answers, RequestNumber number);

/// \brief Records that the writing of a response has ended. Reports of unknown
/// responses are ignored, since the request may have been abandoned before.
void RemoveUnwritten(WrittenAnswers& answers, const WrittenAnswer& written);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_FRESHNESS_WRITTEN_ANSWERS_H_
