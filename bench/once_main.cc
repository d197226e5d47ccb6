// What at-most-once costs: store writes as bare keys grow, memory and time of
// the key table, unknown answers of a crash.

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "mimosagauge/impl/decisions/once/claim_committer.h"
#include "mimosagauge/impl/decisions/once/key_table.h"
#include "mimosagauge/impl/decisions/once/ticket.h"
#include "mimosagauge/impl/duties/common/hash.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr std::uint64_t kSeed = 1;

KeyOwner Self() { return {InstanceId("nairobi-a-1"), Incarnation{1}, 1}; }

AccountId Account() { return AccountId("county-club"); }

double NanosecondsEach(Clock::time_point from, std::uint64_t count) {
  return std::chrono::duration<double, std::nano>(Clock::now() - from).count() /
         static_cast<double>(count);
}

// Bytes of a binding in the store, as wire/once.fbs lays it out.
constexpr std::uint64_t kBindingBytes = 32;

struct StoreCost {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t written_bytes = 0;
  std::uint64_t bound = 0;
  std::uint64_t refused = 0;
};

// Plays the store: every call is answered at once, and what that leads to.
void Serve(ClaimCommitter& committer, TimePoint now, ClaimEffects effects,
           StoreCost& cost) {
  while (!effects.empty()) {
    ClaimEffects more;
    const auto learn = [&](const StoreEvent& event) {
      const ClaimEffects next = HandleStoreEvent(committer, now, event);
      more.insert(more.end(), next.begin(), next.end());
    };
    for (const ClaimEffect& effect : effects) {
      if (const auto* load = std::get_if<LoadSlot>(&effect)) {
        ++cost.reads;
        learn(SlotLoaded{load->slot, load->call, {}, {}});
      } else if (const auto* commit = std::get_if<CommitClaims>(&effect)) {
        ++cost.writes;
        cost.written_bytes += BindingCount(*commit->value) * kBindingBytes;
        learn(ClaimCommitted{commit->slot, commit->call,
                             commit->expected.next()});
      } else if (std::holds_alternative<AnswerClaim>(effect)) {
        ++cost.bound;
      } else {
        ++cost.refused;
      }
    }
    effects = std::move(more);
  }
}

// One committer a slot, as when all instances agree on them.
void StoreWrites(std::uint64_t per_second) {
  constexpr std::uint64_t kSeconds = 60;
  constexpr milliseconds kTick{10};
  ClaimCommitter committer;
  std::mt19937_64 random(kSeed);
  StoreCost cost;
  TimePoint now{};
  std::uint64_t asked = 0;
  for (std::uint64_t tick = 1; tick <= kSeconds * 100; ++tick) {
    now += kTick;
    for (; asked < tick * per_second / 100; ++asked) {
      const KeyFingerprint key{random(), random()};
      Serve(committer, now,
            RequestClaim(committer, now, {key, Self(), ClaimNumber{asked + 1}}),
            cost);
    }
    Serve(committer, now, TickClaims(committer, now), cost);
  }
  fmt::print(
      "bare keys/s {:>5}: store writes/s {:.1f}, reads {}, written KB/s {:.0f},"
      " bound {}, refused {}\n",
      per_second, static_cast<double>(cost.writes) / kSeconds, cost.reads,
      static_cast<double>(cost.written_bytes) / kSeconds / 1000, cost.bound,
      cost.refused);
}

KeyedCall TicketCall(std::uint64_t number, KeyFingerprint key) {
  return {RequestNumber{number}, key, {1, 1}, KeyRoute::kTicket, seconds(600)};
}

void TableCost(std::uint64_t keys) {
  KeyTableSettings settings;
  settings.max_keys = keys;
  settings.max_total_answer_size = Kibibytes(1ULL << 30U);
  std::mt19937_64 random(kSeed);
  std::vector<KeyFingerprint> prints(keys);
  for (KeyFingerprint& print : prints) {
    print = {random(), random()};
  }
  const std::uint64_t before = mallinfo2().uordblks;
  KeyTable table = MakeKeyTable(Self(), TimePoint{}, settings);
  auto start = Clock::now();
  std::uint64_t number = 0;
  for (const KeyFingerprint& print : prints) {
    static_cast<void>(
        AdmitCall(table, TimePoint{}, TicketCall(++number, print)));
    static_cast<void>(RecordCompleted(table, TimePoint{}, print, nullptr));
  }
  const double admit = NanosecondsEach(start, keys);
  const std::uint64_t bytes = mallinfo2().uordblks - before;
  std::shuffle(prints.begin(), prints.end(), random);
  start = Clock::now();
  for (const KeyFingerprint& print : prints) {
    static_cast<void>(
        AdmitCall(table, TimePoint{}, TicketCall(++number, print)));
  }
  const double lookup = NanosecondsEach(start, keys);
  start = Clock::now();
  static_cast<void>(RemoveExpiredKeys(table, TimePoint(seconds(3600)), keys));
  fmt::print(
      "table of {} keys: {} bytes a key without its answer, new key {:.0f} ns,"
      " resend {:.0f} ns, forget {:.0f} ns\n",
      keys, bytes / keys, admit, lookup, NanosecondsEach(start, keys));
}

void TicketCost() {
  constexpr std::uint64_t kRounds = 100'000;
  const std::vector<Authenticator> secrets{MakeAuthenticator("secret")};
  const std::string ticket =
      IssueTicket(secrets, {Self(), seconds(600)}, Account()).value();
  const HashFunction hash = MakeHashFunction();
  std::uint64_t good = 0;
  const auto start = Clock::now();
  for (std::uint64_t i = 0; i < kRounds; ++i) {
    const IdempotencyKey key(ticket + ":" + std::to_string(i));
    good +=
        std::holds_alternative<TicketKey>(ClassifyKey(secrets, Account(), key))
            ? 1
            : 0;
    good += FingerprintOf(hash, Account(), key).low % 2;
  }
  fmt::print("ticket check and fingerprint: {:.0f} ns ({} good)\n",
             NanosecondsEach(start, kRounds), good);
}

// A crash loses the requests that run and those whose answer was lost; only
// resends of them are answered `unknown`.
void UnknownPerCrash(double per_second, milliseconds run_time) {
  const double unknown =
      per_second * std::chrono::duration<double>(run_time).count();
  constexpr int kCrashes = 1000;
  std::mt19937_64 random(kSeed);
  std::exponential_distribution<double> gap(per_second);
  std::uint64_t lost = 0;
  for (int crash = 0; crash < kCrashes; ++crash) {
    KeyTable table = MakeKeyTable(Self(), TimePoint{});
    std::vector<std::pair<double, KeyFingerprint>> running;
    std::uint64_t number = 0;
    for (double at = 0; at < 10; at += gap(random)) {
      const KeyFingerprint key{random(), random()};
      static_cast<void>(
          AdmitCall(table, TimePoint{}, TicketCall(++number, key)));
      running.emplace_back(at + std::chrono::duration<double>(run_time).count(),
                           key);
    }
    for (const auto& [end, key] : running) {
      if (end < 10) {
        static_cast<void>(RecordCompleted(table, TimePoint{}, key, nullptr));
      }
    }
    lost += table.active.size();
  }
  fmt::print(
      "crash at {:.0f} keyed requests/s of {} ms: {:.2f} unknown each"
      " ({:.2f} by rate times run time)\n",
      per_second, run_time.count(), static_cast<double>(lost) / kCrashes,
      unknown);
}

int Main() {
  fmt::print("seed {}\n", kSeed);
  for (const std::uint64_t per_second : {1, 10, 100, 1000, 10000}) {
    StoreWrites(per_second);
  }
  TableCost(10'000);
  TableCost(200'000);
  TicketCost();
  UnknownPerCrash(10, milliseconds(200));
  UnknownPerCrash(100, milliseconds(200));
  return 0;
}

}  // namespace
}  // namespace mimosagauge

int main() { return mimosagauge::Main(); }
