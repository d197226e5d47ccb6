// LRU cache of the prompt parts in an engine's KV cache.

#include "mimosagauge/impl/decisions/prefix_cache.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace mimosagauge {
namespace {

// The end of the shared parts. The last part of a prompt is not shared: it is
// specific to the request.
[[nodiscard]] std::vector<PromptPart>::const_iterator EndOfSharedParts(
    const Prompt& prompt) noexcept {
  return prompt.parts.empty() ? prompt.parts.end()
                              : std::prev(prompt.parts.end());
}

[[nodiscard]] bool IsTracked(const PromptPart& part) noexcept {
  return part.tokens >= kMinTrackedPartTokens;
}

void Remove(PrefixCache& cache, std::uint64_t id) {
  const auto found = cache.index.find(id);
  if (found == cache.index.end()) {
    return;
  }
  cache.held -= found->second->tokens;
  cache.lru_parts.erase(found->second);
  cache.index.erase(found);
}

void AddAsMostRecent(PrefixCache& cache, const PromptPart& part) {
  Remove(cache, part.id);
  cache.lru_parts.push_front(part);
  cache.index[part.id] = cache.lru_parts.begin();
  cache.held += part.tokens;
}

}  // namespace

void Touch(PrefixCache& cache, const PromptPart& part) {
  if (!IsTracked(part)) {
    return;
  }
  AddAsMostRecent(cache, part);
  while (cache.held > cache.capacity && !cache.lru_parts.empty()) {
    const std::uint64_t oldest = cache.lru_parts.back().id;
    Remove(cache, oldest);
  }
}

void Touch(PrefixCache& cache, const Prompt& prompt) {
  std::for_each(prompt.parts.begin(), EndOfSharedParts(prompt),
                [&cache](const PromptPart& part) { Touch(cache, part); });
}

void Clear(PrefixCache& cache) {
  cache.lru_parts.clear();
  cache.index.clear();
  cache.held = 0;
}

std::uint32_t UncachedTokens(const PrefixCache& cache, const Prompt& prompt) {
  std::uint32_t cached_tokens = 0;
  const auto end = EndOfSharedParts(prompt);
  for (auto part = prompt.parts.begin(); part != end; ++part) {
    if (!IsTracked(*part)) {
      continue;
    }
    // A cached part is usable only when all parts before it are cached too.
    if (cache.index.count(part->id) == 0) {
      break;
    }
    cached_tokens += part->tokens;
  }
  return prompt.tokens_in - std::min(prompt.tokens_in, cached_tokens);
}

std::vector<PromptPart> TrackedSharedParts(const Prompt& prompt) {
  std::vector<PromptPart> parts;
  std::copy_if(prompt.parts.begin(), EndOfSharedParts(prompt),
               std::back_inserter(parts), IsTracked);
  return parts;
}

std::uint32_t SharedTokens(const Prompt& prompt) noexcept {
  return std::accumulate(prompt.parts.begin(), EndOfSharedParts(prompt), 0U,
                         [](std::uint32_t sum, const PromptPart& part) {
                           return sum + (IsTracked(part) ? part.tokens : 0);
                         });
}

const PromptPart* MostSpecificSharedPart(const Prompt& prompt) noexcept {
  const auto end = std::make_reverse_iterator(prompt.parts.begin());
  const auto found = std::find_if(
      std::make_reverse_iterator(EndOfSharedParts(prompt)), end, IsTracked);
  return found == end ? nullptr : &*found;
}

}  // namespace mimosagauge
