// Carries out one edit of the rules against the store: read, plan, compare
// and swap, and read back when an answer was lost.

#ifndef MIMOSAGAUGE_IMPL_STORE_RULES_WRITER_H_
#define MIMOSAGAUGE_IMPL_STORE_RULES_WRITER_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "mimosagauge/impl/store/rules_change.h"
#include "mimosagauge/impl/store/store_client.h"

namespace mimosagauge {

/// \brief Bounds of one edit.
struct RulesWriterSettings {
  std::string prefix;  ///< Of the store's keys.
  Duration timeout = std::chrono::seconds(20);
  Duration pause = std::chrono::milliseconds(100);  ///< Before another try.
};

using RulesOutcomeHandler = std::function<void(RulesOutcome&&)>;

/// \brief Carries out an edit.
/// \param store Once it is destroyed the edit ends without its handler.
/// \param in_force The new revision is greater than this.
/// \param handler Called exactly once, unless `store` is destroyed.
void WriteRulesEdit(boost::asio::io_context& io_context,
                    const std::shared_ptr<StoreClient>& store,
                    const RulesWriterSettings& settings, RulesEdit edit,
                    Revision in_force, RulesOutcomeHandler handler);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_STORE_RULES_WRITER_H_
