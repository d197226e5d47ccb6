// Group commit of claims with compare-and-swap.

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/decisions/once/claim_committer.h"
#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge {
namespace {

using Phase = SlotState::Phase;

bool IsClosed(const ClaimBucket& bucket, const ClaimSettings& settings) {
  return bucket.open_for >= settings.bucket_width;
}

// Returns the value after `elapsed` more time: its ages are increased, and
// expired buckets are removed.
SlotValue AgeValue(const SlotValue& value, Duration elapsed,
                   const ClaimSettings& settings) {
  SlotValue aged;
  for (const ClaimBucket& bucket : value.buckets) {
    ClaimBucket copy = bucket;
    // An open bucket that reaches the bucket width with this value is closed;
    // its closed time starts at the time of this value.
    if (IsClosed(bucket, settings)) {
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

ClaimBucket& EnsureOpenBucket(SlotValue& value, const ClaimSettings& settings) {
  if (value.buckets.empty() || IsClosed(value.buckets.back(), settings)) {
    value.buckets.emplace_back();
  }
  return value.buckets.back();
}

void SetValue(SlotState& state, TimePoint now, SlotRevision revision,
              SlotValue value) {
  state.revision = revision;
  state.value = std::move(value);
  state.value_as_of = now;
  state.bindings.clear();
  for (const ClaimBucket& bucket : state.value.buckets) {
    for (const ClaimBinding& binding : bucket.bindings) {
      state.bindings.emplace(binding.key, binding);
    }
  }
}

void AnswerBoundClaims(SlotState& state, ClaimEffects& effects) {
  std::erase_if(state.waiting, [&state, &effects](const PendingClaim& waiting) {
    const auto found = state.bindings.find(waiting.request.key);
    if (found == state.bindings.end()) {
      return false;
    }
    effects.emplace_back(AnswerClaim{waiting.request.requester, found->second});
    return true;
  });
}

StoreCallNumber StartStoreCall(ClaimCommitter& committer, SlotState& state) {
  committer.last_call = committer.last_call.next();
  state.call = committer.last_call;
  return state.call;
}

std::shared_ptr<const SlotValue> ProposeValue(const SlotState& state,
                                              TimePoint now,
                                              const ClaimSettings& settings) {
  auto value = std::make_shared<SlotValue>(
      AgeValue(state.value, now - state.value_as_of, settings));
  std::size_t count = BindingCount(*value);
  std::unordered_map<KeyFingerprint, bool> proposed_keys;
  for (const PendingClaim& waiting : state.waiting) {
    // Only the first request for a key is written; the other requests are
    // answered with the binding that it wrote.
    if (count >= settings.max_bindings_per_slot ||
        !proposed_keys.emplace(waiting.request.key, true).second) {
      continue;
    }
    EnsureOpenBucket(*value, settings)
        .bindings.push_back({waiting.request.key, waiting.request.requester,
                             waiting.request.number});
    ++count;
  }
  return proposed_keys.empty() ? nullptr : value;
}

void RefuseAllWaiting(SlotState& state, ClaimEffects& effects) {
  for (const PendingClaim& waiting : state.waiting) {
    effects.emplace_back(RefuseClaim{waiting.request});
  }
  state.waiting.clear();
}

Duration WriteIntervalFor(const SlotValue& value,
                          const ClaimSettings& settings) {
  return std::max<Duration>(
      settings.interval, settings.write_interval_per_binding *
                             static_cast<Duration::rep>(BindingCount(value)));
}

void CommitIfDue(ClaimCommitter& committer, SlotNumber slot, SlotState& state,
                 TimePoint now, ClaimEffects& effects) {
  const ClaimSettings& settings = committer.settings;
  if (state.phase != Phase::kLoaded || state.waiting.empty() ||
      now < state.next_write_at) {
    return;
  }
  state.proposed_value = ProposeValue(state, now, settings);
  if (!state.proposed_value) {
    RefuseAllWaiting(state, effects);
    return;
  }
  state.phase = Phase::kCommitting;
  state.next_write_at = now + WriteIntervalFor(*state.proposed_value, settings);
  effects.emplace_back(CommitClaims{slot, StartStoreCall(committer, state),
                                    state.revision, state.proposed_value});
}

void LoadIfDue(ClaimCommitter& committer, SlotNumber slot, SlotState& state,
               TimePoint now, ClaimEffects& effects) {
  if (state.phase == Phase::kUnloaded && !state.waiting.empty() &&
      now >= state.retry_at) {
    state.phase = Phase::kLoading;
    effects.emplace_back(LoadSlot{slot, StartStoreCall(committer, state)});
  }
}

// Removes the expired bindings of a slot that is not being written, so that
// their keys can be claimed again.
void AgeLoadedValue(SlotState& state, TimePoint now,
                    const ClaimSettings& settings) {
  if (state.phase == Phase::kLoaded &&
      now >= state.value_as_of + settings.bucket_width) {
    SetValue(state, now, state.revision,
             AgeValue(state.value, now - state.value_as_of, settings));
  }
}

void RefuseTimedOut(SlotState& state, TimePoint now,
                    const ClaimSettings& settings, ClaimEffects& effects) {
  std::erase_if(state.waiting,
                [&effects, now, &settings](const PendingClaim& waiting) {
                  if (now < waiting.requested_at + settings.patience) {
                    return false;
                  }
                  effects.emplace_back(RefuseClaim{waiting.request});
                  return true;
                });
}

// Makes the slot be read again at `when` or later.
void ScheduleLoad(SlotState& state, TimePoint when) {
  state.phase = Phase::kUnloaded;
  state.proposed_value = nullptr;
  state.retry_at = when;
}

bool IsWaiting(const SlotState& state, const ClaimAsk& request) {
  return std::any_of(state.waiting.begin(), state.waiting.end(),
                     [&request](const PendingClaim& waiting) {
                       return waiting.request.key == request.key &&
                              waiting.request.requester == request.requester;
                     });
}

/// Applies an event to the state of its slot.
struct StoreEventHandler {
  SlotState& state;
  TimePoint now;
  const ClaimSettings& settings;

  void operator()(const SlotLoaded& event) const {
    if (state.phase == Phase::kLoading) {
      SetValue(state, now, event.revision, event.value);
      state.phase = Phase::kLoaded;
    }
  }
  void operator()(const SlotLoadFailed& /*event*/) const {
    if (state.phase == Phase::kLoading) {
      ScheduleLoad(state, now + settings.retry);
    }
  }
  void operator()(const ClaimCommitted& event) const {
    if (state.phase == Phase::kCommitting) {
      // The ages in the value were computed when it was proposed. Dating it
      // now, after the write, only makes the bindings look younger than they
      // are.
      SetValue(state, now, event.revision, *state.proposed_value);
      state.proposed_value = nullptr;
      state.phase = Phase::kLoaded;
    }
  }
  void operator()(const ClaimConflict& /*event*/) const {
    if (state.phase == Phase::kCommitting) {
      ScheduleLoad(state, now);
    }
  }
  void operator()(const ClaimOutcomeUnknown& /*event*/) const {
    // The write may still be in progress. Whatever is read and written next, at
    // most one of the two writes takes effect, because both expect the same
    // revision.
    if (state.phase == Phase::kCommitting) {
      ScheduleLoad(state, now + settings.retry);
    }
  }
};

SlotNumber SlotNumberOf(const StoreEvent& event) {
  return std::visit([](const auto& alternative) { return alternative.slot; },
                    event);
}

StoreCallNumber CallNumberOf(const StoreEvent& event) {
  return std::visit([](const auto& alternative) { return alternative.call; },
                    event);
}

}  // namespace

std::size_t BindingCount(const SlotValue& value) noexcept {
  std::size_t count = 0;
  for (const ClaimBucket& bucket : value.buckets) {
    count += bucket.bindings.size();
  }
  return count;
}

ClaimEffects RequestClaim(ClaimCommitter& committer, TimePoint now,
                          const ClaimAsk& request) {
  const SlotNumber slot = SlotForKey(request.key);
  SlotState& state = committer.slots[slot];
  const auto found = state.bindings.find(request.key);
  if (found != state.bindings.end()) {
    return {AnswerClaim{request.requester, found->second}};
  }
  if (!IsWaiting(state, request)) {
    if (state.waiting.size() >= committer.settings.max_waiting) {
      return {RefuseClaim{request}};
    }
    state.waiting.push_back({request, now});
  }
  ClaimEffects effects;
  LoadIfDue(committer, slot, state, now, effects);
  CommitIfDue(committer, slot, state, now, effects);
  return effects;
}

ClaimEffects HandleStoreEvent(ClaimCommitter& committer, TimePoint now,
                              const StoreEvent& event) {
  const SlotNumber slot = SlotNumberOf(event);
  SlotState& state = committer.slots[slot];
  if (CallNumberOf(event) != state.call) {
    return {};
  }
  std::visit(StoreEventHandler{state, now, committer.settings}, event);
  ClaimEffects effects;
  AnswerBoundClaims(state, effects);
  LoadIfDue(committer, slot, state, now, effects);
  CommitIfDue(committer, slot, state, now, effects);
  return effects;
}

ClaimEffects TickClaims(ClaimCommitter& committer, TimePoint now) {
  ClaimEffects effects;
  for (auto& [slot, state] : committer.slots) {
    RefuseTimedOut(state, now, committer.settings, effects);
    AgeLoadedValue(state, now, committer.settings);
    LoadIfDue(committer, slot, state, now, effects);
    CommitIfDue(committer, slot, state, now, effects);
  }
  return effects;
}

InstanceId CommitterForSlot(SlotNumber slot, std::span<const InstanceId> live) {
  return ChooseByRendezvous(slot.value(), live);
}

}  // namespace mimosagauge
