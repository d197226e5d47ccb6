// The queries that ask a running instance.

#ifndef MIMOSAGAUGE_IMPL_QUERIES_LIVE_H_
#define MIMOSAGAUGE_IMPL_QUERIES_LIVE_H_

#include <string>
#include <string_view>
#include <vector>

namespace mimosagauge {

/// Begins the line that names the revision in what `rules show` prints.
inline constexpr std::string_view kRevisionLine = "# revision: ";

/// \brief `rules show`: prints the rules in force on an instance.
[[nodiscard]] int RulesShow(const std::vector<std::string>& words);
/// \brief `rules status`: prints which revision is in force where.
[[nodiscard]] int RulesStatus(const std::vector<std::string>& words);
/// \brief `instances`: prints the instances that callers may use.
[[nodiscard]] int Instances(const std::vector<std::string>& words);
/// \brief `upstreams`: prints the upstreams of an instance.
[[nodiscard]] int Upstreams(const std::vector<std::string>& words);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_QUERIES_LIVE_H_
