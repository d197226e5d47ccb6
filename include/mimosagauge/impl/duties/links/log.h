// Log entries about the ends of links.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_LINKS_LOG_H_
#define MIMOSAGAUGE_IMPL_DUTIES_LINKS_LOG_H_

#include <string>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/duties/links/connection.h"

namespace mimosagauge {

/// \brief Logs why a link ended; nothing when this process stopped it.
/// \param peer The other instance, or its address when that is all there is.
void LogLinkEnd(LinkEnd why, const std::string& peer, const Error& error);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_LINKS_LOG_H_
