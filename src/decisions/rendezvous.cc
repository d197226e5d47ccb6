// Highest random weight (rendezvous) hashing with FNV-1a and a final mixing
// step.

#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge {
namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
constexpr unsigned kBitsPerByte = 8;

std::uint64_t MixByte(std::uint64_t hash, std::uint64_t byte) noexcept {
  constexpr std::uint64_t kByteMask = 0xff;
  return (hash ^ (byte & kByteMask)) * kFnvPrime;
}

}  // namespace

std::uint64_t RendezvousWeight(std::uint64_t key,
                               std::string_view name) noexcept {
  std::uint64_t hash = kFnvOffset;
  for (const char c : name) {
    hash = MixByte(hash, static_cast<unsigned char>(c));
  }
  for (unsigned i = 0; i < sizeof(key); ++i) {
    hash = MixByte(hash, key >> (i * kBitsPerByte));
  }
  // The high bits of an FNV hash are poorly mixed for short inputs.
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33U;
  return hash;
}

InstanceId ChooseByRendezvous(std::uint64_t key,
                              std::span<const InstanceId> candidates) {
  const InstanceId* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const InstanceId& instance : candidates) {
    const std::uint64_t weight = RendezvousWeight(key, instance.value());
    if (best == nullptr || weight > best_weight ||
        (weight == best_weight && instance < *best)) {
      best = &instance;
      best_weight = weight;
    }
  }
  return best == nullptr ? InstanceId{} : *best;
}

}  // namespace mimosagauge
