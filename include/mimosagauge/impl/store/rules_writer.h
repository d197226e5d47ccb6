// Executes one edit of the rules against the store: reads the rules, computes
// the new ones, writes them by compare-and-swap, and reads them back when an
// answer was lost.

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

/// \brief Key prefix and time limits of one edit.
struct RulesWriterSettings {
  std::string prefix;  ///< Prefix of this product's keys in the store.
  /// Time limit of the edit, including its retries.
  Duration timeout = std::chrono::seconds(20);
  /// Delay before the next attempt after a failed call.
  Duration retry_delay = std::chrono::milliseconds(100);
};

using RulesOutcomeHandler = std::function<void(RulesOutcome&&)>;

/// \brief Executes an edit.
/// \param store Client to use. Once it is destroyed, the edit ends without a
/// call of its handler.
/// \param in_force Revision in force; the new revision is greater.
/// \param handler Called exactly once, unless `store` is destroyed.
void ExecuteRulesEdit(boost::asio::io_context& io_context,
                      const std::shared_ptr<StoreClient>& store,
                      const RulesWriterSettings& settings, RulesEdit edit,
                      Revision in_force, RulesOutcomeHandler handler);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_STORE_RULES_WRITER_H_
