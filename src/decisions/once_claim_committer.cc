// Group commit of claims by compare-and-swap.

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/decisions/once/claim_committer.h"
#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge {
namespace {

using Phase = SlotState::Phase;

bool IsSettled(const ClaimBucket& bucket, const ClaimSettings& settings) {
  return bucket.open_for >= settings.bucket_width;
}

// The value as it is `elapsed` later.
SlotValue Aged(const SlotValue& value, Duration elapsed,
               const ClaimSettings& settings) {
  SlotValue aged;
  for (const ClaimBucket& bucket : value.buckets) {
    ClaimBucket copy = bucket;
    // A bucket that was open takes no more from now on if it is wide enough;
    // its closed time begins with this value.
    if (IsSettled(bucket, settings)) {
      copy.closed_for += elapsed;
    } else {
      copy.open_for += elapsed;
    }
    if (copy.closed_for < settings.retention) {
      aged.buckets.push_back(std::move(copy));
    }
  }
  return aged;
}

ClaimBucket& OpenBucket(SlotValue& value, const ClaimSettings& settings) {
  if (value.buckets.empty() || IsSettled(value.buckets.back(), settings)) {
    value.buckets.emplace_back();
  }
  return value.buckets.back();
}

void TakeValue(SlotState& state, TimePoint now, SlotRevision revision,
               SlotValue value) {
  state.revision = revision;
  state.value = std::move(value);
  state.value_at = now;
  state.bindings.clear();
  for (const ClaimBucket& bucket : state.value.buckets) {
    for (const ClaimBinding& binding : bucket.bindings) {
      state.bindings.emplace(binding.key, binding);
    }
  }
}

void AnswerBound(SlotState& state, ClaimEffects& effects) {
  std::erase_if(state.waiting, [&state, &effects](const WaitingAsk& waiting) {
    const auto found = state.bindings.find(waiting.ask.key);
    if (found == state.bindings.end()) {
      return false;
    }
    effects.emplace_back(AnswerClaim{waiting.ask.asker, found->second});
    return true;
  });
}

StoreCallNumber NextCall(ClaimCommitter& committer, SlotState& state) {
  committer.last_call = committer.last_call.next();
  state.call = committer.last_call;
  return state.call;
}

std::shared_ptr<const SlotValue> Propose(const SlotState& state, TimePoint now,
                                         const ClaimSettings& settings) {
  auto value = std::make_shared<SlotValue>(
      Aged(state.value, now - state.value_at, settings));
  std::size_t count = BindingCount(*value);
  std::unordered_map<KeyFingerprint, bool> taken;
  for (const WaitingAsk& waiting : state.waiting) {
    // Only the first question about a key is written; the others are answered
    // by what it wrote.
    if (count >= settings.max_bindings ||
        !taken.emplace(waiting.ask.key, true).second) {
      continue;
    }
    OpenBucket(*value, settings)
        .bindings.push_back(
            {waiting.ask.key, waiting.ask.asker, waiting.ask.number});
    ++count;
  }
  return taken.empty() ? nullptr : value;
}

void RefuseWaiting(SlotState& state, ClaimEffects& effects) {
  for (const WaitingAsk& waiting : state.waiting) {
    effects.emplace_back(RefuseClaim{waiting.ask});
  }
  state.waiting.clear();
}

Duration IntervalAfter(const SlotValue& value, const ClaimSettings& settings) {
  return std::max<Duration>(
      settings.interval, settings.interval_per_binding *
                             static_cast<Duration::rep>(BindingCount(value)));
}

void CommitIfDue(ClaimCommitter& committer, SlotNumber slot, SlotState& state,
                 TimePoint now, ClaimEffects& effects) {
  const ClaimSettings& settings = committer.settings;
  if (state.phase != Phase::kLoaded || state.waiting.empty() ||
      now < state.next_write_at) {
    return;
  }
  state.proposed = Propose(state, now, settings);
  if (!state.proposed) {
    RefuseWaiting(state, effects);
    return;
  }
  state.phase = Phase::kCommitting;
  state.next_write_at = now + IntervalAfter(*state.proposed, settings);
  effects.emplace_back(CommitClaims{slot, NextCall(committer, state),
                                    state.revision, state.proposed});
}

void LoadIfDue(ClaimCommitter& committer, SlotNumber slot, SlotState& state,
               TimePoint now, ClaimEffects& effects) {
  if (state.phase == Phase::kUnloaded && !state.waiting.empty() &&
      now >= state.retry_at) {
    state.phase = Phase::kLoading;
    effects.emplace_back(LoadSlot{slot, NextCall(committer, state)});
  }
}

// Drops what is past its time from a slot that nobody writes, so that a key
// can be claimed anew.
void AgeIdle(SlotState& state, TimePoint now, const ClaimSettings& settings) {
  if (state.phase == Phase::kLoaded &&
      now >= state.value_at + settings.bucket_width) {
    TakeValue(state, now, state.revision,
              Aged(state.value, now - state.value_at, settings));
  }
}

void RefuseImpatient(SlotState& state, TimePoint now,
                     const ClaimSettings& settings, ClaimEffects& effects) {
  std::erase_if(state.waiting,
                [&effects, now, &settings](const WaitingAsk& waiting) {
                  if (now < waiting.since + settings.patience) {
                    return false;
                  }
                  effects.emplace_back(RefuseClaim{waiting.ask});
                  return true;
                });
}

// Reads the slot again, at `when` or later.
void Unload(SlotState& state, TimePoint when) {
  state.phase = Phase::kUnloaded;
  state.proposed = nullptr;
  state.retry_at = when;
}

bool IsWaiting(const SlotState& state, const ClaimAsk& ask) {
  return std::any_of(state.waiting.begin(), state.waiting.end(),
                     [&ask](const WaitingAsk& waiting) {
                       return waiting.ask.key == ask.key &&
                              waiting.ask.asker == ask.asker;
                     });
}

/// Applies one event to the state of its slot.
struct Apply {
  SlotState& state;
  TimePoint now;
  const ClaimSettings& settings;

  void operator()(const SlotLoaded& event) const {
    if (state.phase == Phase::kLoading) {
      TakeValue(state, now, event.revision, event.value);
      state.phase = Phase::kLoaded;
    }
  }
  void operator()(const SlotLoadFailed& /*event*/) const {
    if (state.phase == Phase::kLoading) {
      Unload(state, now + settings.retry);
    }
  }
  void operator()(const ClaimCommitted& event) const {
    if (state.phase == Phase::kCommitting) {
      // Its ages are those of the moment it was proposed; learning it later
      // only makes them seem smaller.
      TakeValue(state, now, event.revision, *state.proposed);
      state.proposed = nullptr;
      state.phase = Phase::kLoaded;
    }
  }
  void operator()(const ClaimConflict& /*event*/) const {
    if (state.phase == Phase::kCommitting) {
      Unload(state, now);
    }
  }
  void operator()(const ClaimOutcomeUnknown& /*event*/) const {
    // The write may still be under way. Whatever is read and written next,
    // at most one of the two writes can hold: both expect one revision.
    if (state.phase == Phase::kCommitting) {
      Unload(state, now + settings.retry);
    }
  }
};

SlotNumber SlotOfEvent(const StoreEvent& event) {
  return std::visit([](const auto& kind) { return kind.slot; }, event);
}

StoreCallNumber CallOfEvent(const StoreEvent& event) {
  return std::visit([](const auto& kind) { return kind.call; }, event);
}

}  // namespace

std::size_t BindingCount(const SlotValue& value) noexcept {
  std::size_t count = 0;
  for (const ClaimBucket& bucket : value.buckets) {
    count += bucket.bindings.size();
  }
  return count;
}

ClaimEffects AskForClaim(ClaimCommitter& committer, TimePoint now,
                         const ClaimAsk& ask) {
  const SlotNumber slot = SlotOf(ask.key);
  SlotState& state = committer.slots[slot];
  const auto found = state.bindings.find(ask.key);
  if (found != state.bindings.end()) {
    return {AnswerClaim{ask.asker, found->second}};
  }
  if (!IsWaiting(state, ask)) {
    if (state.waiting.size() >= committer.settings.max_waiting) {
      return {RefuseClaim{ask}};
    }
    state.waiting.push_back({ask, now});
  }
  ClaimEffects effects;
  LoadIfDue(committer, slot, state, now, effects);
  CommitIfDue(committer, slot, state, now, effects);
  return effects;
}

ClaimEffects LearnFromStore(ClaimCommitter& committer, TimePoint now,
                            const StoreEvent& event) {
  const SlotNumber slot = SlotOfEvent(event);
  SlotState& state = committer.slots[slot];
  if (CallOfEvent(event) != state.call) {
    return {};
  }
  std::visit(Apply{state, now, committer.settings}, event);
  ClaimEffects effects;
  AnswerBound(state, effects);
  LoadIfDue(committer, slot, state, now, effects);
  CommitIfDue(committer, slot, state, now, effects);
  return effects;
}

ClaimEffects TickClaims(ClaimCommitter& committer, TimePoint now) {
  ClaimEffects effects;
  for (auto& [slot, state] : committer.slots) {
    RefuseImpatient(state, now, committer.settings, effects);
    AgeIdle(state, now, committer.settings);
    LoadIfDue(committer, slot, state, now, effects);
    CommitIfDue(committer, slot, state, now, effects);
  }
  return effects;
}

InstanceId CommitterOf(SlotNumber slot, std::span<const InstanceId> live) {
  return Rendezvous(slot.value(), live);
}

}  // namespace mimosagauge
