// Messages about placement as FlatBuffers behind a tag.

#include "mimosagauge/impl/wire/placement_codec.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "mimosagauge/impl/decisions/prefix_cache.h"
#include "mimosagauge/impl/wire/placement_schema.h"

namespace mimosagauge {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

// FlatBuffers wants its bytes aligned; the tag takes a whole unit.
constexpr std::size_t kTagBytes = 8;

// Longer times are those of a faulty sender.
constexpr std::chrono::microseconds kMaxTime = std::chrono::hours(24);

[[nodiscard]] std::uint64_t ToWire(Duration time) {
  const auto rounded =
      std::chrono::duration_cast<std::chrono::microseconds>(time);
  return static_cast<std::uint64_t>(
      std::clamp(rounded, std::chrono::microseconds::zero(), kMaxTime).count());
}

[[nodiscard]] std::uint32_t ToShortWire(Duration time) {
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(ToWire(time), UINT32_MAX));
}

[[nodiscard]] Duration FromWire(std::uint64_t microseconds) {
  const auto longest = static_cast<std::uint64_t>(kMaxTime.count());
  return std::chrono::microseconds(
      static_cast<std::int64_t>(std::min(microseconds, longest)));
}

// An empty list takes no bytes.
template <typename T>
[[nodiscard]] Offset<flatbuffers::Vector<const T*>> WriteStructs(
    FlatBufferBuilder& builder, const std::vector<T>& values) {
  return values.empty() ? Offset<flatbuffers::Vector<const T*>>()
                        : builder.CreateVectorOfStructs(values);
}

template <typename Id>
[[nodiscard]] Offset<flatbuffers::Vector<std::uint64_t>> WriteNumbers(
    FlatBufferBuilder& builder, const std::vector<Id>& ids) {
  std::vector<std::uint64_t> values;
  values.reserve(ids.size());
  for (const Id id : ids) {
    values.push_back(id.value());
  }
  return values.empty() ? Offset<flatbuffers::Vector<std::uint64_t>>()
                        : builder.CreateVector(values);
}

template <typename Id>
void ReadNumbers(const flatbuffers::Vector<std::uint64_t>* list,
                 std::vector<Id>& ids) {
  if (list != nullptr) {
    for (const std::uint64_t value : *list) {
      ids.push_back(Id{value});
    }
  }
}

constexpr double kPercent = 100;

[[nodiscard]] std::uint16_t ToShortCount(std::size_t count) {
  return static_cast<std::uint16_t>(std::min<std::size_t>(count, UINT16_MAX));
}

[[nodiscard]] wire::PlacementLoad WriteLoad(const PlacementLoad& load) {
  const LoadReport& report = load.report;
  // A report of zero would read as none.
  const double percent = report.slowdown
                             ? std::clamp(*report.slowdown * kPercent, 1.0,
                                          static_cast<double>(UINT16_MAX))
                             : 0;
  return {load.upstream.value(), ToShortCount(report.running),
          ToShortCount(report.waiting), ToShortCount(report.slots),
          static_cast<std::uint16_t>(percent)};
}

[[nodiscard]] PlacementLoad ReadLoad(const wire::PlacementLoad& load) {
  PlacementLoad read{UpstreamHash{load.upstream()},
                     {load.running(), load.waiting(), load.slots(), {}}};
  if (load.slowdown_percent() > 0) {
    read.report.slowdown = load.slowdown_percent() / kPercent;
  }
  return read;
}

[[nodiscard]] Offset<wire::PlacementRequest> WriteRequest(
    FlatBufferBuilder& builder, const PlacementRequest& request) {
  std::vector<wire::PlacementPart> parts;
  for (const PromptPart& part : TrackedSharedParts(request.prompt)) {
    parts.emplace_back(part.id, part.tokens);
  }
  const auto service = builder.CreateString(request.service.value());
  const auto model = request.model.empty()
                         ? Offset<flatbuffers::String>()
                         : builder.CreateString(request.model.value());
  const auto part_list = WriteStructs(builder, parts);
  const auto tried = WriteNumbers(builder, request.tried);
  const ElsewhereEstimate elsewhere =
      request.elsewhere.value_or(ElsewhereEstimate{});
  return wire::CreatePlacementRequest(
      builder, request.number.value(), service, model, request.prompt.tokens_in,
      request.prompt.tokens_out, part_list, request.priority, request.resume,
      ToWire(request.remaining), ToWire(request.start_within), tried,
      ToShortWire(elsewhere.start), elsewhere.prompt_tokens,
      elsewhere.part_cached);
}

[[nodiscard]] PlacementRequest ReadRequest(
    const wire::PlacementRequest& table) {
  PlacementRequest request;
  request.number = PlacementNumber{table.number()};
  request.service = ServiceId{table.service()->str()};
  if (table.model() != nullptr) {
    request.model = ModelId{table.model()->str()};
  }
  request.prompt.tokens_in = table.tokens_in();
  request.prompt.tokens_out = table.tokens_out();
  if (table.parts() != nullptr) {
    for (const wire::PlacementPart* part : *table.parts()) {
      request.prompt.parts.push_back({part->id(), part->tokens()});
    }
    // The last part of a prompt is not a shared one.
    request.prompt.parts.emplace_back();
  }
  request.priority =
      std::min<std::uint8_t>(table.priority(), Verdict::kLowestPriority);
  request.resume = table.resume();
  request.remaining = FromWire(table.remaining_us());
  request.start_within = FromWire(table.start_within_us());
  ReadNumbers(table.tried(), request.tried);
  if (table.elsewhere_start_us() > 0) {
    request.elsewhere =
        ElsewhereEstimate{FromWire(table.elsewhere_start_us()),
                          table.elsewhere_tokens(), table.elsewhere_cached()};
  }
  return request;
}

void ReadAnswers(const wire::PlacementMessage& table,
                 std::vector<PlacementAnswer>& answers) {
  if (table.answers() == nullptr) {
    return;
  }
  for (const wire::PlacementAnswer* answer : *table.answers()) {
    const auto decision = static_cast<PlacementDecision>(answer->decision());
    if (decision < PlacementDecision::kGranted ||
        decision > PlacementDecision::kElsewhere) {
      continue;  // Of a later release; the request is then placed locally.
    }
    answers.push_back({PlacementNumber{answer->number()}, decision,
                       UpstreamHash{answer->upstream()},
                       UpstreamHash{answer->cache_source()},
                       FromWire(answer->start_us()), answer->prompt_tokens(),
                       FromWire(answer->time_us())});
  }
}

}  // namespace

std::string EncodePlacementMessage(const PlacementMessage& message) {
  FlatBufferBuilder builder;
  std::vector<Offset<wire::PlacementRequest>> requests;
  for (const PlacementRequest& request : message.requests) {
    requests.push_back(WriteRequest(builder, request));
  }
  std::vector<wire::PlacementAnswer> answers;
  for (const PlacementAnswer& answer : message.answers) {
    answers.emplace_back(answer.number.value(), answer.upstream.value(),
                         answer.cache_source.value(), ToShortWire(answer.start),
                         answer.prompt_tokens, ToShortWire(answer.time),
                         static_cast<std::uint8_t>(answer.decision));
  }
  std::vector<wire::PlacementBegun> begun;
  for (const PlacementBegun& one : message.begun) {
    begun.emplace_back(one.number.value(), ToShortWire(one.taken));
  }
  std::vector<wire::PlacementRunning> running;
  for (const PlacementRunning& one : message.running) {
    running.emplace_back(one.number.value(), one.upstream.value(),
                         ToWire(one.remaining), one.unread_tokens);
  }
  std::vector<wire::PlacementLoad> loads;
  for (const PlacementLoad& one : message.loads) {
    loads.push_back(WriteLoad(one));
  }
  std::vector<Offset<flatbuffers::String>> services;
  for (const ServiceId& service : message.state_of) {
    services.push_back(builder.CreateString(service.value()));
  }
  using Requests = Offset<flatbuffers::Vector<Offset<wire::PlacementRequest>>>;
  using Services = Offset<flatbuffers::Vector<Offset<flatbuffers::String>>>;
  const Requests request_list =
      requests.empty() ? Requests() : builder.CreateVector(requests);
  const auto answer_list = WriteStructs(builder, answers);
  const auto begun_list = WriteStructs(builder, begun);
  const auto ended = WriteNumbers(builder, message.ended);
  const auto refused = WriteNumbers(builder, message.refused);
  const auto running_list = WriteStructs(builder, running);
  const Services state_of =
      services.empty() ? Services() : builder.CreateVector(services);
  const auto pending = WriteNumbers(builder, message.pending);
  const auto load_list = WriteStructs(builder, loads);
  builder.Finish(wire::CreatePlacementMessage(
      builder, request_list, answer_list, begun_list, ended, refused,
      running_list, state_of, pending, message.probe, message.alive,
      message.waiting, load_list));
  std::string bytes(kTagBytes, kPlacementTag);
  bytes.append(builder.GetBufferPointer(),
               builder.GetBufferPointer() + builder.GetSize());
  return bytes;
}

Result<PlacementMessage> DecodePlacementMessage(std::string_view bytes) {
  const Error invalid{ErrorKind::kInvalidInput,
                      "a placement message of another instance does not hold",
                      "run the same release on both sides"};
  if (bytes.size() <= kTagBytes || bytes.front() != kPlacementTag) {
    return invalid;
  }
  // A copy, for the bytes of a frame are not aligned.
  const std::vector<std::uint8_t> payload(bytes.begin() + kTagBytes,
                                          bytes.end());
  flatbuffers::Verifier verifier(payload.data(), payload.size());
  if (!wire::VerifyPlacementMessageBuffer(verifier)) {
    return invalid;
  }
  const wire::PlacementMessage& table =
      *wire::GetPlacementMessage(payload.data());
  PlacementMessage message;
  if (table.requests() != nullptr) {
    for (const wire::PlacementRequest* request : *table.requests()) {
      message.requests.push_back(ReadRequest(*request));
    }
  }
  ReadAnswers(table, message.answers);
  if (table.begun() != nullptr) {
    for (const wire::PlacementBegun* one : *table.begun()) {
      message.begun.push_back(
          {PlacementNumber{one->number()}, FromWire(one->taken_us())});
    }
  }
  ReadNumbers(table.ended(), message.ended);
  ReadNumbers(table.refused(), message.refused);
  if (table.running() != nullptr) {
    for (const wire::PlacementRunning* one : *table.running()) {
      message.running.push_back(
          {PlacementNumber{one->number()}, UpstreamHash{one->upstream()},
           one->unread_tokens(), FromWire(one->remaining_us())});
    }
  }
  if (table.state_of() != nullptr) {
    for (const flatbuffers::String* service : *table.state_of()) {
      message.state_of.push_back(ServiceId{service->str()});
    }
  }
  ReadNumbers(table.pending(), message.pending);
  if (table.loads() != nullptr) {
    for (const wire::PlacementLoad* one : *table.loads()) {
      message.loads.push_back(ReadLoad(*one));
    }
  }
  message.probe = table.probe();
  message.alive = table.alive();
  message.waiting = table.waiting();
  return message;
}

}  // namespace mimosagauge
