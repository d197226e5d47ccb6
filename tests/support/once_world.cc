// Instances, store and upstreams under the test's clock.

#include "tests/support/once_world.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace mimosagauge::testing {
namespace {

using std::chrono::seconds;

// Short times, so that a run passes through all of them.
constexpr seconds kRetention{8};
constexpr seconds kTicketLife{15};
constexpr seconds kClaimLife{10};
constexpr seconds kClaimRetention{40};
// A bare key names one request for so long; calls are delivered in less.
constexpr seconds kBareWindow{20};
constexpr seconds kCallLife{10};

std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

KeyTableSettings TableSettings() {
  KeyTableSettings settings;
  settings.retention = kRetention;
  settings.ticket_lifetime = kTicketLife;
  settings.claim_lifetime = kClaimLife;
  settings.max_waiting = 3;
  return settings;
}

ClaimSettings CommitterSettings() {
  ClaimSettings settings;
  settings.retention = kClaimRetention;
  settings.bucket_width = seconds(5);
  return settings;
}

std::string InstanceName(std::size_t index) {
  return index == OnceWorld::kStore ? "store" : "i" + std::to_string(index);
}

}  // namespace

OnceWorld::OnceWorld(std::size_t instances, Without without)
    : without_(without), instances_(instances), starts_(instances) {
  for (std::size_t i = 0; i < instances; ++i) {
    instances_[i].clock_offset = seconds(1000 * i);
    instances_[i].far = i < instances / 2;
    Start(i);
  }
}

TimePoint OnceWorld::Now(std::size_t instance) const {
  return now_ + instances_[instance].clock_offset;
}

void OnceWorld::Start(std::size_t instance) {
  const std::uint64_t start =
      without_ == Without::kNonce ? 1 : ++starts_[instance];
  const KeyOwner self{InstanceId(InstanceName(instance)), Incarnation{1},
                      start};
  WorldInstance fresh;
  fresh.clock_offset = instances_[instance].clock_offset;
  fresh.cut = instances_[instance].cut;
  fresh.far = instances_[instance].far;
  instances_[instance] = std::move(fresh);
  instances_[instance].table =
      MakeKeyTable(self, Now(instance), TableSettings());
  instances_[instance].committer.settings = CommitterSettings();
}

std::vector<InstanceId> OnceWorld::Live() const {
  std::vector<InstanceId> live;
  for (const WorldInstance& instance : instances_) {
    if (instance.alive) {
      live.push_back(instance.table.self.instance);
    }
  }
  return live;
}

std::size_t OnceWorld::IndexOf(const InstanceId& id) const {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (instances_[i].table.self.instance == id) {
      return i;
    }
  }
  return kStore;
}

std::size_t OnceWorld::NewKey(std::size_t ticket_of) {
  const WorldInstance& owner = instances_[ticket_of];
  const std::uint64_t number = keys_.size() + 1;
  keys_.push_back(
      {{Mix(number), number}, MakeTicket(owner.table, Now(ticket_of)), now_});
  return keys_.size() - 1;
}

std::size_t OnceWorld::NewBareKey() {
  const std::uint64_t number = keys_.size() + 1;
  keys_.push_back({{Mix(number), number}, std::nullopt, now_});
  return keys_.size() - 1;
}

void OnceWorld::Send(std::size_t key, std::size_t entry,
                     std::uint64_t content) {
  if (!keys_[key].ticket && now_ >= keys_[key].first_sent + kBareWindow) {
    return;
  }
  calls_.push_back({key, {content, content}});
  const std::size_t call = calls_.size() - 1;
  Log("caller sends " + Name(call) + " to " + InstanceName(entry));
  network_.push_back({entry, entry, now_, CallMessage{call, false, {}}});
}

void OnceWorld::Tick() {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    WorldInstance& instance = instances_[i];
    if (instance.alive && !instance.paused) {
      Apply(i, TickClaims(instance.committer, Now(i)));
      Apply(i, RemoveExpiredKeys(instance.table, Now(i)));
      RemoveExpiredHandovers(instance.held, Now(i));
      RemoveExpiredNotices(instance.directory, Now(i));
    }
  }
}

bool OnceWorld::CanTravel(const Envelope& envelope) const {
  if (envelope.to != kStore && instances_[envelope.to].paused) {
    return false;
  }
  if (envelope.to == envelope.from) {
    return true;
  }
  const bool with_store = envelope.to == kStore || envelope.from == kStore;
  if (with_store && store_down_) {
    return false;
  }
  const auto is_cut = [this](std::size_t end) {
    return end != kStore && instances_[end].cut;
  };
  const auto is_far = [this](std::size_t end) {
    return end != kStore && instances_[end].far;
  };
  const bool crosses = is_far(envelope.to) != is_far(envelope.from);
  return !is_cut(envelope.to) && !is_cut(envelope.from) &&
         !(partitioned_ && crosses);
}

void OnceWorld::Post(std::size_t from, std::size_t to, Message message) {
  network_.push_back({to, from, now_, std::move(message)});
}

void OnceWorld::Deliver(std::size_t which, bool duplicate) {
  const Envelope envelope = network_[which];
  if (!CanTravel(envelope)) {
    return;
  }
  // A call to the store is made once; what is repeated is decided above it.
  const bool by_store = envelope.to == kStore || envelope.from == kStore;
  if (!duplicate || by_store) {
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(which));
  }
  Handle(envelope);
}

void OnceWorld::Drop(std::size_t which) {
  const Envelope envelope = network_[which];
  const auto* request = std::get_if<StoreMessage>(&envelope.message);
  if (request == nullptr &&
      !std::holds_alternative<StoreReply>(envelope.message)) {
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(which));
    return;
  }
  if (request != nullptr) {
    GiveUp(*request);
  }
}

// The store's silence becomes an event at the instance that waits for it. A
// write that is given up on may still take effect later.
void OnceWorld::GiveUp(const StoreMessage& message) {
  WorldInstance& from = instances_[message.from];
  if (!from.alive || from.paused) {
    return;
  }
  if (const auto* load = std::get_if<LoadSlot>(&message.request)) {
    Apply(message.from,
          HandleStoreEvent(from.committer, Now(message.from),
                           SlotLoadFailed{load->slot, load->call}));
    return;
  }
  const auto& commit = std::get<CommitClaims>(message.request);
  Apply(message.from,
        HandleStoreEvent(from.committer, Now(message.from),
                         ClaimOutcomeUnknown{commit.slot, commit.call}));
}

void OnceWorld::FailStoreCalls() {
  for (std::size_t i = 0, count = network_.size(); i < count; ++i) {
    const Envelope envelope = network_[i];
    if (envelope.to == kStore) {
      Log("the store does not answer " + InstanceName(envelope.from));
      GiveUp(std::get<StoreMessage>(envelope.message));
    }
  }
  std::erase_if(network_, [](const Envelope& envelope) {
    const auto* message = std::get_if<StoreMessage>(&envelope.message);
    return message != nullptr &&
           std::holds_alternative<LoadSlot>(message->request);
  });
}

void OnceWorld::DeliverAll() {
  constexpr int kMostMessages = 10000;
  for (int i = 0; i < kMostMessages; ++i) {
    const auto next = std::find_if(
        network_.begin(), network_.end(),
        [this](const Envelope& envelope) { return CanTravel(envelope); });
    if (next == network_.end()) {
      return;
    }
    Deliver(static_cast<std::size_t>(next - network_.begin()), false);
  }
}

void OnceWorld::Handle(const Envelope& envelope) {
  const std::size_t at = envelope.to;
  if (at == kStore) {
    HandleStore(std::get<StoreMessage>(envelope.message));
    return;
  }
  WorldInstance& instance = instances_[at];
  if (!instance.alive) {
    return;
  }
  const Message& message = envelope.message;
  if (const auto* call = std::get_if<CallMessage>(&message)) {
    const bool bare = !keys_[calls_[call->call].key].ticket;
    if (!bare || now_ < envelope.sent_at + kCallLife) {
      HandleCall(at, *call);
    }
  } else if (const auto* ask = std::get_if<ClaimAsk>(&message)) {
    Apply(at, RequestClaim(instance.committer, Now(at), *ask));
  } else if (const auto* binding = std::get_if<ClaimBinding>(&message)) {
    ClaimBinding learned = *binding;
    const auto active = instance.table.active.find(binding->key);
    if (without_ == Without::kClaimNumber &&
        active != instance.table.active.end()) {
      learned.number = active->second.claim;
    }
    Apply(at, ApplyClaimBinding(instance.table, Now(at), learned));
  } else if (const auto* refused = std::get_if<RefuseClaim>(&message)) {
    Apply(at, ApplyClaimRefusal(instance.table, refused->ask));
  } else if (const auto* answer = std::get_if<StoreReply>(&message)) {
    if (answer->to == instance.table.self) {
      Apply(at, HandleStoreEvent(instance.committer, Now(at), answer->event));
    }
  } else if (const auto* chunk = std::get_if<HandoverChunk>(&message)) {
    static_cast<void>(AcceptChunk(instance.held, Now(at), *chunk));
  } else if (const auto* notice = std::get_if<HandoverNotice>(&message)) {
    MergeHandoverNotice(instance.directory, Now(at), *notice);
  }
}

void OnceWorld::HandleCall(std::size_t at, const CallMessage& message) {
  const WorldCall& call = calls_[message.call];
  const WorldKey& key = keys_[call.key];
  const ContentFingerprint content =
      without_ == Without::kContentCheck ? ContentFingerprint{} : call.content;
  KeyedCall keyed{RequestNumber{message.call}, key.print, content,
                  KeyRoute::kEntry, Duration{}};
  if (key.ticket) {
    keyed.route = KeyRoute::kTicket;
    keyed.ticket_expiry = without_ == Without::kTicketExpiry
                              ? Duration(std::chrono::hours(1))
                              : key.ticket->expiry;
    HandleOwned(at, keyed, key.ticket->owner);
  } else if (message.forwarded) {
    keyed.route = KeyRoute::kBound;
    HandleOwned(at, keyed, message.owner);
  } else {
    Apply(at, AdmitCall(instances_[at].table, Now(at), keyed));
  }
}

void OnceWorld::HandleOwned(std::size_t at, const KeyedCall& call,
                            const KeyOwner& owner) {
  WorldInstance& instance = instances_[at];
  const KeyOwner& self = instance.table.self;
  const auto live = Live();
  const OwnerLocation place =
      without_ == Without::kOwnerCheck
          ? OwnedLocally{}
          : LocateOwner(owner, self, instance.held, instance.directory, live);
  const auto number = static_cast<std::size_t>(call.number.value());
  if (std::holds_alternative<OwnedLocally>(place)) {
    Apply(at, AdmitCall(instance.table, Now(at), call));
    if (without_ == Without::kTicketExpiry &&
        instance.table.records.contains(call.key)) {
      // Forgotten in time nevertheless.
      instance.table.records.at(call.key).ticket_expiry = Duration{};
    }
  } else if (std::holds_alternative<RecordsHeldLocally>(place)) {
    Apply(at, KeyEffects{AnswerFromHandover(instance.held, owner, call)});
  } else if (const auto* ask = std::get_if<ForwardToInstance>(&place)) {
    Post(at, IndexOf(ask->instance), CallMessage{number, true, owner});
  } else {
    Tell(number, RefuseCall{call.number, KeyRefusal::kOwnerUnreachable});
  }
}

void OnceWorld::HandleStore(const StoreMessage& message) {
  const KeyOwner to = instances_[message.from].table.self;
  if (const auto* load = std::get_if<LoadSlot>(&message.request)) {
    const Slot& slot = store_[load->slot];
    Post(kStore, message.from,
         StoreReply{to, SlotLoaded{load->slot, load->call, slot.revision,
                                        slot.value}});
    return;
  }
  const auto& commit = std::get<CommitClaims>(message.request);
  Slot& slot = store_[commit.slot];
  StoreEvent event = ClaimConflict{commit.slot, commit.call};
  if (slot.revision == commit.expected ||
      without_ == Without::kCompareAndSwap) {
    slot.revision = slot.revision.next();
    slot.value = *commit.value;
    ++record_.store_writes;
    Log("store takes a write of " + InstanceName(message.from) + ": " +
        std::to_string(BindingCount(slot.value)) + " bindings");
    event = ClaimCommitted{commit.slot, commit.call, slot.revision};
  }
  if (std::holds_alternative<ClaimConflict>(event)) {
    Log("store refuses a write of " + InstanceName(message.from) +
        ": the slot has changed");
  }
  if (store_lossy_) {
    Log("store loses the answer to " + InstanceName(message.from));
    event = ClaimOutcomeUnknown{commit.slot, commit.call};
  }
  if (without_ == Without::kReadBack) {
    event = ClaimCommitted{commit.slot, commit.call, slot.revision};
  }
  Post(kStore, message.from, StoreReply{to, event});
}

void OnceWorld::Apply(std::size_t at, const KeyEffects& effects) {
  for (const KeyEffect& effect : effects) {
    if (const auto* run = std::get_if<RunCall>(&effect)) {
      const auto call = run->number.value();
      const bool sent = !std::exchange(next_not_sent_, false);
      Log(InstanceName(at) + (sent ? " sends " : " fails to send ") +
          Name(call) + " to an upstream");
      if (sent) {
        ++record_.runs[{calls_[call].key, calls_[call].content}];
      }
      instances_[at].running.push_back({run->key, call, sent});
    } else if (const auto* ask = std::get_if<SendClaimRequest>(&effect)) {
      // Each instance misses another one in its view, so that several
      // committers work on one slot.
      auto seen = Live();
      if (seen.size() > 1) {
        seen.erase(seen.begin() +
                   static_cast<std::ptrdiff_t>(at % seen.size()));
      }
      Post(at, IndexOf(CommitterForSlot(SlotForKey(ask->ask.key), seen)),
           ask->ask);
    } else if (const auto* forward = std::get_if<ForwardCall>(&effect)) {
      const auto number = static_cast<std::size_t>(forward->number.value());
      KeyedCall call{forward->number, keys_[calls_[number].key].print,
                     calls_[number].content, KeyRoute::kBound, Duration{}};
      HandleOwned(at, call, forward->owner);
    } else if (const auto* replay = std::get_if<ReplayAnswer>(&effect)) {
      Tell(static_cast<std::size_t>(replay->number.value()), effect);
    } else {
      const auto& refuse = std::get<RefuseCall>(effect);
      Tell(static_cast<std::size_t>(refuse.number.value()), effect);
    }
  }
}

void OnceWorld::Apply(std::size_t at, const ClaimEffects& effects) {
  for (const ClaimEffect& effect : effects) {
    if (const auto* load = std::get_if<LoadSlot>(&effect)) {
      Post(at, kStore, StoreMessage{at, *load});
    } else if (const auto* commit = std::get_if<CommitClaims>(&effect)) {
      Post(at, kStore, StoreMessage{at, *commit});
    } else if (const auto* answer = std::get_if<AnswerClaim>(&effect)) {
      Post(at, IndexOf(answer->requester.instance), answer->binding);
    } else {
      const auto& refuse = std::get<RefuseClaim>(effect);
      Post(at, IndexOf(refuse.ask.requester.instance), refuse);
    }
  }
}

void OnceWorld::Finish(std::size_t instance, std::size_t which,
                       Outcome outcome) {
  WorldInstance& at = instances_[instance];
  if (!at.alive || at.paused || at.running.empty()) {
    return;
  }
  which %= at.running.size();
  const WorldInstance::Running running = at.running[which];
  at.running.erase(at.running.begin() + static_cast<std::ptrdiff_t>(which));
  if (!running.sent) {
    Tell(running.call,
         RefuseCall{RequestNumber{running.call}, KeyRefusal::kClosed});
    Apply(instance, RecordNotRun(at.table, Now(instance), running.key));
    if (without_ == Without::kClosing) {
      at.table.expiry_order.clear();
      at.table.records.erase(running.key);
    }
    return;
  }
  if (outcome == Outcome::kLost) {
    Tell(running.call,
         RefuseCall{RequestNumber{running.call}, KeyRefusal::kOutcomeUnknown});
    Apply(instance, RecordUnknown(at.table, Now(instance), running.key));
    return;
  }
  auto answer = std::make_shared<RecordedAnswer>();
  answer->head.status = 200;
  answer->body = "answer to call " + std::to_string(running.call);
  Tell(running.call, ReplayAnswer{RequestNumber{running.call}, answer});
  Apply(instance,
        RecordCompleted(at.table, Now(instance), running.key, answer));
}

void OnceWorld::Tell(std::size_t call, const KeyEffect& effect) {
  const WorldRecord::Request request{calls_[call].key, calls_[call].content};
  if (const auto* refuse = std::get_if<RefuseCall>(&effect)) {
    const RunState run = RunStateOf(refuse->refusal);
    Log("caller of " + Name(call) + " is told " +
        std::string(ToString(refuse->refusal)) + ", run " +
        std::string(ToString(run)));
    if (run == RunState::kNotRun) {
      record_.told_not_run.insert(request);
    }
    record_.unknown += run == RunState::kUnknown ? 1 : 0;
    return;
  }
  const std::string& body = std::get<ReplayAnswer>(effect).answer->body;
  Log("caller of " + Name(call) + " gets \"" + body + "\"");
  const auto [first, fresh] = record_.answer.emplace(request, body);
  record_.replays += fresh ? 0 : 1;
  record_.answers_differ |= first->second != body;
  // The answer of another content is not an answer.
  record_.answers_differ |= !record_.runs.contains(request);
}

void OnceWorld::Kill(std::size_t instance) {
  Log(InstanceName(instance) + " is killed");
  instances_[instance].alive = false;
  instances_[instance].running.clear();
}

void OnceWorld::Restart(std::size_t instance) {
  if (!instances_[instance].alive) {
    Log(InstanceName(instance) + " is started anew");
    Start(instance);
  }
}

void OnceWorld::SetPaused(std::size_t instance, bool paused) {
  Log(InstanceName(instance) + (paused ? " is frozen" : " is thawed"));
  instances_[instance].paused = paused;
}

void OnceWorld::SetCut(std::size_t instance, bool cut) {
  Log(InstanceName(instance) + (cut ? " is cut off" : " is reachable again"));
  instances_[instance].cut = cut;
}

void OnceWorld::SetPartitioned(bool partitioned) {
  Log(partitioned ? "the regions are partitioned"
                  : "the regions reach each other again");
  partitioned_ = partitioned;
}

void OnceWorld::StopPlanned(std::size_t instance, std::size_t successor) {
  WorldInstance& at = instances_[instance];
  if (!at.alive || at.paused || instance == successor) {
    return;
  }
  Log(InstanceName(instance) + " hands over to " + InstanceName(successor));
  Apply(instance, SealKeyTable(at.table, Now(instance)));
  auto chunks = ExportKeys(at.table, Now(instance)).value();
  if (without_ == Without::kSeal) {
    at.table.sealed_at.reset();
  }
  const auto older = ExportReceivedHandovers(at.held, Now(instance));
  chunks.insert(chunks.end(), older.begin(), older.end());
  for (const HandoverChunk& chunk : chunks) {
    Post(instance, successor, chunk);
    const auto known = at.directory.entries.find(chunk.owner);
    const std::uint32_t step =
        known == at.directory.entries.end() ? 1 : known->second.step + 1;
    const HandoverNotice notice{chunk.owner,
                                instances_[successor].table.self.instance, step,
                                chunk.hold_for};
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      Post(instance, i, notice);
    }
  }
}

void OnceWorld::Log(const std::string& line) {
  const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
      now_.time_since_epoch());
  log_ += std::to_string(at.count()) + " ms: " + line + "\n";
}

std::string OnceWorld::Name(std::size_t call) const {
  const WorldCall& sent = calls_[call];
  return "key " + std::to_string(sent.key) + " content " +
         std::to_string(sent.content.low) + " (call " + std::to_string(call) +
         ")";
}

std::string OnceWorld::TakeLog() { return std::exchange(log_, {}); }

std::string OnceWorld::BrokenPromise() const {
  std::map<std::size_t, int> runs_of_key;
  for (const auto& [request, runs] : record_.runs) {
    runs_of_key[request.first] += runs;
    if (record_.told_not_run.contains(request)) {
      return "key " + std::to_string(request.first) + " ran, told not_run";
    }
  }
  for (const auto& [key, runs] : runs_of_key) {
    if (runs > 1) {
      return "key " + std::to_string(key) + " ran twice";
    }
  }
  return record_.answers_differ ? "a key was answered in two ways" : "";
}

}  // namespace mimosagauge::testing
