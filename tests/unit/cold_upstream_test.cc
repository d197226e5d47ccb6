// Cold upstreams get few requests over all instances, also from those that the
// store cannot tell.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "tests/support/fleet_gateway.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FleetGateway;
using testing::FleetRequest;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kServiceTime = milliseconds(50);
constexpr Duration kStoreDelay = milliseconds(60);
constexpr Duration kLinkSilence = seconds(3);
constexpr double kColdPerSecond = 4.5;  // As in `FleetGateway::Catalogue`.
const UpstreamId kCold{"engine-0"};
const ZoneId kOtherZone{"nairobi-b"};

struct ColdCase {
  std::string name;
  std::size_t instances = 6;
  std::size_t without_store = 0;  // The first ones are cut off from the store.
  std::size_t without_links = 0;  // The first ones are cut off from the others.
  bool one_way = false;           // They still receive from the others.
  bool frozen_owner = false;      // The owner stops for a second, then resumes.
  bool killed_owner = false;
  // The first instance has not learned that the engine's zone was evacuated,
  // and is the only one that sends requests there.
  bool evacuated = false;
  // Of all instances, as many as one engine usually gets.
  double requests_per_second = 15;
};

// A region with one engine, which turns cold.
class ColdRegion {
 public:
  explicit ColdRegion(const ColdCase& cold_case)
      : case_(cold_case), members_(cold_case.instances) {
    for (std::size_t i = 0; i < members_.size(); ++i) {
      Start(i);
    }
    if (case_.evacuated) {
      for (std::size_t i = 1; i < members_.size(); ++i) {
        Absorb(i, members_[i].gateway->Give(ZoneEvacuated{kOtherZone, true}));
      }
    }
    for (std::size_t i = 0; i < case_.without_store; ++i) {
      Absorb(i, members_[i].gateway->Give(StoreContactChanged{false}));
    }
    Pass(seconds(1));
    CutLinks();
    Pass(seconds(1));
  }

  // The engine turns cold; who reaches the store learns it from there.
  void TurnCold(Duration cold) {
    cold_until_ = now_ + cold;
    cold_from_ = now_;
    store_tells_at_ = now_ + kStoreDelay;
    const std::size_t owner = Owner();
    if (case_.killed_owner) {
      members_[owner].running = false;
      SetLinks(owner, false);
    }
    if (case_.frozen_owner) {
      members_[owner].running = false;
    }
    Pass(seconds(1));
    if (case_.frozen_owner) {
      SetLinks(owner, false);
      members_[owner].running = true;
      Absorb(owner, members_[owner].gateway->Pass(
                        now_ - members_[owner].gateway->now()));
    }
    Pass(cold - seconds(1));
  }

  // The most requests that the cold engine got in one second of its cold time.
  [[nodiscard]] std::size_t MostPerSecond() const {
    std::size_t most = 0;
    for (auto first = arrivals_.begin(); first != arrivals_.end(); ++first) {
      if (*first >= cold_from_) {
        const auto end =
            std::upper_bound(first, arrivals_.end(), *first + seconds(1));
        most = std::max(most, static_cast<std::size_t>(end - first));
      }
    }
    return most;
  }
  [[nodiscard]] std::size_t MostHealthPerSecond() const {
    std::size_t most = 0;
    for (auto first = health_.begin(); first != health_.end(); ++first) {
      const auto end =
          std::upper_bound(first, health_.end(), *first + seconds(1));
      most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
  }
  [[nodiscard]] std::size_t arrivals() const { return arrivals_.size(); }

 private:
  struct Pending {
    AttemptNumber attempt;
    TimePoint due;
  };
  struct Digest {
    std::size_t from = 0;
    InstanceId to;
    std::shared_ptr<const LoadDigest> digest;
  };
  struct Member {
    std::unique_ptr<FleetGateway> gateway;
    bool running = true;
    std::deque<Pending> pending;
    std::vector<RequestHealth> health;
  };

  // The zone of the engine: the evacuated one, or that of the instances.
  [[nodiscard]] std::string ColdZone() const {
    return case_.evacuated ? kOtherZone.value() : "nairobi-a";
  }
  [[nodiscard]] static std::string Name(std::size_t index) {
    return "nairobi-" + std::to_string(index + 1);
  }

  void Start(std::size_t index) {
    index_.emplace(InstanceId{Name(index)}, index);
    Member& member = members_[index];
    member.gateway = std::make_unique<FleetGateway>(Name(index));
    member.gateway->Upstream(kCold.value(), "engines", false, {}, ColdZone());
    Gateway& gateway = member.gateway->gateway();
    for (std::size_t other = 0; other < members_.size(); ++other) {
      if (other != index) {
        PeerState& peer = gateway.peers.emplace_back();
        peer.config.id = InstanceId{Name(other)};
        peer.config.region = RegionId{"nairobi"};
        peer.link_requested = true;
        peer.up = true;
      }
    }
    if (!gateway.peers.empty()) {
      const InstanceId last = gateway.peers.back().config.id;
      member.gateway->Give(LinkChanged{last, true});
    }
  }

  [[nodiscard]] bool IsCut(std::size_t a, std::size_t b) const {
    return links_cut_ && (a < case_.without_links) != (b < case_.without_links);
  }

  void CutLinks() {
    links_cut_ = case_.without_links > 0;
    if (case_.one_way) {
      links_noticed_at_ = now_ + kLinkSilence;
      return;
    }
    for (std::size_t i = 0; i < case_.without_links; ++i) {
      SetLinks(i, false);
    }
  }

  // Reports the cut links of an instance, or all if there are none.
  void SetLinks(std::size_t index, bool up) {
    for (std::size_t other = 0; other < members_.size(); ++other) {
      if (other != index && (!links_cut_ || IsCut(index, other))) {
        members_[other].gateway->Give(LinkChanged{InstanceId{Name(index)}, up});
        members_[index].gateway->Give(LinkChanged{InstanceId{Name(other)}, up});
      }
    }
  }

  [[nodiscard]] std::size_t Owner() {
    for (std::size_t i = 0; i < members_.size(); ++i) {
      const Gateway& gateway = members_[i].gateway->gateway();
      if (gateway.upstreams.upstreams[gateway.upstreams.index.at(kCold)]
              .rate.owned) {
        return i;
      }
    }
    return 0;
  }

  void Pass(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end; now_ += kStep) {
      if (store_tells_at_ && now_ >= *store_tells_at_) {
        store_tells_at_.reset();
        for (std::size_t i = case_.without_store; i < members_.size(); ++i) {
          Absorb(i,
                 members_[i].gateway->Upstream(kCold.value(), "engines", false,
                                               cold_until_ - now_, ColdZone()));
        }
      }
      if (links_noticed_at_ && now_ >= *links_noticed_at_) {
        links_noticed_at_.reset();
        for (std::size_t i = 0; i < case_.without_links; ++i) {
          SetLinks(i, false);
        }
      }
      due_ += case_.requests_per_second *
              std::chrono::duration<double>(kStep).count();
      for (; due_ >= 1; due_ -= 1) {
        const std::size_t index = next_instance_++ % members_.size();
        if (members_[index].running) {
          FleetRequest request;
          request.path = "/quote/1";
          Absorb(index, members_[index].gateway->Request(request).second);
        }
      }
      for (std::size_t i = 0; i < members_.size(); ++i) {
        if (members_[i].running) {
          Run(i);
        }
      }
      DeliverDigests();
    }
  }

  void Run(std::size_t index) {
    Member& member = members_[index];
    for (const RequestHealth& request : std::exchange(member.health, {})) {
      UpstreamSignals signals;
      const bool cold = request.upstream == kCold && now_ < cold_until_;
      signals.cold = cold ? cold_until_ - now_ : Duration::zero();
      Absorb(index, member.gateway->Give(UpstreamHealthReceived{
                        request.upstream, request.start, signals}));
    }
    while (!member.pending.empty() && member.pending.front().due <= now_) {
      const AttemptNumber attempt = member.pending.front().attempt;
      member.pending.pop_front();
      Absorb(index, member.gateway->Answer(attempt));
    }
    Absorb(index, member.gateway->Pass(now_ - member.gateway->now()));
  }

  void DeliverDigests() {
    for (const Digest& digest : std::exchange(digests_, {})) {
      const std::size_t to = index_.at(digest.to);
      const bool one_way = case_.one_way && to < case_.without_links;
      if (members_[to].running && (!IsCut(digest.from, to) || one_way)) {
        Absorb(to, members_[to].gateway->Give(LoadReceived{
                       InstanceId{Name(digest.from)}, *digest.digest}));
      }
    }
  }

  void Absorb(std::size_t index, const std::vector<Effect>& effects) {
    for (const Effect& effect : effects) {
      if (const auto* links = std::get_if<ForLinks>(&effect)) {
        if (const auto* load = std::get_if<SendLoad>(&links->effect)) {
          digests_.push_back({index, load->to, load->digest});
        }
      } else if (const auto* own = std::get_if<ForUpstreams>(&effect)) {
        if (const auto* start =
                std::get_if<StartUpstreamAttempt>(&own->effect)) {
          members_[index].pending.push_back(
              {start->attempt, now_ + kServiceTime});
          if (start->upstream == kCold) {
            arrivals_.push_back(now_);
          }
        } else if (const auto* health =
                       std::get_if<RequestHealth>(&own->effect)) {
          members_[index].health.push_back(*health);
          if (health->upstream == kCold) {
            health_.push_back(now_);
          }
        }
      }
    }
  }

  ColdCase case_;
  TimePoint now_{seconds(1000)};
  std::vector<Member> members_;
  std::unordered_map<InstanceId, std::size_t> index_;
  std::vector<Digest> digests_;
  bool links_cut_ = false;
  std::optional<TimePoint> links_noticed_at_;
  std::optional<TimePoint> store_tells_at_;
  TimePoint cold_from_{};
  TimePoint cold_until_{};
  double due_ = 0;
  std::size_t next_instance_ = 0;
  std::vector<TimePoint> arrivals_;
  std::vector<TimePoint> health_;
};

std::vector<ColdCase> Cases() {
  const auto with = [](ColdCase cold_case,
                       const std::function<void(ColdCase&)>& change) {
    change(cold_case);
    return cold_case;
  };
  std::vector<ColdCase> cases;
  for (const std::size_t instances : {6u, 71u}) {
    ColdCase base;
    base.instances = instances;
    const std::string suffix = ", " + std::to_string(instances);
    const std::size_t all = instances;
    base.name = "all in contact" + suffix;
    cases.push_back(base);
    cases.push_back(with(base, [&](ColdCase& c) {
      c.name = "one without the store, alone in the zone" + suffix;
      c.without_store = 1;
      c.evacuated = true;
      c.requests_per_second *= static_cast<double>(all);
    }));
    cases.push_back(with(base, [&](ColdCase& c) {
      c.name = "two without the store" + suffix;
      c.without_store = 2;
    }));
    cases.push_back(with(base, [&](ColdCase& c) {
      c.name = "all without the store" + suffix;
      c.without_store = all;
    }));
    cases.push_back(with(base, [&](ColdCase& c) {
      c.name = "store down and a third partitioned" + suffix;
      c.without_store = all;
      c.without_links = all / 3;
    }));
    cases.push_back(with(base, [&](ColdCase& c) {
      c.name = "one-way partition" + suffix;
      c.without_store = 1;
      c.without_links = 1;
      c.one_way = true;
    }));
    cases.push_back(with(base, [&](ColdCase& c) {
      c.name = "frozen owner" + suffix;
      c.frozen_owner = true;
    }));
    cases.push_back(with(base, [&](ColdCase& c) {
      c.name = "killed owner" + suffix;
      c.killed_owner = true;
    }));
  }
  ColdCase large;
  large.name = "all without the store, 295";
  large.instances = 295;
  large.without_store = 295;
  cases.push_back(large);
  return cases;
}

// Guards against: an instance that the store cannot tell overruns a cold
// upstream, and two instances that both send to it.
TEST_CASE("cold upstreams get few requests also from instances cut off") {
  constexpr double kBound = 1.5 * kColdPerSecond + 3;
  // In any second; each side of a partition has an owner that asks.
  constexpr std::size_t kHealthRequests = 4;
  for (const ColdCase& cold_case : Cases()) {
    CAPTURE(cold_case.name);
    ColdRegion region(cold_case);
    region.TurnCold(seconds(3));
    CAPTURE(region.arrivals());
    CHECK(static_cast<double>(region.MostPerSecond()) <= kBound);
    CHECK(region.MostHealthPerSecond() <=
          kHealthRequests * (cold_case.without_links > 0 ? 2 : 1));
  }
}

}  // namespace
}  // namespace mimosagauge
