// Telling, asking and adopting of rules between instances.

#include "mimosagauge/impl/decisions/rules_spread.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mimosagauge {
namespace {

enum class MessageKind : std::uint8_t {
  kRevisionTold = 1,
  kRulesAsked = 2,
  kRulesSent = 3,
};

// Tag, kind, revision in eight bytes with the lowest first, text.
constexpr std::size_t kHeadBytes = 10;
constexpr std::size_t kRevisionBytes = 8;
constexpr std::size_t kRevisionOffset = 2;
constexpr unsigned kBitsPerByte = 8;

void AppendHead(std::string& bytes, MessageKind kind, Revision revision) {
  bytes += kRulesMessageTag;
  bytes += static_cast<char>(kind);
  for (std::size_t i = 0; i < kRevisionBytes; ++i) {
    bytes += static_cast<char>(revision.value() >> i * kBitsPerByte & 0xffU);
  }
}

[[nodiscard]] Revision ReadRevision(std::string_view bytes) {
  std::uint64_t number = 0;
  for (std::size_t i = kRevisionBytes; i-- > 0;) {
    const auto byte = static_cast<unsigned char>(bytes[kRevisionOffset + i]);
    number = number << kBitsPerByte | byte;
  }
  return Revision{number};
}

struct MessageEncoder {
  [[nodiscard]] std::string operator()(const RevisionTold& told) const {
    std::string bytes;
    AppendHead(bytes, MessageKind::kRevisionTold, told.revision);
    return bytes;
  }
  [[nodiscard]] std::string operator()(const RulesAsked& asked) const {
    std::string bytes;
    AppendHead(bytes, MessageKind::kRulesAsked, asked.revision);
    return bytes;
  }
  [[nodiscard]] std::string operator()(const RulesSent& sent) const {
    std::string bytes;
    bytes.reserve(kHeadBytes + sent.text.size());
    AppendHead(bytes, MessageKind::kRulesSent, sent.revision);
    return bytes + sent.text;
  }
};

void Tell(const RulesSpread& spread, const InstanceId& to,
          RulesSpreadOutput& output) {
  output.messages.push_back({to, RevisionTold{RevisionOf(spread)}});
}

// Tells some members, drawn evenly from those not known to have the revision.
void TellSome(RulesSpread& spread, std::size_t count,
              RulesSpreadOutput& output) {
  std::vector<InstanceId> behind;
  for (const InstanceId& member : spread.members) {
    const auto known = spread.known.find(member);
    const bool has_it = known != spread.known.end() &&
                        known->second.revision >= RevisionOf(spread);
    if (!has_it) {
      behind.push_back(member);
    }
  }
  std::vector<InstanceId> chosen;
  std::sample(behind.begin(), behind.end(), std::back_inserter(chosen), count,
              spread.random);
  for (const InstanceId& member : chosen) {
    Tell(spread, member, output);
  }
}

void TellAny(RulesSpread& spread, RulesSpreadOutput& output) {
  if (spread.members.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> index(0,
                                                   spread.members.size() - 1);
  Tell(spread, spread.members[index(spread.random)], output);
}

void Adopt(RulesSpread& spread, std::shared_ptr<const RuleSet> rules,
           RulesSpreadOutput& output) {
  spread.rules = std::move(rules);
  spread.asked.reset();
  output.adopted = spread.rules;
  TellSome(spread, spread.config.fan_out, output);
}

void Ask(RulesSpread& spread, const InstanceId& from, TimePoint now,
         RulesSpreadOutput& output) {
  spread.asked = from;
  spread.asked_until = now + spread.config.fetch_timeout;
  output.messages.push_back({from, RulesAsked{RevisionOf(spread)}});
}

void Note(RulesSpread& spread, const InstanceId& from, Revision revision,
          TimePoint now) {
  KnownRevision& known = spread.known[from];
  known.revision = std::max(known.revision, revision);
  known.heard = now;
}

struct Hearer {
  RulesSpread& spread;
  const InstanceId& from;
  TimePoint now;
  RulesSpreadOutput& output;

  void operator()(const RevisionTold& told) const {
    Note(spread, from, told.revision, now);
    const Revision mine = RevisionOf(spread);
    if (told.revision < mine) {
      Tell(spread, from, output);
    }
    if (told.revision > mine && !spread.asked) {
      Ask(spread, from, now, output);
    }
  }

  void operator()(const RulesAsked& asked) const {
    Note(spread, from, asked.revision, now);
    const bool newer = RevisionOf(spread) > asked.revision;
    const bool allowed = spread.texts_sent < spread.config.texts_per_heartbeat;
    if (newer && allowed) {
      ++spread.texts_sent;
      output.messages.push_back(
          {from, RulesSent{spread.rules->revision, spread.rules->text}});
    }
  }

  void operator()(const RulesSent& sent) const {
    Note(spread, from, sent.revision, now);
    if (sent.revision <= RevisionOf(spread)) {
      return;
    }
    auto rules =
        std::make_shared<RuleSet>(ParseRules(sent.text, output.faults));
    if (!output.faults.empty()) {
      return;
    }
    rules->revision = sent.revision;
    Adopt(spread, std::move(rules), output);
  }
};

// A member that has newer rules than this instance, other than `but`.
[[nodiscard]] std::optional<InstanceId> NewerThanMine(
    const RulesSpread& spread, const std::optional<InstanceId>& but) {
  for (const InstanceId& member : spread.members) {
    const auto known = spread.known.find(member);
    const bool newer = known != spread.known.end() &&
                       known->second.revision > RevisionOf(spread);
    if (newer && member != but) {
      return member;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string EncodeRulesMessage(const RulesMessage& message) {
  return std::visit(MessageEncoder{}, message);
}

Result<RulesMessage> DecodeRulesMessage(std::string_view bytes) {
  const Error malformed{ErrorKind::kInvalidInput,
                        "a rules message of another instance is malformed",
                        "run the same release on both sides"};
  if (bytes.size() < kHeadBytes || bytes.front() != kRulesMessageTag) {
    return malformed;
  }
  const Revision revision = ReadRevision(bytes);
  const std::string_view text = bytes.substr(kHeadBytes);
  switch (static_cast<MessageKind>(bytes[1])) {
    case MessageKind::kRevisionTold:
      return RulesMessage{RevisionTold{revision}};
    case MessageKind::kRulesAsked:
      return RulesMessage{RulesAsked{revision}};
    case MessageKind::kRulesSent:
      return RulesMessage{RulesSent{revision, std::string(text)}};
  }
  return malformed;
}

Revision RevisionOf(const RulesSpread& spread) noexcept {
  return spread.rules == nullptr ? Revision{} : spread.rules->revision;
}

RulesSpread MakeRulesSpread(const RulesSpreadConfig& config,
                            std::uint64_t seed) {
  RulesSpread spread;
  spread.config = config;
  spread.random.seed(static_cast<std::minstd_rand::result_type>(seed));
  return spread;
}

RulesSpreadOutput ChangeMember(RulesSpread& spread, const InstanceId& instance,
                               bool within_reach) {
  RulesSpreadOutput output;
  std::erase(spread.members, instance);
  if (!within_reach) {
    if (spread.asked == instance) {
      spread.asked.reset();
    }
    return output;
  }
  spread.members.push_back(instance);
  // One that has no rules yet asks its first members at once.
  const bool starting =
      spread.rules == nullptr && spread.members.size() <= spread.config.fan_out;
  if (starting) {
    Tell(spread, instance, output);
  }
  return output;
}

RulesSpreadOutput LearnRules(RulesSpread& spread,
                             std::shared_ptr<const RuleSet> rules) {
  RulesSpreadOutput output;
  if (rules->revision > RevisionOf(spread)) {
    Adopt(spread, std::move(rules), output);
  }
  return output;
}

RulesSpreadOutput HearRules(RulesSpread& spread, const InstanceId& from,
                            const RulesMessage& message, TimePoint now) {
  RulesSpreadOutput output;
  std::visit(Hearer{spread, from, now, output}, message);
  return output;
}

RulesSpreadOutput AdvanceRules(RulesSpread& spread, TimePoint now) {
  RulesSpreadOutput output;
  if (spread.asked && now >= spread.asked_until) {
    const std::optional<InstanceId> silent = std::exchange(spread.asked, {});
    if (const auto other = NewerThanMine(spread, silent)) {
      Ask(spread, *other, now, output);
    }
  }
  if (now >= spread.next_heartbeat) {
    spread.next_heartbeat = now + spread.config.heartbeat;
    spread.texts_sent = 0;
    TellAny(spread, output);
  }
  return output;
}

}  // namespace mimosagauge
