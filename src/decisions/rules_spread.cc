// Announcement, transfer and adoption of rules between instances.

#include "mimosagauge/impl/decisions/rules_spread.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mimosagauge {
namespace {

enum class MessageKind : std::uint8_t {
  kRevisionAnnouncement = 1,
  kRulesRequest = 2,
  kRulesResponse = 3,
};

// A message consists of the tag, the kind, the revision as eight bytes in
// little-endian order, and the text.
constexpr std::size_t kHeaderBytes = 10;
constexpr std::size_t kRevisionBytes = 8;
constexpr std::size_t kRevisionOffset = 2;
constexpr unsigned kBitsPerByte = 8;

void AppendHeader(std::string& bytes, MessageKind kind, Revision revision) {
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
  [[nodiscard]] std::string operator()(
      const RevisionAnnouncement& announcement) const {
    std::string bytes;
    AppendHeader(bytes, MessageKind::kRevisionAnnouncement,
                 announcement.revision);
    return bytes;
  }
  [[nodiscard]] std::string operator()(const RulesRequest& request) const {
    std::string bytes;
    AppendHeader(bytes, MessageKind::kRulesRequest, request.revision);
    return bytes;
  }
  [[nodiscard]] std::string operator()(const RulesResponse& response) const {
    std::string bytes;
    bytes.reserve(kHeaderBytes + response.text.size());
    AppendHeader(bytes, MessageKind::kRulesResponse, response.revision);
    return bytes + response.text;
  }
};

void Announce(const RulesGossip& spread, const InstanceId& to,
              RulesGossipOutput& output) {
  output.messages.push_back({to, RevisionAnnouncement{RevisionOf(spread)}});
}

// Announces the revision to some members, chosen uniformly at random from those
// that have not reported it.
void AnnounceToOutdated(RulesGossip& spread, std::size_t count,
                        RulesGossipOutput& output) {
  std::vector<InstanceId> outdated;
  for (const InstanceId& member : spread.members) {
    const auto known = spread.known.find(member);
    const bool has_revision = known != spread.known.end() &&
                              known->second.revision >= RevisionOf(spread);
    if (!has_revision) {
      outdated.push_back(member);
    }
  }
  std::vector<InstanceId> chosen;
  std::sample(outdated.begin(), outdated.end(), std::back_inserter(chosen),
              count, spread.random);
  for (const InstanceId& member : chosen) {
    Announce(spread, member, output);
  }
}

void AnnounceToRandomMember(RulesGossip& spread, RulesGossipOutput& output) {
  if (spread.members.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> index(0,
                                                   spread.members.size() - 1);
  Announce(spread, spread.members[index(spread.random)], output);
}

void AdoptRules(RulesGossip& spread, std::shared_ptr<const RuleSet> rules,
                RulesGossipOutput& output) {
  spread.rules = std::move(rules);
  spread.fetching_from.reset();
  output.adopted = spread.rules;
  AnnounceToOutdated(spread, spread.config.fan_out, output);
}

void RequestRules(RulesGossip& spread, const InstanceId& from, TimePoint now,
                  RulesGossipOutput& output) {
  spread.fetching_from = from;
  spread.fetch_deadline = now + spread.config.fetch_timeout;
  output.messages.push_back({from, RulesRequest{RevisionOf(spread)}});
}

void RecordRevision(RulesGossip& spread, const InstanceId& from,
                    Revision revision, TimePoint now) {
  ReportedRevision& known = spread.known[from];
  known.revision = std::max(known.revision, revision);
  known.heard = now;
}

struct MessageHandler {
  RulesGossip& spread;
  const InstanceId& from;
  TimePoint now;
  RulesGossipOutput& output;

  void operator()(const RevisionAnnouncement& announcement) const {
    RecordRevision(spread, from, announcement.revision, now);
    const Revision own_revision = RevisionOf(spread);
    if (announcement.revision < own_revision) {
      Announce(spread, from, output);
    }
    if (announcement.revision > own_revision && !spread.fetching_from) {
      RequestRules(spread, from, now, output);
    }
  }

  void operator()(const RulesRequest& request) const {
    RecordRevision(spread, from, request.revision, now);
    const bool newer = RevisionOf(spread) > request.revision;
    const bool allowed =
        spread.texts_since_heartbeat < spread.config.max_texts_per_heartbeat;
    if (newer && allowed) {
      ++spread.texts_since_heartbeat;
      output.messages.push_back(
          {from, RulesResponse{spread.rules->revision, spread.rules->text}});
    }
  }

  void operator()(const RulesResponse& response) const {
    RecordRevision(spread, from, response.revision, now);
    if (response.revision <= RevisionOf(spread)) {
      return;
    }
    auto rules =
        std::make_shared<RuleSet>(ParseRules(response.text, output.faults));
    if (!output.faults.empty()) {
      return;
    }
    rules->revision = response.revision;
    AdoptRules(spread, std::move(rules), output);
  }
};

// Returns a member other than `excluded` that has newer rules than this
// instance.
[[nodiscard]] std::optional<InstanceId> FindMemberWithNewerRules(
    const RulesGossip& spread, const std::optional<InstanceId>& excluded) {
  for (const InstanceId& member : spread.members) {
    const auto known = spread.known.find(member);
    const bool newer = known != spread.known.end() &&
                       known->second.revision > RevisionOf(spread);
    if (newer && member != excluded) {
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
                        "a rules message from another instance is malformed",
                        "run the same release on both instances"};
  if (bytes.size() < kHeaderBytes || bytes.front() != kRulesMessageTag) {
    return malformed;
  }
  const Revision revision = ReadRevision(bytes);
  const std::string_view text = bytes.substr(kHeaderBytes);
  switch (static_cast<MessageKind>(bytes[1])) {
    case MessageKind::kRevisionAnnouncement:
      return RulesMessage{RevisionAnnouncement{revision}};
    case MessageKind::kRulesRequest:
      return RulesMessage{RulesRequest{revision}};
    case MessageKind::kRulesResponse:
      return RulesMessage{RulesResponse{revision, std::string(text)}};
  }
  return malformed;
}

Revision RevisionOf(const RulesGossip& spread) noexcept {
  return spread.rules == nullptr ? Revision{} : spread.rules->revision;
}

RulesGossip MakeRulesGossip(const RulesGossipConfig& config,
                            std::uint64_t seed) {
  RulesGossip spread;
  spread.config = config;
  spread.random.seed(static_cast<std::minstd_rand::result_type>(seed));
  return spread;
}

RulesGossipOutput SetMemberReachable(RulesGossip& spread,
                                     const InstanceId& instance,
                                     bool reachable) {
  RulesGossipOutput output;
  std::erase(spread.members, instance);
  if (!reachable) {
    if (spread.fetching_from == instance) {
      spread.fetching_from.reset();
    }
    return output;
  }
  spread.members.push_back(instance);
  // An instance without rules announces that to its first members at once; they
  // reply with their revision.
  const bool starting =
      spread.rules == nullptr && spread.members.size() <= spread.config.fan_out;
  if (starting) {
    Announce(spread, instance, output);
  }
  return output;
}

RulesGossipOutput AdoptRulesFromStore(RulesGossip& spread,
                                      std::shared_ptr<const RuleSet> rules) {
  RulesGossipOutput output;
  if (rules->revision > RevisionOf(spread)) {
    AdoptRules(spread, std::move(rules), output);
  }
  return output;
}

RulesGossipOutput HandleRulesMessage(RulesGossip& spread,
                                     const InstanceId& from,
                                     const RulesMessage& message,
                                     TimePoint now) {
  RulesGossipOutput output;
  std::visit(MessageHandler{spread, from, now, output}, message);
  return output;
}

RulesGossipOutput TickRulesGossip(RulesGossip& spread, TimePoint now) {
  RulesGossipOutput output;
  if (spread.fetching_from && now >= spread.fetch_deadline) {
    const std::optional<InstanceId> timed_out =
        std::exchange(spread.fetching_from, {});
    if (const auto other = FindMemberWithNewerRules(spread, timed_out)) {
      RequestRules(spread, *other, now, output);
    }
  }
  if (now >= spread.next_heartbeat) {
    spread.next_heartbeat = now + spread.config.heartbeat;
    spread.texts_since_heartbeat = 0;
    AnnounceToRandomMember(spread, output);
  }
  return output;
}

}  // namespace mimosagauge
