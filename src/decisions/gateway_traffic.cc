// Gateway state machine: the plan for the traffic between regions. It records
// the demand of callers, exchanges reports, and chooses regions by the plan.

#include <algorithm>
#include <memory>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge::detail {
namespace {

// Instances of a region that sum up its demand; two, so that one may fail.
constexpr std::size_t kReporters = 2;
// Key of the choice of reporters by rendezvous hashing.
constexpr std::uint64_t kReporterKey = 0x7265706f72746572;
// Share of the shared parts of a prompt that is assumed to be read again.
constexpr double kAssumedReadAgain = 0.15;
// Decode work of one token relative to a full batch: batches are half full.
constexpr double kBatchFactor = 2;

// Whether the traffic of any service is planned.
[[nodiscard]] bool IsPlanning(const Gateway& gateway) {
  const PlacementMode mode = gateway.config.placement.plan_regions;
  return gateway.catalogue != nullptr &&
         (mode == PlacementMode::kAlways ||
          (mode == PlacementMode::kAuto &&
           !gateway.placement.coordinators.empty()));
}

[[nodiscard]] bool IsPlanned(const Gateway& gateway,
                             const RequestRecord& record) {
  const bool planned =
      gateway.config.placement.plan_regions == PlacementMode::kAlways ||
      gateway.placement.coordinators.contains(record.verdict.service);
  return IsPlanning(gateway) && planned &&
         record.arrival.head->prompt.tokens_in > 0;
}

[[nodiscard]] Flow FlowOf(const Gateway& gateway, const RequestRecord& record) {
  Flow flow;
  flow.origin = gateway.config.region;
  flow.service = record.verdict.service;
  if (record.verdict.regions) {
    flow.allowed = *record.verdict.regions;
    std::sort(flow.allowed.begin(), flow.allowed.end());
  }
  const bool is_long = record.arrival.head->prompt.tokens_in >=
                       gateway.config.speeds.prefill_chunk_tokens;
  flow.size = is_long ? SizeClass::kLong : SizeClass::kShort;
  return flow;
}

// Work of the request, in seconds of an engine of usual speed.
[[nodiscard]] double WorkOf(const Gateway& gateway,
                            const RequestRecord& record) {
  const Prompt& prompt = record.arrival.head->prompt;
  const EngineSpeeds& speeds = gateway.config.speeds;
  const ServiceProfile* profile =
      FindService(*gateway.catalogue, record.verdict.service);
  const std::size_t slots =
      profile != nullptr && profile->engine
          ? std::max<std::size_t>(1, profile->engine->slots)
          : 1;
  const double shared = std::min(SharedTokens(prompt), prompt.tokens_in);
  const double read = prompt.tokens_in - shared + kAssumedReadAgain * shared;
  const Duration decode = std::chrono::duration_cast<Duration>(
      speeds.step *
      (prompt.tokens_out * kBatchFactor / static_cast<double>(slots)));
  return std::chrono::duration<double>(PrefillTime(read, speeds) + decode)
      .count();
}

[[nodiscard]] std::uint64_t ReporterWeight(const InstanceId& id) {
  return RendezvousWeight(kReporterKey, id.value());
}

// Returns the reporters of a region among the instances in touch, at most two.
[[nodiscard]] std::vector<InstanceId> ReportersOf(const Gateway& gateway) {
  std::vector<InstanceId> ids;
  if (!gateway.drain_started) {
    ids.push_back(gateway.config.instance);
  }
  for (const PeerState& peer : gateway.peers) {
    if (peer.up && IsInOwnRegion(gateway, peer)) {
      ids.push_back(peer.config.id);
    }
  }
  std::sort(ids.begin(), ids.end(),
            [](const InstanceId& a, const InstanceId& b) {
              return ReporterWeight(a) > ReporterWeight(b);
            });
  ids.resize(std::min(ids.size(), kReporters));
  return ids;
}

[[nodiscard]] std::vector<ServiceCapacity> OwnCapacities(const Gateway& gateway,
                                                         TimePoint now) {
  std::vector<ServiceCapacity> capacities;
  for (const auto& [service, profile] : gateway.catalogue->services) {
    if (profile.engine) {
      capacities.push_back({gateway.config.region, service,
                            EngineCapacity(gateway.upstreams, service, now)});
    }
  }
  return capacities;
}

void Send(StepContext& context, const InstanceId& to,
          const std::shared_ptr<const TrafficMessage>& message) {
  context.effects.emplace_back(ForLinks{SendTraffic{to, message}});
}

// A reporter sends the reports of all regions to the instances of this region,
// and its own region's report to the linked instances of other regions, which
// pass it on to their reporters.
void SendReports(StepContext& context) {
  Gateway& gateway = context.gateway;
  RegionTraffic& traffic = gateway.traffic;
  MakeOwnReport(traffic, gateway.config.region,
                OwnCapacities(gateway, context.now), context.now);
  auto all = std::make_shared<TrafficMessage>();
  all->reports = FreshReports(traffic, context.now);
  auto own = std::make_shared<TrafficMessage>();
  for (const RegionReport& report : all->reports) {
    if (report.region == gateway.config.region) {
      own->reports.push_back(report);
    }
  }
  for (const PeerState& peer : gateway.peers) {
    if (peer.up) {
      Send(context, peer.config.id, IsInOwnRegion(gateway, peer) ? all : own);
    }
  }
}

void SendDemands(StepContext& context,
                 const std::vector<InstanceId>& reporters) {
  Gateway& gateway = context.gateway;
  auto message = std::make_shared<TrafficMessage>();
  message->demands = TakeDemands(gateway.traffic.own, context.now);
  message->reports = TakeDirectReports(gateway.traffic, context.now);
  if (message->demands.empty() && message->reports.empty()) {
    return;
  }
  for (const InstanceId& reporter : reporters) {
    Send(context, reporter, message);
  }
}

[[nodiscard]] std::set<RegionId> ReachableRegions(const Gateway& gateway) {
  std::set<RegionId> regions;
  for (const PeerState& peer : gateway.peers) {
    if (peer.up && !IsInOwnRegion(gateway, peer)) {
      regions.insert(peer.config.region);
    }
  }
  return regions;
}

// Returns a linked instance of the region that the request may be sent to, at
// random; null if there is none.
[[nodiscard]] const PeerConfig* PeerIn(Gateway& gateway,
                                       const RequestRecord& record,
                                       const RegionId& region) {
  std::vector<const PeerConfig*> candidates;
  for (const PeerState& peer : gateway.peers) {
    if (peer.up && peer.config.region == region &&
        IsPeerAllowed(record, peer.config)) {
      candidates.push_back(&peer.config);
    }
  }
  if (candidates.empty()) {
    return nullptr;
  }
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  return candidates[pick(gateway.random)];
}

// Returns the number from 0 to 1 that places the request among the shares of
// its flow: the same for all requests with the same shared prompt part, so that
// a part is read in few regions; else a random one.
[[nodiscard]] double DrawOf(Gateway& gateway, const RequestRecord& record) {
  constexpr double kHashCount = 18446744073709551616.0;  // 2^64
  const PromptPart* part = MostSpecificSharedPart(record.arrival.head->prompt);
  return part == nullptr
             ? std::uniform_real_distribution<double>()(gateway.random)
             : static_cast<double>(RendezvousWeight(part->id, "")) / kHashCount;
}

}  // namespace

void RecordCallerDemand(StepContext& context, const RequestRecord& record) {
  Gateway& gateway = context.gateway;
  if (IsPlanned(gateway, record) && record.arrival.origin == Origin::kCaller) {
    RecordDemand(gateway.traffic.own, FlowOf(gateway, record),
                 WorkOf(gateway, record), context.now);
  }
}

void SendTrafficMessages(StepContext& context) {
  Gateway& gateway = context.gateway;
  RegionTraffic& traffic = gateway.traffic;
  if (!IsPlanning(gateway) || context.now < traffic.next_message_at) {
    return;
  }
  traffic.next_message_at = context.now + RegionTraffic::kInterval;
  const std::vector<InstanceId> reporters = ReportersOf(gateway);
  const bool is_reporter =
      std::find(reporters.begin(), reporters.end(), gateway.config.instance) !=
      reporters.end();
  if (is_reporter) {
    SendReports(context);
  }
  // The other reporter needs the demand of this one too.
  std::vector<InstanceId> others = reporters;
  std::erase(others, gateway.config.instance);
  SendDemands(context, others);
  UpdatePlan(traffic, gateway.config.region, ReachableRegions(gateway),
             context.now);
}

void Handle(StepContext& context, TrafficReceived&& event) {
  Gateway& gateway = context.gateway;
  const PeerState* peer = FindPeer(gateway, event.from);
  if (peer == nullptr || !IsPlanning(gateway)) {
    return;
  }
  const bool in_region = IsInOwnRegion(gateway, *peer);
  if (in_region && !event.message.demands.empty()) {
    RecordInstanceDemand(gateway.traffic, event.from,
                         std::move(event.message.demands), context.now);
  }
  for (RegionReport& report : event.message.reports) {
    RecordRegionReport(gateway.traffic, std::move(report), !in_region,
                       context.now);
  }
}

const PeerConfig* ChoosePlannedPeer(StepContext& context,
                                    const RequestRecord& record) {
  Gateway& gateway = context.gateway;
  if (!IsPlanned(gateway, record) || !IsForwardingAllowed(record) ||
      record.attempts > 0 || record.placement.phase != PlacementPhase::kNone) {
    return nullptr;
  }
  const RegionId region = PlannedRegion(
      gateway.traffic.plan, FlowOf(gateway, record), DrawOf(gateway, record));
  if (region == gateway.config.region ||
      !AllowsRegion(record.verdict, region)) {
    return nullptr;
  }
  return PeerIn(gateway, record, region);
}

}  // namespace mimosagauge::detail
