// Estimate of the prompt parts that an engine holds in its KV cache.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_PREFIX_CACHE_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

/// Parts with fewer tokens are not tracked: their prefill is cheaper than
/// tracking them.
inline constexpr std::uint32_t kMinTrackedPartTokens = 512;

/// \brief The shared prompt parts that are estimated to be in one engine's KV
/// cache. The least recently used parts are evicted first.
struct PrefixCache {
  /// Tokens of shared parts that fit into the KV cache beside those of running
  /// requests.
  std::uint64_t capacity = 0;
  std::uint64_t held = 0;  ///< Tokens of all cached parts; at most `capacity`.
  /// Cached parts, the most recently used first.
  std::list<PromptPart> lru_parts;
  /// Position of each part in `lru_parts`, by the id of the part.
  std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> index;
};

/// \brief Marks the shared parts of a prompt that was sent to the engine as
/// cached and most recently used; evicts other parts when the cache is full.
void Touch(PrefixCache& cache, const Prompt& prompt);

/// \brief Marks one shared part that was sent to the engine as cached and most
/// recently used; evicts other parts when the cache is full. A part with fewer
/// than `kMinTrackedPartTokens` tokens is ignored.
void Touch(PrefixCache& cache, const PromptPart& part);

/// \brief Removes all parts, as after a restart of the engine.
void Clear(PrefixCache& cache);

/// \returns The prompt tokens that the engine would have to prefill because
/// they are not cached.
[[nodiscard]] std::uint32_t UncachedTokens(const PrefixCache& cache,
                                           const Prompt& prompt);

/// \returns The tracked shared parts of the prompt, in order.
[[nodiscard]] std::vector<PromptPart> TrackedSharedParts(const Prompt& prompt);

/// \returns The tokens of all tracked shared parts of the prompt.
[[nodiscard]] std::uint32_t SharedTokens(const Prompt& prompt) noexcept;

/// \returns The last tracked shared part, or null when the prompt has none.
/// Prompts begin with the parts that most requests share, so the last one
/// identifies the requests that benefit from the same cache. Points into
/// `prompt`.
[[nodiscard]] const PromptPart* MostSpecificSharedPart(
    const Prompt& prompt) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_PREFIX_CACHE_H_
