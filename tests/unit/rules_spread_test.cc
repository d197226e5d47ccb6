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

[[nodiscard]] RulesGossip WithRules(std::uint64_t revision) {
  RulesGossip spread = MakeRulesGossip({}, 1);
  static_cast<void>(SetMemberReachable(spread, kPeer, true));
  static_cast<void>(SetMemberReachable(spread, kOther, true));
  if (revision > 0) {
    static_cast<void>(AdoptRulesFromStore(spread, Rules(revision)));
  }
  return spread;
}

/// \returns The message to `to`, as text.
[[nodiscard]] std::string To(const RulesGossipOutput& output,
                             const InstanceId& to) {
  std::string text;
  for (const AddressedRulesMessage& message : output.messages) {
    if (message.to != to) {
      continue;
    }
    if (const auto* told =
            std::get_if<RevisionAnnouncement>(&message.message)) {
      text += "told " + std::to_string(told->revision.value());
    } else if (const auto* asked =
                   std::get_if<RulesRequest>(&message.message)) {
      text += "asked " + std::to_string(asked->revision.value());
    } else {
      const auto& sent = std::get<RulesResponse>(message.message);
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
      {5, RevisionAnnouncement{Revision{5}}, "", 5},
      {5, RevisionAnnouncement{Revision{4}}, "told 5", 5},
      {5, RevisionAnnouncement{Revision{}}, "told 5", 5},
      {5, RevisionAnnouncement{Revision{6}}, "asked 5", 5},
      {0, RevisionAnnouncement{Revision{6}}, "asked 0", 0},
      {0, RevisionAnnouncement{Revision{}}, "", 0},
      {5, RulesRequest{Revision{4}}, "sent 5", 5},
      {5, RulesRequest{Revision{5}}, "", 5},
      {0, RulesRequest{Revision{}}, "", 0},
      {5, RulesResponse{Revision{6}, kText}, "", 6},
      {5, RulesResponse{Revision{5}, kText}, "", 5},
      {5, RulesResponse{Revision{4}, kText}, "", 5},
      {5, RulesResponse{Revision{6}, "nonsense\n"}, "", 5},
  }));
  RulesGossip spread = WithRules(row.mine);
  const auto output = HandleRulesMessage(spread, kPeer, row.heard, kStart);
  CAPTURE(row.mine, row.heard.index());
  CHECK(To(output, kPeer) == row.answer);
  CHECK(RevisionOf(spread).value() == row.after);
  CHECK((output.adopted != nullptr) == (row.after != row.mine));
}

TEST_CASE("the store's older rules are ignored") {
  RulesGossip spread = WithRules(5);
  const std::uint64_t late = GENERATE(1U, 4U, 5U);
  CHECK(AdoptRulesFromStore(spread, Rules(late)).adopted == nullptr);
  CHECK(RevisionOf(spread) == Revision{5});
}

TEST_CASE("new rules are told at once to a bounded number") {
  RulesGossipConfig config;
  config.fan_out = 3;
  RulesGossip spread = MakeRulesGossip(config, 1);
  for (int i = 0; i < 100; ++i) {
    const InstanceId member{"member-" + std::to_string(i)};
    static_cast<void>(SetMemberReachable(spread, member, true));
  }
  CHECK(AdoptRulesFromStore(spread, Rules(5)).messages.size() == 3);
  CHECK(TickRulesGossip(spread, kStart).messages.size() == 1);
  CHECK(TickRulesGossip(spread, kStart).messages.empty());
  CHECK(TickRulesGossip(spread, kStart + config.heartbeat).messages.size() ==
        1);
}

TEST_CASE("texts sent are bounded until the next heartbeat") {
  RulesGossip spread = WithRules(5);
  std::size_t sent = 0;
  for (int i = 0; i < 100; ++i) {
    sent += HandleRulesMessage(spread, kPeer, RulesRequest{Revision{}}, kStart)
                .messages.size();
  }
  CHECK(sent == spread.config.max_texts_per_heartbeat);
  static_cast<void>(TickRulesGossip(spread, kStart + 1s));
  CHECK(To(HandleRulesMessage(spread, kPeer, RulesRequest{Revision{}}, kStart),
           kPeer) == "sent 5");
}

TEST_CASE("another instance is asked when the first one says nothing") {
  RulesGossip spread = WithRules(5);
  static_cast<void>(HandleRulesMessage(
      spread, kPeer, RevisionAnnouncement{Revision{6}}, kStart));
  const auto second = HandleRulesMessage(
      spread, kOther, RevisionAnnouncement{Revision{6}}, kStart);
  CHECK(To(second, kOther).empty());
  const auto late = TickRulesGossip(spread, kStart + 2s);
  CHECK(To(late, kOther).find("asked 5") != std::string::npos);
}

TEST_CASE(
    "an instance that starts without rules says so to its first members") {
  RulesGossip spread = MakeRulesGossip({}, 1);
  CHECK(To(SetMemberReachable(spread, kPeer, true), kPeer) == "told 0");
}

TEST_CASE("messages survive their encoding") {
  const auto message = GENERATE(values<RulesMessage>({
      RevisionAnnouncement{Revision{0}},
      RevisionAnnouncement{Revision{0xfedcba9876543210U}},
      RulesRequest{Revision{258}},
      RulesResponse{Revision{7}, ""},
      RulesResponse{Revision{7}, std::string("a\0b", 3)},
  }));
  const auto decoded = DecodeRulesMessage(EncodeRulesMessage(message));
  REQUIRE(decoded);
  CHECK(EncodeRulesMessage(decoded.value()) == EncodeRulesMessage(message));
  CHECK(decoded.value().index() == message.index());
}

TEST_CASE("bytes that are not a rules message are refused") {
  const std::string good =
      EncodeRulesMessage(RevisionAnnouncement{Revision{1}});
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
