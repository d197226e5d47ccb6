// Several instances, the store and the upstreams' record in one process, to
// drive keyed calls under any order of messages and failures.

#ifndef TESTS_SUPPORT_ONCE_WORLD_H_
#define TESTS_SUPPORT_ONCE_WORLD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "mimosagauge/impl/decisions/once/claim_committer.h"
#include "mimosagauge/impl/decisions/once/handover.h"
#include "mimosagauge/impl/decisions/once/key_table.h"

namespace mimosagauge::testing {

/// \brief A mechanism that a run goes without, to see that it is needed.
enum class Without : std::uint8_t {
  kNothing,
  kCompareAndSwap,  ///< The store writes whatever the revision.
  kOwnerCheck,      ///< Whoever receives a ticket's key takes it as its own.
  kTicketExpiry,    ///< New keys are taken however old the ticket.
  kClosing,         ///< A key that was not run is forgotten at once.
  kClaimNumber,     ///< Any claim of its own lets a process run a key.
  kReadBack,        ///< A lost answer of the store is taken for success.
  kNonce,           ///< Starts of an instance cannot be told apart.
  kSeal,            ///< An owner goes on taking keys after it handed over.
  kContentCheck,    ///< The content of a resent key is not compared.
};

/// \brief A key and where its calls go.
struct WorldKey {
  KeyFingerprint print;
  std::optional<Ticket> ticket;
  TimePoint first_sent{};
};

/// \brief One call on its way to an instance.
struct CallMessage {
  std::size_t call = 0;
  bool forwarded = false;
  KeyOwner owner;  ///< Only of a forwarded one.
};
struct StoreMessage {
  std::size_t from = 0;
  std::variant<LoadSlot, CommitClaims> request;
};
struct StoreReply {
  KeyOwner to;
  StoreEvent event;
};
using Message =
    std::variant<CallMessage, ClaimAsk, ClaimBinding, RefuseClaim, StoreMessage,
                 StoreReply, HandoverChunk, HandoverNotice>;

struct Envelope {
  std::size_t to = 0;  ///< Instance, or `kStore`.
  std::size_t from = 0;
  TimePoint sent_at{};
  Message message;
};

struct WorldInstance {
  bool alive = true;
  bool paused = false;
  bool cut = false;  ///< From all other instances and the store.
  bool far = false;  ///< In the region without the store.
  Duration clock_offset{};
  KeyTable table;
  ClaimCommitter committer;
  ReceivedHandovers held;
  HandoverDirectory directory;
  struct Running {
    KeyFingerprint key;
    std::size_t call = 0;
    bool sent = false;
  };
  std::vector<Running> running;
};

struct WorldCall {
  std::size_t key = 0;
  ContentFingerprint content;
};

/// \brief What callers were told and what the upstreams saw.
struct WorldRecord {
  using Request = std::pair<std::size_t, ContentFingerprint>;
  std::map<Request, int> runs;            ///< By the upstreams.
  std::set<Request> told_not_run;         ///< Callers.
  std::map<Request, std::string> answer;  ///< Callers; the first one.
  bool answers_differ = false;            ///< Or one was another content's.
  std::size_t replays = 0;
  std::size_t unknown = 0;
  std::size_t store_writes = 0;
};

/// \brief The whole system; every step takes its choices from its caller.
class OnceWorld {
 public:
  static constexpr std::size_t kStore = 1000;

  OnceWorld(std::size_t instances, Without without);

  // Callers.
  std::size_t NewKey(std::size_t ticket_of);
  std::size_t NewBareKey();
  void Send(std::size_t key, std::size_t entry, std::uint64_t content);

  // Time and messages.
  void Advance(Duration by) { now_ += by; }
  void Tick();
  void Deliver(std::size_t which, bool duplicate);
  void Drop(std::size_t which);
  void DeliverAll();
  [[nodiscard]] std::size_t messages() const { return network_.size(); }

  // Outcomes of the running requests.
  enum class Outcome : std::uint8_t { kAnswered, kLost };
  void Finish(std::size_t instance, std::size_t which, Outcome outcome);

  // Failures.
  void Kill(std::size_t instance);
  void Restart(std::size_t instance);
  void SetPaused(std::size_t instance, bool paused);
  void SetCut(std::size_t instance, bool cut);
  /// Cuts the first half of the instances off from the others and the store.
  void SetPartitioned(bool partitioned);
  void SetStoreDown(bool down) { store_down_ = down; }
  /// Every call to the store under way is given up on by who made it.
  void FailStoreCalls();
  /// The store loses its answers, after the act.
  void SetStoreLossy(bool lossy) { store_lossy_ = lossy; }
  /// The next request to run turns out not to have been sent.
  void SetNextNotSent() { next_not_sent_ = true; }
  void StopPlanned(std::size_t instance, std::size_t successor);

  [[nodiscard]] const WorldRecord& record() const { return record_; }
  [[nodiscard]] const std::vector<WorldInstance>& instances() const {
    return instances_;
  }
  /// \returns What happened since the last call, one line each.
  [[nodiscard]] std::string TakeLog();
  /// \returns The first promise found broken; empty: none.
  [[nodiscard]] std::string BrokenPromise() const;

 private:
  [[nodiscard]] TimePoint Now(std::size_t instance) const;
  [[nodiscard]] std::vector<InstanceId> Live() const;
  [[nodiscard]] std::size_t IndexOf(const InstanceId& id) const;
  void Start(std::size_t instance);
  void Post(std::size_t from, std::size_t to, Message message);
  [[nodiscard]] bool CanTravel(const Envelope& envelope) const;
  void Handle(const Envelope& envelope);
  void HandleCall(std::size_t at, const CallMessage& message);
  void HandleOwned(std::size_t at, const KeyedCall& call,
                   const KeyOwner& owner);
  void GiveUp(const StoreMessage& message);
  void HandleStore(const StoreMessage& message);
  void Apply(std::size_t at, const KeyEffects& effects);
  void Apply(std::size_t at, const ClaimEffects& effects);
  void Tell(std::size_t call, const KeyEffect& effect);
  void Log(const std::string& line);
  [[nodiscard]] std::string Name(std::size_t call) const;

  struct Slot {
    SlotRevision revision;
    SlotValue value;
  };

  Without without_;
  TimePoint now_{};
  std::vector<WorldInstance> instances_;
  std::vector<std::uint64_t> starts_;
  std::vector<WorldKey> keys_;
  std::vector<WorldCall> calls_;
  std::deque<Envelope> network_;
  std::map<SlotNumber, Slot> store_;
  bool partitioned_ = false;
  bool store_down_ = false;
  bool store_lossy_ = false;
  bool next_not_sent_ = false;
  WorldRecord record_;
  std::string log_;
};

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_ONCE_WORLD_H_
