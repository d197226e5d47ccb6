// Bookkeeping of the responses that the duties still have to write.

#include "mimosagauge/impl/decisions/freshness/written_answers.h"

namespace mimosagauge {

void AddUnwritten(WrittenAnswers& answers, RequestNumber number) {
  answers.unwritten.insert(number);
}

void RemoveUnwritten(WrittenAnswers& answers, const WrittenAnswer& written) {
  if (answers.unwritten.erase(written.number) > 0 && !written.whole) {
    ++answers.cut;
  }
}

}  // namespace mimosagauge
