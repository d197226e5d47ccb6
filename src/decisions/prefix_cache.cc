// Least recently used parts of prompts.

#include "mimosagauge/impl/decisions/prefix_cache.h"

#include <algorithm>

namespace mimosagauge {
namespace {

// The last part belongs to the request alone.
[[nodiscard]] std::size_t SharedParts(const Prompt& prompt) noexcept {
  return prompt.parts.empty() ? 0 : prompt.parts.size() - 1;
}

void Remove(PrefixCache& cache, std::uint64_t id) {
  const auto found = cache.index.find(id);
  if (found == cache.index.end()) {
    return;
  }
  cache.held -= found->second->tokens;
  cache.by_use.erase(found->second);
  cache.index.erase(found);
}

void Add(PrefixCache& cache, const PromptPart& part) {
  Remove(cache, part.id);
  cache.by_use.push_front(part);
  cache.index[part.id] = cache.by_use.begin();
  cache.held += part.tokens;
}

}  // namespace

void Touch(PrefixCache& cache, const PromptPart& part) {
  if (part.tokens < kLeastTrackedTokens) {
    return;
  }
  Add(cache, part);
  while (cache.held > cache.capacity && !cache.by_use.empty()) {
    const std::uint64_t oldest = cache.by_use.back().id;
    Remove(cache, oldest);
  }
}

void Touch(PrefixCache& cache, const Prompt& prompt) {
  for (std::size_t i = 0; i < SharedParts(prompt); ++i) {
    Touch(cache, prompt.parts[i]);
  }
}

void Clear(PrefixCache& cache) {
  cache.by_use.clear();
  cache.index.clear();
  cache.held = 0;
}

std::uint32_t TokensToRead(const PrefixCache& cache, const Prompt& prompt) {
  std::uint32_t kept = 0;
  for (std::size_t i = 0; i < SharedParts(prompt); ++i) {
    if (prompt.parts[i].tokens < kLeastTrackedTokens) {
      continue;
    }
    // A part is of use only behind all parts before it.
    if (cache.index.count(prompt.parts[i].id) == 0) {
      break;
    }
    kept += prompt.parts[i].tokens;
  }
  return prompt.tokens_in - std::min(prompt.tokens_in, kept);
}

const PromptPart* LeadingPart(const Prompt& prompt) noexcept {
  for (std::size_t i = 0; i < SharedParts(prompt); ++i) {
    if (prompt.parts[i].tokens >= kLeastTrackedTokens) {
      return &prompt.parts[i];
    }
  }
  return nullptr;
}

}  // namespace mimosagauge
