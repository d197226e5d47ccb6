// A gateway under an operators' configuration, driven event by event.

#ifndef TESTS_SUPPORT_FLEET_GATEWAY_H_
#define TESTS_SUPPORT_FLEET_GATEWAY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mimosagauge/impl/decisions/gateway.h"

namespace mimosagauge::testing {

/// \brief What a test's request asks for.
struct FleetRequest {
  std::string path = "/quote/one";
  Origin origin = Origin::kCaller;
  Duration remaining = std::chrono::seconds(10);
  Prompt prompt;
  std::size_t runs = 0;  ///< Elsewhere, before; from another instance only.
  Revision revision{1};  ///< Of the sender; from another instance only.
  std::string digest{};  ///< Of method, target and body; empty: none.
  std::string id{};      ///< Empty: derived from its number.
};

/// \brief One instance of region `nairobi`, `nairobi-1` by default, that knows
/// a configuration with the routes `/quote/` (stream, not repeatable, engines),
/// `/size/` (stream that resumes, two attempts, engines) and `/status/`
/// (idempotent, two attempts, plain service) and `/deposit/` (not repeatable,
/// plain service).
class FleetGateway {
 public:
  /// \param just_started Whether its retry budgets are empty; otherwise they
  /// are full, as after a time without failures.
  /// \param region Its region, and with `-a` appended its zone.
  explicit FleetGateway(const std::string& instance = "nairobi-1",
                        bool just_started = false,
                        const std::string& region = "nairobi");

  /// \brief Gives it an event; time stands still.
  std::vector<Effect> Give(Event event);
  /// \brief Lets time pass and ticks.
  std::vector<Effect> Pass(Duration duration);

  /// \brief An upstream of `engines` or `desk` appears or changes.
  std::vector<Effect> Upstream(const std::string& id,
                               const std::string& service, bool leaving = false,
                               Duration cold = {},
                               const std::string& zone = "nairobi-a");
  /// \brief Another instance appears, and its link comes up.
  void Instance(const std::string& id, const std::string& region);

  /// \returns Its number and what it led to.
  std::pair<RequestNumber, std::vector<Effect>> Request(
      const FleetRequest& request);
  /// \brief The upstream answers with a status, whole at once.
  std::vector<Effect> Answer(AttemptNumber attempt, std::uint16_t status = 200,
                             bool stream = false);
  std::vector<Effect> Fail(AttemptNumber attempt, RunState run,
                           ErrorKind kind = ErrorKind::kUnavailable);

  [[nodiscard]] Gateway& gateway() noexcept { return gateway_; }
  [[nodiscard]] TimePoint now() const noexcept { return now_; }
  /// \returns The configuration, of a revision.
  [[nodiscard]] static RouteCatalogue Catalogue(std::uint64_t revision);

 private:
  TimePoint now_{std::chrono::seconds(1000)};
  Gateway gateway_;
  std::uint64_t next_number_ = 2;
};

/// \returns The first effect of the kind, also within those for the duties.
template <typename Kind>
[[nodiscard]] std::optional<Kind> Find(const std::vector<Effect>& effects) {
  std::optional<Kind> found;
  const auto take = [&found](const auto& inner) {
    std::visit(
        [&found](const auto& typed) {
          if constexpr (std::is_same_v<std::decay_t<decltype(typed)>, Kind>) {
            if (!found) {
              found = typed;
            }
          }
        },
        inner);
  };
  for (const Effect& effect : effects) {
    if (const auto* callers = std::get_if<ForCallers>(&effect)) {
      take(callers->effect);
    } else if (const auto* upstreams = std::get_if<ForUpstreams>(&effect)) {
      take(upstreams->effect);
    } else if (const auto* links = std::get_if<ForLinks>(&effect)) {
      take(links->effect);
    } else if constexpr (std::is_same_v<Kind, WriteLog> ||
                         std::is_same_v<Kind, Finished> ||
                         std::is_same_v<Kind, StopAccepting>) {
      if (const auto* own = std::get_if<Kind>(&effect); own && !found) {
        found = *own;
      }
    }
  }
  return found;
}

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_FLEET_GATEWAY_H_
