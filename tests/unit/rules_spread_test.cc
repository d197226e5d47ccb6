// Rules between instances: revisions only rise, and a newer one is fetched
// from whoever has it.

#include "mimosagauge/impl/decisions/rules_spread.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <variant>

namespace mimosagauge {
namespace {

using namespace std::chrono_literals;

const InstanceId kPeer{"peer"};
const InstanceId kOther{"other"};
const std::string kText = "route a path=/a/*  # Ann\n";
constexpr TimePoint kStart{};

[[nodiscard]] std::shared_ptr<const RuleSet> Rules(std::uint64_t revision) {
  std::vector<RuleFault> faults;
  auto rules = std::make_shared<RuleSet>(ParseRules(kText, faults));
  rules->revision = Revision{revision};
  return rules;
}

[[nodiscard]] RulesSpread WithRules(std::uint64_t revision) {
  RulesSpread spread = MakeRulesSpread({}, 1);
  static_cast<void>(ChangeMember(spread, kPeer, true));
  static_cast<void>(ChangeMember(spread, kOther, true));
  if (revision > 0) {
    static_cast<void>(LearnRules(spread, Rules(revision)));
  }
  return spread;
}

/// \returns The message to `to`, as text.
[[nodiscard]] std::string To(const RulesSpreadOutput& output,
                             const InstanceId& to) {
  std::string text;
  for (const RulesMessageTo& message : output.messages) {
    if (message.to != to) {
      continue;
    }
    if (const auto* told = std::get_if<RevisionTold>(&message.message)) {
      text += "told " + std::to_string(told->revision.value());
    } else if (const auto* asked = std::get_if<RulesAsked>(&message.message)) {
      text += "asked " + std::to_string(asked->revision.value());
    } else {
      const auto& sent = std::get<RulesSent>(message.message);
      text += "sent " + std::to_string(sent.revision.value());
    }
  }
  return text;
}

TEST_CASE("what an instance answers to what it hears") {
  struct Row {
    std::uint64_t mine;
    RulesMessage heard;
    std::string answer;
    std::uint64_t after;
  };
  const auto row = GENERATE_COPY(values<Row>({
      {5, RevisionTold{Revision{5}}, "", 5},
      {5, RevisionTold{Revision{4}}, "told 5", 5},
      {5, RevisionTold{Revision{}}, "told 5", 5},
      {5, RevisionTold{Revision{6}}, "asked 5", 5},
      {0, RevisionTold{Revision{6}}, "asked 0", 0},
      {0, RevisionTold{Revision{}}, "", 0},
      {5, RulesAsked{Revision{4}}, "sent 5", 5},
      {5, RulesAsked{Revision{5}}, "", 5},
      {0, RulesAsked{Revision{}}, "", 0},
      {5, RulesSent{Revision{6}, kText}, "", 6},
      {5, RulesSent{Revision{5}, kText}, "", 5},
      {5, RulesSent{Revision{4}, kText}, "", 5},
      {5, RulesSent{Revision{6}, "nonsense\n"}, "", 5},
  }));
  RulesSpread spread = WithRules(row.mine);
  const auto output = HearRules(spread, kPeer, row.heard, kStart);
  CAPTURE(row.mine, row.heard.index());
  CHECK(To(output, kPeer) == row.answer);
  CHECK(RevisionOf(spread).value() == row.after);
  CHECK((output.adopted != nullptr) == (row.after != row.mine));
}

TEST_CASE("the store's older rules are ignored") {
  RulesSpread spread = WithRules(5);
  const std::uint64_t late = GENERATE(1U, 4U, 5U);
  CHECK(LearnRules(spread, Rules(late)).adopted == nullptr);
  CHECK(RevisionOf(spread) == Revision{5});
}

TEST_CASE("new rules are told at once to a bounded number") {
  RulesSpreadConfig config;
  config.fan_out = 3;
  RulesSpread spread = MakeRulesSpread(config, 1);
  for (int i = 0; i < 100; ++i) {
    const InstanceId member{"member-" + std::to_string(i)};
    static_cast<void>(ChangeMember(spread, member, true));
  }
  CHECK(LearnRules(spread, Rules(5)).messages.size() == 3);
  CHECK(AdvanceRules(spread, kStart).messages.size() == 1);
  CHECK(AdvanceRules(spread, kStart).messages.empty());
  CHECK(AdvanceRules(spread, kStart + config.heartbeat).messages.size() == 1);
}

TEST_CASE("texts sent are bounded until the next heartbeat") {
  RulesSpread spread = WithRules(5);
  std::size_t sent = 0;
  for (int i = 0; i < 100; ++i) {
    sent += HearRules(spread, kPeer, RulesAsked{Revision{}}, kStart)
                .messages.size();
  }
  CHECK(sent == spread.config.texts_per_heartbeat);
  static_cast<void>(AdvanceRules(spread, kStart + 1s));
  CHECK(To(HearRules(spread, kPeer, RulesAsked{Revision{}}, kStart), kPeer) ==
        "sent 5");
}

TEST_CASE("another instance is asked when the first one says nothing") {
  RulesSpread spread = WithRules(5);
  static_cast<void>(
      HearRules(spread, kPeer, RevisionTold{Revision{6}}, kStart));
  const auto second =
      HearRules(spread, kOther, RevisionTold{Revision{6}}, kStart);
  CHECK(To(second, kOther).empty());
  const auto late = AdvanceRules(spread, kStart + 2s);
  CHECK(To(late, kOther).find("asked 5") != std::string::npos);
}

TEST_CASE(
    "an instance that starts without rules says so to its first members") {
  RulesSpread spread = MakeRulesSpread({}, 1);
  CHECK(To(ChangeMember(spread, kPeer, true), kPeer) == "told 0");
}

TEST_CASE("messages survive their encoding") {
  const auto message = GENERATE(values<RulesMessage>({
      RevisionTold{Revision{0}},
      RevisionTold{Revision{0xfedcba9876543210U}},
      RulesAsked{Revision{258}},
      RulesSent{Revision{7}, ""},
      RulesSent{Revision{7}, std::string("a\0b", 3)},
  }));
  const auto decoded = DecodeRulesMessage(EncodeRulesMessage(message));
  REQUIRE(decoded);
  CHECK(EncodeRulesMessage(decoded.value()) == EncodeRulesMessage(message));
  CHECK(decoded.value().index() == message.index());
}

TEST_CASE("bytes that are not a rules message are refused") {
  const std::string good = EncodeRulesMessage(RevisionTold{Revision{1}});
  std::string kind = good;
  kind[1] = 9;
  std::string tag = good;
  tag[0] = 'Q';
  const std::string bytes =
      GENERATE_COPY(std::string{}, good.substr(0, 9), kind, tag);
  CHECK_FALSE(DecodeRulesMessage(bytes));
}

}  // namespace
}  // namespace mimosagauge
