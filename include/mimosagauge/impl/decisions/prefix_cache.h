// What an instance believes an engine keeps of prompts that it has read.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_PREFIX_CACHE_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

/// Parts with fewer tokens are read again faster than they are kept track of.
inline constexpr std::uint32_t kLeastTrackedTokens = 512;

/// \brief The shared parts in one engine's memory; the least recently used
/// ones yield.
struct PrefixCache {
  /// Tokens of shared parts that the engine keeps beside running requests.
  std::uint64_t capacity = 0;
  std::uint64_t held = 0;        ///< At most `capacity`.
  std::list<PromptPart> by_use;  ///< The most recently used first.
  /// Where each part stands in `by_use`.
  std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> index;
};

/// \brief The engine reads, or has read, the prompt.
void Touch(PrefixCache& cache, const Prompt& prompt);

/// \brief The engine has been given one shared part to read.
void Touch(PrefixCache& cache, const PromptPart& part);

/// \brief The engine has lost everything.
void Clear(PrefixCache& cache);

/// \returns Tokens that the engine would have to read.
[[nodiscard]] std::uint32_t TokensToRead(const PrefixCache& cache,
                                         const Prompt& prompt);

/// \returns The first shared part worth keeping track of, or null.
[[nodiscard]] const PromptPart* LeadingPart(const Prompt& prompt) noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_PREFIX_CACHE_H_
