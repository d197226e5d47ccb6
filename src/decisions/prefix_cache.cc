// LRU cache of the prompt parts in an engine's KV cache.

#include "mimosagauge/impl/decisions/prefix_cache.h"

#include <algorithm>

namespace mimosagauge {
namespace {

// Number of shared parts. The last part of a prompt is not shared: it is
// specific to the request.
[[nodiscard]] std::size_t SharedPartCount(const Prompt& prompt) noexcept {
  return prompt.parts.empty() ? 0 : prompt.parts.size() - 1;
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
  if (part.tokens < kMinTrackedPartTokens) {
    return;
  }
  AddAsMostRecent(cache, part);
  while (cache.held > cache.capacity && !cache.lru_parts.empty()) {
    const std::uint64_t oldest = cache.lru_parts.back().id;
    Remove(cache, oldest);
  }
}

void Touch(PrefixCache& cache, const Prompt& prompt) {
  for (std::size_t i = 0; i < SharedPartCount(prompt); ++i) {
    Touch(cache, prompt.parts[i]);
  }
}

void Clear(PrefixCache& cache) {
  cache.lru_parts.clear();
  cache.index.clear();
  cache.held = 0;
}

std::uint32_t UncachedTokens(const PrefixCache& cache, const Prompt& prompt) {
  std::uint32_t cached_tokens = 0;
  for (std::size_t i = 0; i < SharedPartCount(prompt); ++i) {
    if (prompt.parts[i].tokens < kMinTrackedPartTokens) {
      continue;
    }
    // A cached part is usable only when all parts before it are cached too.
    if (cache.index.count(prompt.parts[i].id) == 0) {
      break;
    }
    cached_tokens += prompt.parts[i].tokens;
  }
  return prompt.tokens_in - std::min(prompt.tokens_in, cached_tokens);
}

const PromptPart* LeadingSharedPart(const Prompt& prompt) noexcept {
  for (std::size_t i = 0; i < SharedPartCount(prompt); ++i) {
    if (prompt.parts[i].tokens >= kMinTrackedPartTokens) {
      return &prompt.parts[i];
    }
  }
  return nullptr;
}

}  // namespace mimosagauge
