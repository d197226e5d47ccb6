// Instances of several regions that exchange the origins of streams.

#include "tests/support/stream_fleet.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "mimosagauge/impl/wire/streams_codec.h"

namespace mimosagauge::testing {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kInRegion = milliseconds(10);
constexpr Duration kBetweenRegions = milliseconds(60);
constexpr const char* kRegions[] = {"nairobi", "mombasa", "kisumu"};
constexpr const char* kVersions[] = {"v1", "v2"};
constexpr std::size_t kEnginesPerVersion = 2;

void AddEngine(FleetGateway& world, const std::string& region,
               const std::string& version, std::size_t number) {
  UpstreamRecord record;
  // The id ends with the version.
  record.config.id =
      UpstreamId{region + "-" + std::to_string(number) + "-" + version};
  record.config.service = ServiceId{"engines"};
  record.config.zone = ZoneId{region + "-a"};
  record.config.concurrency = 4096;
  record.config.honours_resume = true;
  record.config.endpoint = {"10.1.64.1", 8467};
  record.config.software = SoftwareVersion{version};
  world.Give(UpstreamUpdated{record});
}

[[nodiscard]] std::string VersionOf(const std::string& engine) {
  return engine.substr(engine.rfind('-') + 1);
}

}  // namespace

StreamFleet::StreamFleet(std::size_t per_region) {
  for (const char* region : kRegions) {
    for (std::size_t i = 1; i <= per_region; ++i) {
      StreamNode node;
      node.id = region + ("-" + std::to_string(i));
      node.region = region;
      node.world = std::make_unique<FleetGateway>(node.id, false, region);
      // Among equal engines the first is chosen, so that instances of even
      // number begin streams of one version, the others of the other one.
      for (std::size_t k = 0; k < std::size(kVersions); ++k) {
        for (std::size_t engine = 1; engine <= kEnginesPerVersion; ++engine) {
          AddEngine(*node.world, region, kVersions[(i + k) % 2], engine);
        }
      }
      nodes_.push_back(std::move(node));
    }
  }
  Connect();
}

void StreamFleet::Connect() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    for (const StreamNode& peer : nodes_) {
      if (peer.id == nodes_[i].id) {
        continue;
      }
      PeerConfig config;
      config.id = InstanceId{peer.id};
      config.region = RegionId{peer.region};
      config.zone = ZoneId{peer.region + "-a"};
      config.entry = {"10.2.0.1", 8000};
      config.link = {"10.2.0.1", 7660};
      nodes_[i].world->gateway().peers.emplace_back().config = config;
    }
    Apply(i, nodes_[i].world->Give(Tick{}));
    for (const Effect& effect : nodes_[i].world->Give(
             InstanceUpdated{nodes_[i].world->gateway().peers[0].config})) {
      const auto* links = std::get_if<ForLinks>(&effect);
      const auto* connect = links == nullptr
                                ? nullptr
                                : std::get_if<ConnectInstance>(&links->effect);
      if (connect != nullptr) {
        nodes_[i].world->Give(LinkChanged{connect->peer.id, true});
      }
    }
  }
}

std::size_t StreamFleet::Find(const InstanceId& id) const {
  const auto found = std::find_if(
      nodes_.begin(), nodes_.end(),
      [&](const StreamNode& node) { return node.id == id.value(); });
  return static_cast<std::size_t>(found - nodes_.begin());
}

void StreamFleet::Begin(std::size_t node, Duration deadline) {
  FleetRequest request;
  request.path = "/size/1";
  request.remaining = deadline;
  request.id = "stream-" + std::to_string(++next_stream_);
  FleetGateway& world = *nodes_[node].world;
  const auto effects = world.Request(request).second;
  Apply(node, effects);
  const auto start = testing::Find<StartUpstreamAttempt>(effects);
  if (!start) {
    return;
  }
  Apply(node, world.Answer(start->attempt, 200, true));
  Apply(node,
        world.Give(AttemptBodyReceived{start->attempt, "id: 1\n\n", "1"}));
  begun_.push_back({request.id, nodes_[node].region,
                    VersionOf(start->upstream.value()), now_});
}

void StreamFleet::Apply(std::size_t from, const std::vector<Effect>& effects) {
  for (const Effect& effect : effects) {
    if (const auto* upstreams = std::get_if<ForUpstreams>(&effect)) {
      if (const auto* start =
              std::get_if<StartUpstreamAttempt>(&upstreams->effect)) {
        resumed_at_ = start->upstream.value();
      }
    }
    const auto* links = std::get_if<ForLinks>(&effect);
    const auto* message =
        links == nullptr ? nullptr : std::get_if<SendStreams>(&links->effect);
    if (message == nullptr) {
      continue;
    }
    const std::size_t to = Find(message->to);
    const std::size_t size = EncodeStreams(message->message).size();
    const bool elsewhere = nodes_[from].region != nodes_[to].region;
    ++nodes_[from].messages;
    nodes_[from].bytes += size;
    nodes_[from].bytes_elsewhere += elsewhere ? size : 0;
    nodes_[to].bytes += size;
    under_way_.push_back({now_ + (elsewhere ? kBetweenRegions : kInRegion),
                          from, to, message->message});
  }
}

void StreamFleet::Run(Duration duration) {
  for (const TimePoint end = now_ + duration; now_ < end;) {
    now_ += kStep;
    std::vector<Message> arrived;
    std::erase_if(under_way_, [&](Message& message) {
      if (message.arrives > now_) {
        return false;
      }
      arrived.push_back(std::move(message));
      return true;
    });
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const auto effects = nodes_[i].world->Pass(kStep);
      if (nodes_[i].running) {
        Apply(i, effects);
      }
    }
    for (Message& message : arrived) {
      if (nodes_[message.to].running && nodes_[message.from].running) {
        Apply(message.to, nodes_[message.to].world->Give(StreamsReceived{
                              InstanceId{nodes_[message.from].id},
                              std::move(message.content)}));
      }
    }
  }
}

void StreamFleet::LoseRegion(const std::string& region) {
  for (StreamNode& lost : nodes_) {
    if (lost.region != region) {
      continue;
    }
    lost.running = false;
    for (StreamNode& node : nodes_) {
      if (node.region != region) {
        node.world->Give(LinkChanged{InstanceId{lost.id}, false});
      }
    }
  }
}

std::string StreamFleet::Resume(std::size_t node, const BegunStream& stream) {
  auto head = std::make_shared<RequestHead>();
  head->id = RequestId{"resumption-" + std::to_string(++next_stream_)};
  head->host = "nets.example";
  head->method = "POST";
  head->target = head->caller_path = "/size/1";
  head->remaining = std::chrono::seconds(4);
  head->resume_after = "1";
  head->resumes = RequestId{stream.id};
  head->revision = Revision{1};
  resumed_at_.clear();
  Apply(node, nodes_[node].world->Give(RequestArrived{
                  RequestNumber{1000000 + 2 * next_stream_}, Origin::kCaller,
                  head, std::make_shared<const std::string>()}));
  // All stages of the search end within this time.
  constexpr Duration kSearch = milliseconds(800);
  for (Duration waited{}; waited < kSearch && resumed_at_.empty();
       waited += kStep) {
    Run(kStep);
  }
  return resumed_at_.empty() ? "" : VersionOf(resumed_at_);
}

}  // namespace mimosagauge::testing
