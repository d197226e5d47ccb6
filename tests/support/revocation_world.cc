// Driving of instances under strict revocation.

#include "tests/support/revocation_world.h"

#include "mimosagauge/impl/wire/confirmation_codec.h"
#include "tests/support/fleet_gateway.h"

namespace mimosagauge::testing {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(50);
constexpr Duration kLatency = std::chrono::milliseconds(50);

[[nodiscard]] InstanceId NameOf(std::size_t instance) {
  return InstanceId{"i-" + std::to_string(instance)};
}

[[nodiscard]] RegionId RegionOf(std::size_t instance) {
  return RegionId{instance % 2 == 0 ? "nairobi" : "mombasa"};
}

}  // namespace

RevocationWorld::RevocationWorld(std::size_t instances) {
  Write(true);
  for (std::size_t i = 0; i < instances; ++i) {
    members_.push_back(Member{});
  }
  for (std::size_t i = 0; i < instances; ++i) {
    Restart(i);
  }
}

RevocationWorld::Member RevocationWorld::MakeMember(std::size_t instance) {
  ++starts_;
  Member member;
  member.cut_from_store = members_[instance].cut_from_store;
  member.clock_offset = std::chrono::seconds(100) * static_cast<int>(instance) +
                        std::chrono::seconds(starts_ % 7);
  GatewayConfig config;
  config.instance = NameOf(instance);
  config.region = RegionOf(instance);
  config.zone = ZoneId{"zone"};
  config.self.nonce = starts_;
  config.strict_revocation = kBound;
  member.gateway =
      MakeGateway(std::move(config), now_ + member.clock_offset, starts_);
  return member;
}

void RevocationWorld::Restart(std::size_t instance) {
  members_[instance] = MakeMember(instance);
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (i != instance) {
      PeerConfig peer;
      peer.id = NameOf(i);
      peer.region = RegionOf(i);
      static_cast<void>(Give(instance, InstanceUpdated{peer}));
      static_cast<void>(Give(instance, LinkChanged{peer.id, true}));
    }
  }
  UpstreamRecord desk;
  desk.config.id = UpstreamId{"desk"};
  desk.config.service = ServiceId{"desk"};
  desk.config.zone = ZoneId{"zone"};
  static_cast<void>(Give(instance, UpstreamUpdated{desk}));
}

TimePoint RevocationWorld::LocalNow(std::size_t instance) const {
  return now_ + members_[instance].clock_offset;
}

std::vector<Effect> RevocationWorld::Give(std::size_t instance, Event event) {
  auto effects = mimosagauge::Step(members_[instance].gateway,
                                   LocalNow(instance), std::move(event));
  for (const Effect& effect : effects) {
    const auto* links = std::get_if<ForLinks>(&effect);
    const auto* sent = links == nullptr
                           ? nullptr
                           : std::get_if<SendConfirmation>(&links->effect);
    if (sent != nullptr) {
      const std::size_t to = std::stoul(sent->to.value().substr(2));
      // Also shows that the encoding keeps what the confirmation relies on.
      const auto message =
          DecodeConfirmation(EncodeConfirmation(sent->message));
      messages_.push_back({instance, to, message.value(), now_});
      ++sent_;
    }
  }
  return effects;
}

void RevocationWorld::Tick(std::size_t instance) {
  static_cast<void>(Give(instance, mimosagauge::Tick{}));
}

void RevocationWorld::StartPoll(std::size_t instance) {
  members_[instance].poll = Poll{LocalNow(instance), versions_.size()};
}

void RevocationWorld::AnswerPoll(std::size_t instance) {
  const auto poll = std::exchange(members_[instance].poll, std::nullopt);
  if (!poll) {
    return;
  }
  static_cast<void>(
      Give(instance, CatalogueReceived{std::make_shared<const RouteCatalogue>(
                         CatalogueOf(poll->version))}));
  static_cast<void>(
      Give(instance,
           ConfigurationConfirmed{Revision{poll->version}, poll->sent_at}));
}

void RevocationWorld::Deliver(std::size_t message) {
  const Underway underway = messages_[message];
  Drop(message);
  static_cast<void>(
      Give(underway.to,
           ConfirmationReceived{NameOf(underway.from), underway.message}));
}

void RevocationWorld::Drop(std::size_t message) {
  messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(message));
}

void RevocationWorld::Write(bool has_key) {
  versions_.push_back({now_, has_key});
}

RouteCatalogue RevocationWorld::CatalogueOf(std::uint64_t version) const {
  RouteCatalogue catalogue = FleetGateway::Catalogue(version);
  catalogue.accounts.required = true;
  Account account{AccountId{"a"}, {"k-steady"}, {}, {}, {}};
  if (versions_[version - 1].has_key) {
    account.keys.emplace_back("k-1");
  }
  catalogue.accounts.list = {account};
  IndexAccounts(catalogue.accounts);
  catalogue.routes[3].is_public = true;
  return catalogue;
}

void RevocationWorld::CutStore(std::size_t instance, bool cut) {
  members_[instance].cut_from_store = cut;
}

void RevocationWorld::CutLink(std::size_t from, std::size_t to, bool cut) {
  if (cut) {
    cut_links_.emplace(from, to);
  } else {
    cut_links_.erase({from, to});
  }
}

void RevocationWorld::Freeze(std::size_t instance, bool frozen) {
  members_[instance].frozen = frozen;
}

void RevocationWorld::RunPolls() {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    Member& member = members_[i];
    if (member.frozen) {
      continue;
    }
    if (member.cut_from_store) {
      member.poll.reset();
    } else if (!member.poll) {
      StartPoll(i);
    } else if (LocalNow(i) - member.poll->sent_at >= store_delay_) {
      AnswerPoll(i);
      StartPoll(i);
    }
    Tick(i);
  }
}

void RevocationWorld::Run(Duration duration) {
  for (const TimePoint end = now_ + duration; now_ < end;) {
    Advance(kStep);
    RunPolls();
    for (std::size_t i = 0; i < messages_.size();) {
      const Underway& underway = messages_[i];
      const bool arrives = now_ - underway.sent_real >= kLatency &&
                           !members_[underway.to].frozen &&
                           !cut_links_.contains({underway.from, underway.to});
      arrives ? Deliver(i) : static_cast<void>(++i);
    }
  }
}

std::uint16_t RevocationWorld::Ask(std::size_t instance,
                                   const std::string& key) {
  const RequestNumber number{next_number_};
  next_number_ += 2;
  auto head = std::make_shared<RequestHead>();
  head->id = RequestId{"r" + std::to_string(number.value())};
  head->host = "nets.example";
  head->method = "POST";
  // Without a key the public route is asked.
  head->target = key.empty() ? "/deposit/1" : "/status/1";
  head->credential = key;
  const auto effects =
      Give(instance, RequestArrived{number, Origin::kCaller, head,
                                    std::make_shared<const std::string>()});
  const auto problem = Find<SendProblem>(effects);
  static_cast<void>(Give(instance, RequestAbandoned{number}));
  return problem ? problem->problem.status : 0;
}

bool RevocationWorld::MayRun(Duration sent_ago) const {
  const TimePoint begin = now_ - sent_ago - kBound;
  for (std::size_t i = 0; i < versions_.size(); ++i) {
    const bool replaced_before =
        i + 1 < versions_.size() && versions_[i + 1].at < begin;
    if (versions_[i].has_key && !replaced_before) {
      return true;
    }
  }
  return false;
}

}  // namespace mimosagauge::testing
