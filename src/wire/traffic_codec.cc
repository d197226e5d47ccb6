// Messages about the traffic between regions as FlatBuffers behind a tag.

#include "mimosagauge/impl/wire/traffic_codec.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <utility>
#include <vector>

#include "mimosagauge/impl/wire/traffic_schema.h"

namespace mimosagauge {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

// FlatBuffers wants its bytes aligned; the tag takes a whole unit.
constexpr std::size_t kTagBytes = 8;
// Longer lists and larger numbers are those of a faulty sender.
constexpr std::size_t kMaxEntries = 4096;
constexpr double kMaxWork = 1e9;
constexpr std::chrono::microseconds kMaxAge = std::chrono::hours(24);

using Demands = Offset<flatbuffers::Vector<Offset<wire::FlowDemand>>>;

[[nodiscard]] Demands WriteDemands(FlatBufferBuilder& builder,
                                   const std::vector<FlowDemand>& demands) {
  std::vector<Offset<wire::FlowDemand>> written;
  for (const FlowDemand& demand : demands) {
    const Flow& flow = demand.flow;
    std::vector<std::string> allowed;
    for (const RegionId& region : flow.allowed) {
      allowed.push_back(region.value());
    }
    const auto origin = builder.CreateString(flow.origin.value());
    const auto service = builder.CreateString(flow.service.value());
    const auto regions = builder.CreateVectorOfStrings(allowed);
    written.push_back(wire::CreateFlowDemand(builder, origin, service, regions,
                                             flow.size == SizeClass::kLong,
                                             static_cast<float>(demand.work)));
  }
  return written.empty() ? Demands() : builder.CreateVector(written);
}

[[nodiscard]] double WorkFromWire(float work) {
  return std::isfinite(work)
             ? std::clamp(static_cast<double>(work), 0.0, kMaxWork)
             : 0;
}

[[nodiscard]] std::vector<FlowDemand> ReadDemands(
    const flatbuffers::Vector<Offset<wire::FlowDemand>>* list) {
  std::vector<FlowDemand> demands;
  if (list == nullptr || list->size() > kMaxEntries) {
    return demands;
  }
  for (const wire::FlowDemand* entry : *list) {
    FlowDemand demand;
    demand.flow.origin = RegionId{entry->origin()->str()};
    demand.flow.service = ServiceId{entry->service()->str()};
    demand.flow.size =
        entry->long_generation() ? SizeClass::kLong : SizeClass::kShort;
    if (entry->allowed() != nullptr) {
      for (const flatbuffers::String* region : *entry->allowed()) {
        demand.flow.allowed.push_back(RegionId{region->str()});
      }
    }
    std::sort(demand.flow.allowed.begin(), demand.flow.allowed.end());
    demand.work = WorkFromWire(entry->work());
    demands.push_back(std::move(demand));
  }
  return demands;
}

[[nodiscard]] Offset<wire::RegionReport> WriteReport(
    FlatBufferBuilder& builder, const RegionReport& report) {
  std::vector<Offset<wire::ServiceCapacity>> capacities;
  for (const ServiceCapacity& capacity : report.capacities) {
    const auto service = builder.CreateString(capacity.service.value());
    capacities.push_back(wire::CreateServiceCapacity(
        builder, service, static_cast<float>(capacity.work)));
  }
  const auto region = builder.CreateString(report.region.value());
  const Demands demands = WriteDemands(builder, report.demands);
  const auto capacity_list = builder.CreateVector(capacities);
  const auto age =
      std::chrono::duration_cast<std::chrono::microseconds>(report.age).count();
  return wire::CreateRegionReport(
      builder, region,
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, age)), demands,
      capacity_list);
}

[[nodiscard]] RegionReport ReadReport(const wire::RegionReport& table) {
  RegionReport report;
  report.region = RegionId{table.region()->str()};
  report.age = std::min(
      kMaxAge,
      std::chrono::microseconds(
          static_cast<std::int64_t>(std::min<std::uint64_t>(
              table.age_us(), static_cast<std::uint64_t>(kMaxAge.count())))));
  report.demands = ReadDemands(table.demands());
  if (table.capacities() != nullptr &&
      table.capacities()->size() <= kMaxEntries) {
    for (const wire::ServiceCapacity* capacity : *table.capacities()) {
      report.capacities.push_back({report.region,
                                   ServiceId{capacity->service()->str()},
                                   WorkFromWire(capacity->work())});
    }
  }
  return report;
}

}  // namespace

std::string EncodeTrafficMessage(const TrafficMessage& message) {
  FlatBufferBuilder builder;
  std::vector<Offset<wire::RegionReport>> reports;
  for (const RegionReport& report : message.reports) {
    reports.push_back(WriteReport(builder, report));
  }
  const Demands demands = WriteDemands(builder, message.demands);
  const auto report_list = builder.CreateVector(reports);
  builder.Finish(wire::CreateTrafficMessage(builder, demands, report_list));
  std::string bytes(kTagBytes, kTrafficTag);
  bytes.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
               builder.GetSize());
  return bytes;
}

Result<TrafficMessage> DecodeTrafficMessage(std::string_view bytes) {
  const Error invalid{ErrorKind::kInvalidInput,
                      "a traffic message of another instance is not valid",
                      "run the same release on both sides"};
  if (bytes.size() <= kTagBytes || bytes.front() != kTrafficTag) {
    return invalid;
  }
  // A copy, for the bytes of a frame are not aligned.
  const std::vector<std::uint8_t> payload(bytes.begin() + kTagBytes,
                                          bytes.end());
  flatbuffers::Verifier verifier(payload.data(), payload.size());
  if (!wire::VerifyTrafficMessageBuffer(verifier)) {
    return invalid;
  }
  const wire::TrafficMessage& table = *wire::GetTrafficMessage(payload.data());
  TrafficMessage message;
  message.demands = ReadDemands(table.demands());
  if (table.reports() != nullptr && table.reports()->size() <= kMaxEntries) {
    for (const wire::RegionReport* report : *table.reports()) {
      message.reports.push_back(ReadReport(*report));
    }
  }
  return message;
}

}  // namespace mimosagauge
