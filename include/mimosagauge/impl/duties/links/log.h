// Log entries about closed links.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_LINKS_LOG_H_
#define MIMOSAGAUGE_IMPL_DUTIES_LINKS_LOG_H_

#include <string>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/duties/links/connection.h"

namespace mimosagauge {

/// \brief Logs why a link was closed; logs nothing when this process closed it.
/// \param peer The other instance, or its address before it has sent its
/// greeting.
void LogLinkClosed(LinkCloseReason reason, const std::string& peer,
                   const Error& error);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_LINKS_LOG_H_
