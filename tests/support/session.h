// A gateway state machine under a test's clock, with a readable record of
// every event that went in and every effect that came out.

#ifndef TESTS_SUPPORT_SESSION_H_
#define TESTS_SUPPORT_SESSION_H_

#include <string>
#include <string_view>
#include <vector>

#include "mimosagauge/impl/decisions/gateway.h"

namespace mimosagauge::testing {

/// \brief What a test's request asks for; the rest has plain defaults.
struct RequestText {
  std::string method = "POST";
  std::string path = "/v1/chat/completions";
  std::string model;  ///< Empty for plain services.
  std::string account = "school";
  std::string service;  ///< For plain services.
  std::vector<Place> passed;
  Duration remaining{};
  std::string key;
};

/// \brief Drives one gateway and writes down what happens.
class Session {
 public:
  /// \param rules A rules text; empty leaves the gateway without rules.
  Session(const GatewayConfig& config, std::string_view rules);

  /// \brief Moves the clock and hands in a tick.
  std::vector<Effect> Advance(Duration duration);
  /// \brief Hands an event in and records it with its effects.
  std::vector<Effect> Feed(Event event);

  /// \brief Hands in a new rules text as revision `revision`.
  std::vector<Effect> Rules(std::string_view text, std::uint64_t revision);
  /// \brief A caller's request; numbered 2, 4, 6, ...
  RequestNumber FromCaller(const RequestText& text);
  /// \brief A request of another instance; numbered 1, 3, 5, ...
  RequestNumber FromLink(const RequestText& text);

  /// Shorthands; `attempt` is the number in the record.
  void Answered(std::uint64_t attempt, std::uint16_t status = 200,
                bool event_stream = false);
  void Body(std::uint64_t attempt, std::string data,
            std::optional<std::string> last_event_id = std::nullopt);
  void Ended(std::uint64_t attempt);
  void Failed(std::uint64_t attempt, RunState run);

  /// \returns The record so far.
  [[nodiscard]] const std::string& text() const noexcept { return text_; }
  [[nodiscard]] Gateway& gateway() noexcept { return gateway_; }
  [[nodiscard]] TimePoint now() const noexcept { return now_; }
  /// \brief Answers are reported as written only by `Written` from now on;
  /// before, each one is at once.
  void HoldAnswers() { holds_answers_ = true; }
  void Written(RequestNumber number, bool whole = true);

 private:
  void Note(std::string_view mark, const std::string& line);

  TimePoint now_;
  Gateway gateway_;
  std::uint64_t next_caller_ = 2;
  std::uint64_t next_link_ = 1;
  std::string text_;
  bool holds_answers_ = false;
};

/// \returns A request head made from `text`, entered in `region`.
[[nodiscard]] RequestHead HeadOf(const RequestText& text,
                                 const RegionId& region);

/// \returns One line that describes the event or effect; empty for those that
/// sessions leave out (views and ticks).
[[nodiscard]] std::string Describe(const Event& event);
[[nodiscard]] std::string Describe(const Effect& effect);

/// \returns Two regions: this instance `nairobi-1` with two engines and one
/// plain service, and an instance `mombasa-1` elsewhere.
[[nodiscard]] GatewayConfig TwoRegions();

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_SESSION_H_
