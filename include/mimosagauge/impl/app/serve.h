// The subcommand that runs an instance.

#ifndef MIMOSAGAUGE_IMPL_APP_SERVE_H_
#define MIMOSAGAUGE_IMPL_APP_SERVE_H_

#include <string>
#include <vector>

namespace mimosagauge {

/// \brief `serve --settings FILE`: runs one instance until it has stopped.
[[nodiscard]] int Serve(const std::vector<std::string>& words);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_APP_SERVE_H_
