// Load digests as FlatBuffers behind a tag.

#include "mimosagauge/impl/wire/load_codec.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>
#include <vector>

#include "mimosagauge/impl/wire/load_schema.h"

namespace mimosagauge {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr double kPercent = 100;
// Rate that stands for the end of a limit.
constexpr double kNoLimit = -1;
// FlatBuffers wants its bytes aligned; the tag takes a whole unit.
constexpr std::size_t kTagBytes = 8;

[[nodiscard]] std::uint32_t Microseconds(Duration duration) {
  const auto count =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(count, 0, UINT32_MAX));
}

[[nodiscard]] std::uint64_t AgeToWire(Duration age) {
  const auto count =
      std::chrono::duration_cast<std::chrono::microseconds>(age).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

// Longer times are those of a faulty sender.
[[nodiscard]] Duration AgeFromWire(std::uint64_t microseconds) {
  constexpr std::chrono::microseconds kMax = std::chrono::hours(24);
  return std::min(
      kMax, std::chrono::microseconds(
                static_cast<std::int64_t>(std::min<std::uint64_t>(
                    microseconds, static_cast<std::uint64_t>(kMax.count())))));
}

[[nodiscard]] std::vector<Offset<wire::CrashReport>> WriteCrashes(
    FlatBufferBuilder& builder, const PoisonNews& news) {
  std::vector<Offset<wire::CrashReport>> crashes;
  for (const CrashReport& report : news.crashes) {
    std::vector<wire::SuspectContent> suspects;
    for (const SuspectContent& suspect : report.suspects) {
      suspects.emplace_back(suspect.id.value(), suspect.depth, suspect.begun);
    }
    crashes.push_back(wire::CreateCrashReport(
        builder, report.upstream.value(), report.incarnation.value(),
        AgeToWire(report.age), builder.CreateVectorOfStructs(suspects)));
  }
  return crashes;
}

[[nodiscard]] PoisonNews ReadPoisonNews(const wire::LoadDigest& table) {
  PoisonNews news;
  if (table.crashes() != nullptr) {
    for (const wire::CrashReport* report : *table.crashes()) {
      CrashReport& crash = news.crashes.emplace_back();
      crash.upstream = UpstreamHash{report->upstream()};
      crash.incarnation = Incarnation{report->incarnation()};
      crash.age = AgeFromWire(report->age_us());
      if (report->suspects() != nullptr) {
        for (const wire::SuspectContent* suspect : *report->suspects()) {
          crash.suspects.push_back(
              {ContentId{suspect->id()}, suspect->depth(), suspect->begun()});
        }
      }
    }
  }
  if (table.clearances() != nullptr) {
    for (const wire::Clearance* clearance : *table.clearances()) {
      news.clearances.push_back(
          {ContentId{clearance->id()}, AgeFromWire(clearance->age_us())});
    }
  }
  if (table.poison() != nullptr) {
    for (const wire::PoisonReport* report : *table.poison()) {
      news.poison.push_back(
          {ContentId{report->id()}, AgeFromWire(report->age_us()),
           AgeFromWire(report->refusal_us()),
           AgeFromWire(report->remaining_us()), report->crashes()});
    }
  }
  return news;
}

}  // namespace

std::string EncodeLoadDigest(const LoadDigest& digest) {
  FlatBufferBuilder builder;
  std::vector<wire::UpstreamShare> shares;
  for (const UpstreamShare& share : digest.shares) {
    shares.emplace_back(share.upstream.value(), share.in_flight,
                        share.unread_tokens, share.sent_tokens);
  }
  std::vector<wire::PartRead> parts;
  for (const PartRead& read : digest.parts) {
    parts.emplace_back(read.upstream.value(), read.part.id, read.part.tokens);
  }
  std::vector<wire::UpstreamOutcomes> outcomes;
  for (const UpstreamOutcomes& told : digest.outcomes) {
    outcomes.emplace_back(told.upstream.value(), told.outcomes.answered,
                          told.outcomes.failed);
  }
  std::vector<Offset<wire::ServiceOffer>> offers;
  for (const ServiceOffer& offer : digest.offers) {
    const auto service = builder.CreateString(offer.service.value());
    const double percent = std::clamp(offer.reading, 0.0, 1.0) * kPercent;
    offers.push_back(wire::CreateServiceOffer(
        builder, service, offer.usable, Microseconds(offer.start),
        static_cast<std::uint8_t>(std::lround(percent))));
  }
  const std::vector<Offset<wire::CrashReport>> crashes =
      WriteCrashes(builder, digest.poison);
  std::vector<wire::Clearance> clearances;
  for (const Clearance& clearance : digest.poison.clearances) {
    clearances.emplace_back(clearance.id.value(), AgeToWire(clearance.age));
  }
  std::vector<wire::PoisonReport> poison;
  for (const PoisonReport& report : digest.poison.poison) {
    poison.emplace_back(report.id.value(), AgeToWire(report.age),
                        AgeToWire(report.refusal), AgeToWire(report.remaining),
                        report.crashes);
  }
  std::vector<wire::LimitReport> limits;
  for (const LimitReport& report : digest.limits) {
    limits.emplace_back(report.upstream.value(),
                        report.requests_per_second.value_or(kNoLimit),
                        AgeToWire(report.age));
  }
  std::vector<wire::ColdReport> cold;
  for (const ColdReport& report : digest.cold) {
    cold.emplace_back(report.upstream.value(), report.incarnation.value(),
                      AgeToWire(report.remaining));
  }
  std::vector<wire::DepartureReport> departures;
  for (const DepartureReport& report : digest.departures) {
    departures.emplace_back(report.upstream.value(),
                            report.incarnation.value());
  }
  // Empty lists take no bytes.
  using Shares = Offset<flatbuffers::Vector<const wire::UpstreamShare*>>;
  using Parts = Offset<flatbuffers::Vector<const wire::PartRead*>>;
  using Outcomes = Offset<flatbuffers::Vector<const wire::UpstreamOutcomes*>>;
  using Offers = Offset<flatbuffers::Vector<Offset<wire::ServiceOffer>>>;
  using Crashes = Offset<flatbuffers::Vector<Offset<wire::CrashReport>>>;
  using Clearances = Offset<flatbuffers::Vector<const wire::Clearance*>>;
  using Limits = Offset<flatbuffers::Vector<const wire::LimitReport*>>;
  using Cold = Offset<flatbuffers::Vector<const wire::ColdReport*>>;
  using Departures = Offset<flatbuffers::Vector<const wire::DepartureReport*>>;
  using Poison = Offset<flatbuffers::Vector<const wire::PoisonReport*>>;
  const Shares share_list =
      shares.empty() ? Shares() : builder.CreateVectorOfStructs(shares);
  const Parts part_list =
      parts.empty() ? Parts() : builder.CreateVectorOfStructs(parts);
  const Offers offer_list =
      offers.empty() ? Offers() : builder.CreateVector(offers);
  const Outcomes outcome_list =
      outcomes.empty() ? Outcomes() : builder.CreateVectorOfStructs(outcomes);
  const Crashes crash_list =
      crashes.empty() ? Crashes() : builder.CreateVector(crashes);
  const Clearances clearance_list =
      clearances.empty() ? Clearances()
                         : builder.CreateVectorOfStructs(clearances);
  const Poison poison_list =
      poison.empty() ? Poison() : builder.CreateVectorOfStructs(poison);
  const Limits limit_list =
      limits.empty() ? Limits() : builder.CreateVectorOfStructs(limits);
  const Cold cold_list =
      cold.empty() ? Cold() : builder.CreateVectorOfStructs(cold);
  const Departures departure_list =
      departures.empty() ? Departures()
                         : builder.CreateVectorOfStructs(departures);
  builder.Finish(wire::CreateLoadDigest(
      builder, share_list, part_list, offer_list, digest.store_seen.revision,
      outcome_list, crash_list, clearance_list, poison_list, limit_list,
      cold_list, departure_list, digest.store_in_contact,
      digest.store_seen.era));
  std::string bytes(kTagBytes, kLoadDigestTag);
  for (std::size_t i = 0; i < builder.GetSize(); ++i) {
    bytes += static_cast<char>(builder.GetBufferPointer()[i]);
  }
  return bytes;
}

Result<LoadDigest> DecodeLoadDigest(std::string_view bytes) {
  const Error invalid{ErrorKind::kInvalidInput,
                      "a load digest of another instance does not hold",
                      "run the same release on both sides"};
  if (bytes.size() <= kTagBytes || bytes.front() != kLoadDigestTag) {
    return invalid;
  }
  // A copy, for the bytes of a frame are not aligned.
  const std::vector<std::uint8_t> payload(bytes.begin() + kTagBytes,
                                          bytes.end());
  flatbuffers::Verifier verifier(payload.data(), payload.size());
  if (!wire::VerifyLoadDigestBuffer(verifier)) {
    return invalid;
  }
  const wire::LoadDigest& table = *wire::GetLoadDigest(payload.data());
  LoadDigest digest;
  digest.store_seen = {table.store_era(), table.store_seen()};
  if (table.shares() != nullptr) {
    for (const wire::UpstreamShare* share : *table.shares()) {
      digest.shares.push_back({UpstreamHash{share->upstream()},
                               share->in_flight(), share->unread_tokens(),
                               share->sent_tokens()});
    }
  }
  if (table.parts() != nullptr) {
    for (const wire::PartRead* read : *table.parts()) {
      digest.parts.push_back(
          {UpstreamHash{read->upstream()}, {read->id(), read->tokens()}});
    }
  }
  if (table.outcomes() != nullptr) {
    for (const wire::UpstreamOutcomes* told : *table.outcomes()) {
      digest.outcomes.push_back(
          {UpstreamHash{told->upstream()}, {told->answered(), told->failed()}});
    }
  }
  if (table.offers() != nullptr) {
    for (const wire::ServiceOffer* offer : *table.offers()) {
      digest.offers.push_back({ServiceId{offer->service()->str()},
                               offer->usable(),
                               std::chrono::microseconds(offer->start_us()),
                               offer->reading_percent() / kPercent});
    }
  }
  if (table.limits() != nullptr) {
    for (const wire::LimitReport* report : *table.limits()) {
      const double rate = report->requests_per_second();
      const bool limited = std::isfinite(rate) && rate >= 0;
      digest.limits.push_back({UpstreamHash{report->upstream()},
                               limited ? std::optional(rate) : std::nullopt,
                               AgeFromWire(report->age_us())});
    }
  }
  if (table.cold() != nullptr) {
    for (const wire::ColdReport* report : *table.cold()) {
      digest.cold.push_back({UpstreamHash{report->upstream()},
                             Incarnation{report->incarnation()},
                             AgeFromWire(report->remaining_us())});
    }
  }
  if (table.departures() != nullptr) {
    for (const wire::DepartureReport* report : *table.departures()) {
      digest.departures.push_back({UpstreamHash{report->upstream()},
                                   Incarnation{report->incarnation()}});
    }
  }
  digest.store_in_contact = table.store_in_contact();
  digest.poison = ReadPoisonNews(table);
  return digest;
}

}  // namespace mimosagauge
