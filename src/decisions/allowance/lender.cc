// The lender of a region: buckets, grants and transfers.

#include "mimosagauge/impl/decisions/allowance/lender.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace mimosagauge {
namespace {

// Time for which a request waits for amounts from other regions. Together with
// the way to the lender it stays below the time that a request is held.
constexpr Duration kMaxPending = std::chrono::milliseconds(215);
// A lender of another region that has not answered within this time is asked
// again; its response takes 110 ms on the way.
constexpr Duration kTransferTimeout = std::chrono::milliseconds(180);
// Time until a response of a lender of another region arrives.
constexpr double kTransferSeconds = 0.11;
// Shortest time between two requests for transfers ahead for one account.
constexpr Duration kTransferInterval = std::chrono::milliseconds(20);
// Transfers ahead are requested only where the others can spare this part.
constexpr double kWorthwhile = 0.1;
// What another lender could spare is not estimated from an older report than
// this; it is then taken to have a full bucket.
constexpr Duration kSpareValidity = std::chrono::seconds(2);
// Demand of this length of time is kept back from transfers to other regions.
constexpr double kKeptSeconds = 0.15;
// A region whose demand exceeds its rate takes amounts ahead when less than the
// first of these times is covered, for the second.
constexpr double kLowSeconds = 0.2;
constexpr double kAheadSeconds = 0.3;
// Part of a bucket that is not lent ahead of demand.
constexpr double kKeptFromAhead = 0.25;
constexpr Duration kSweepInterval = std::chrono::seconds(1);
// Amounts below this are not worth a message.
constexpr double kNegligible = 1e-6;
// An account whose demand is lower than this, in units a second, is idle.
constexpr double kIdleRate = 0.01;

// The arguments that all functions below pass on.
struct Context {
  Lender& lender;
  const AllowanceBook& book;
  TimePoint lends_until;
  TimePoint now;
  LenderOutput& output;
};

[[nodiscard]] double TransferredUnits(LenderAccount& account, TimePoint now) {
  std::erase_if(account.transferred, [now](const ExpiringAmount& amount) {
    return amount.expires <= now || amount.units <= kNegligible;
  });
  double sum = 0;
  for (const ExpiringAmount& amount : account.transferred) {
    sum += amount.units;
  }
  return sum;
}

// Units at hand: transferred ones and the bucket's level.
[[nodiscard]] double UnitsAtHand(LenderAccount& account, TimePoint now) {
  Refill(account.bucket, now);
  return account.bucket.level + TransferredUnits(account, now);
}

// Takes up to `units` of the transferred amounts, those that expire first
// before the others, and lowers `expires` to their expiry.
double TakeTransferred(LenderAccount& account, double units,
                       TimePoint& expires) {
  std::sort(account.transferred.begin(), account.transferred.end(),
            [](const ExpiringAmount& a, const ExpiringAmount& b) {
              return a.expires < b.expires;
            });
  double taken = 0;
  for (ExpiringAmount& amount : account.transferred) {
    const double part = std::min(amount.units, units - taken);
    if (part <= 0) {
      break;
    }
    amount.units -= part;
    taken += part;
    expires = std::min(expires, amount.expires);
  }
  return taken;
}

[[nodiscard]] TimePoint LatestExpiry(const Context& context) {
  return std::min(context.now + GrantLifetime(context.book.settings),
                  context.lends_until);
}

struct Taken {
  double units = 0;
  TimePoint expires{};
};

// Takes the units that one request needs, or nothing.
[[nodiscard]] std::optional<Taken> TakeNeed(const Context& context,
                                            LenderAccount& account,
                                            double need) {
  if (UnitsAtHand(account, context.now) < need) {
    return std::nullopt;
  }
  Taken taken{need, LatestExpiry(context)};
  const double transferred = TakeTransferred(account, need, taken.expires);
  account.bucket.level -= need - transferred;
  return taken;
}

void TakeAhead(const Context& context, LenderAccount& account, double ahead,
               Taken& taken) {
  if (ahead <= 0 || !account.pending.empty()) {
    return;
  }
  const double keep = account.bucket.terms.burst * kKeptFromAhead;
  const double units = TakeUpTo(account.bucket, ahead, keep, context.now);
  if (units > 0) {
    taken.units += units;
    taken.expires = std::min(taken.expires, LatestExpiry(context));
  }
}

void SendGrant(const Context& context, const InstanceId& to,
               const AllowanceRequest& request, const Taken& taken) {
  AllowanceGrant grant;
  grant.account = request.account;
  grant.nonce = request.nonce;
  grant.amount = taken.units;
  grant.lifetime = std::max(Duration::zero(), taken.expires - context.now);
  context.output.grants.emplace_back(to, grant);
  ++context.lender.counters.granted;
}

[[nodiscard]] bool IsAwaited(const OtherLender& other, TimePoint now) {
  return other.pending_nonce != AllowanceNonce{} &&
         now - other.asked_at < kTransferTimeout;
}

// Units that another region's lender could spare now, estimated from its last
// response; without one, a full bucket.
[[nodiscard]] double EstimatedSpare(const LenderAccount& account,
                                    const OtherLender& other, TimePoint now) {
  const BucketTerms& terms = account.bucket.terms;
  if (!other.answered || now - other.heard_at > kSpareValidity) {
    return terms.burst;
  }
  return std::min(terms.burst,
                  other.spare + terms.rate * Seconds(now - other.heard_at));
}

// Requests `shortage` units from the other regions' lenders, in proportion to
// what they can spare. Lenders that have not answered yet are not asked again,
// and none is where all together can spare less than `least`.
// Returns whether any response is awaited afterwards.
bool RequestTransfers(const Context& context, AccountHash hash,
                      LenderAccount& account, double shortage, double least) {
  bool awaited = false;
  double total = 0;
  for (const InstanceId& id : context.lender.other_lenders) {
    OtherLender& other = account.others[id];
    if (IsAwaited(other, context.now)) {
      awaited = true;
    } else {
      total += std::max(0.0, EstimatedSpare(account, other, context.now));
    }
  }
  if (shortage <= 0 || total <= kNegligible || total < least) {
    return awaited;
  }
  for (const InstanceId& id : context.lender.other_lenders) {
    OtherLender& other = account.others[id];
    const double spare = EstimatedSpare(account, other, context.now);
    if (IsAwaited(other, context.now) || spare <= 0) {
      continue;
    }
    AllowanceRequest request;
    request.account = hash;
    request.nonce = context.lender.next_nonce;
    request.need = shortage * spare / total;
    request.transfer = true;
    context.lender.next_nonce = context.lender.next_nonce.next();
    other.pending_nonce = request.nonce;
    other.asked_at = context.now;
    context.output.requests.emplace_back(id, request);
    ++context.lender.counters.transfers;
    awaited = true;
  }
  return awaited;
}

// The time until the units at hand here, and those that some of the other
// regions can spare, are what a request needs. All buckets fill at the same
// rate, so it is the shortest of the times with the fullest other bucket, with
// the two fullest, and so on.
[[nodiscard]] Duration TimeUntilAvailable(const Context& context,
                                          LenderAccount& account, double need) {
  const BucketTerms& terms = account.bucket.terms;
  double missing = need - UnitsAtHand(account, context.now);
  std::vector<double> spares;
  for (const InstanceId& id : context.lender.other_lenders) {
    const OtherLender& other = account.others[id];
    if (other.answered) {
      spares.push_back(EstimatedSpare(account, other, context.now));
    }
  }
  std::sort(spares.rbegin(), spares.rend());
  double seconds = missing / terms.rate;
  double buckets = 1;
  for (const double spare : spares) {
    missing -= spare;
    buckets += 1;
    seconds = std::min(seconds, missing / (buckets * terms.rate));
  }
  constexpr Duration kShortest = std::chrono::milliseconds(5);
  return std::max(kShortest, FromSeconds(seconds));
}

void SendRefusal(const Context& context, LenderAccount& account,
                 const InstanceId& to, const AllowanceRequest& request) {
  AllowanceGrant refusal;
  refusal.account = request.account;
  refusal.nonce = request.nonce;
  refusal.outcome = GrantOutcome::kExceeded;
  refusal.retry_after = TimeUntilAvailable(context, account, request.need);
  context.output.grants.emplace_back(to, refusal);
  if (request.need > 0) {
    ++context.lender.counters.exceeded;
    context.lender.counters.exceeded_above_zero +=
        account.bucket.level > 0 ? 1 : 0;
  }
}

[[nodiscard]] double PendingUnits(const LenderAccount& account) {
  double sum = 0;
  for (const PendingRequest& pending : account.pending) {
    sum += pending.request.need;
  }
  return sum;
}

// Grants pending requests in their order as far as the units at hand reach,
// requests more from other regions for the rest, and refuses it when nothing
// more is to be expected.
void ServePending(const Context& context, AccountHash hash,
                  LenderAccount& account) {
  while (!account.pending.empty()) {
    const PendingRequest& first = account.pending.front();
    const auto taken = TakeNeed(context, account, first.request.need);
    if (!taken) {
      break;
    }
    SendGrant(context, first.from, first.request, *taken);
    account.pending.pop_front();
  }
  if (!account.pending.empty()) {
    const double at_hand = UnitsAtHand(account, context.now);
    const double least = account.pending.front().request.need - at_hand -
                         account.bucket.terms.rate * kTransferSeconds;
    if (!RequestTransfers(context, hash, account,
                          PendingUnits(account) - at_hand, least)) {
      for (const PendingRequest& pending : account.pending) {
        SendRefusal(context, account, pending.from, pending.request);
      }
      account.pending.clear();
    }
  }
  if (account.pending.empty()) {
    context.lender.with_pending.erase(hash);
  }
}

// Takes amounts ahead from other regions where the demand of this region
// exceeds its rate, so that requests need not wait for them.
void TransferAhead(const Context& context, AccountHash hash,
                   LenderAccount& account) {
  const double excess =
      RateAt(account.demand, context.now) - account.bucket.terms.rate;
  const double low = RateAt(account.demand, context.now) * kLowSeconds;
  const double ahead = excess * kAheadSeconds;
  if (excess > 0 && UnitsAtHand(account, context.now) < low &&
      context.now >= account.next_transfer) {
    account.next_transfer = context.now + kTransferInterval;
    RequestTransfers(context, hash, account, ahead, ahead * kWorthwhile);
  }
}

[[nodiscard]] LenderAccount& AccountOf(const Context& context, AccountHash hash,
                                       const Allowance& allowance) {
  const auto [found, created] = context.lender.accounts.try_emplace(hash);
  if (created) {
    found->second.bucket =
        MakeBucket(LenderTerms(allowance, context.book.settings),
                   context.lender.since, context.now);
  }
  return found->second;
}

void GiveTransfer(const Context& context, LenderAccount& account,
                  const InstanceId& to, const AllowanceRequest& request) {
  const double keep = RateAt(account.demand, context.now) * kKeptSeconds;
  const double units =
      account.pending.empty()
          ? TakeUpTo(account.bucket, request.need + request.ahead, keep,
                     context.now)
          : 0;
  AllowanceGrant grant;
  grant.account = request.account;
  grant.nonce = request.nonce;
  grant.amount = units;
  grant.lifetime =
      std::max(Duration::zero(), LatestExpiry(context) - context.now);
  Refill(account.bucket, context.now);
  grant.spare = account.bucket.level - keep;
  context.output.grants.emplace_back(to, grant);
}

void Respond(const Context& context, const InstanceId& to,
             const AllowanceRequest& request, GrantOutcome outcome) {
  AllowanceGrant response;
  response.account = request.account;
  response.nonce = request.nonce;
  response.outcome = outcome;
  context.output.grants.emplace_back(to, response);
}

void ForgetIdleAccounts(const Context& context) {
  auto& accounts = context.lender.accounts;
  for (auto entry = accounts.begin(); entry != accounts.end();) {
    LenderAccount& account = entry->second;
    const bool idle = account.pending.empty() &&
                      TransferredUnits(account, context.now) == 0 &&
                      RateAt(account.demand, context.now) < kIdleRate &&
                      IsFull(account.bucket, context.now);
    entry = idle ? accounts.erase(entry) : std::next(entry);
  }
}

}  // namespace

void StartLending(Lender& lender, TimePoint now) {
  lender.since = now;
  lender.accounts.clear();
  lender.with_pending.clear();
}

void HandleRequest(Lender& lender, const AllowanceBook& book,
                   TimePoint lends_until, const InstanceId& from,
                   const AllowanceRequest& request, TimePoint now,
                   LenderOutput& output) {
  const Context context{lender, book, lends_until, now, output};
  const auto limit = book.limits.find(request.account);
  if (limit == book.limits.end()) {
    return Respond(context, from, request, GrantOutcome::kUnknownAccount);
  }
  LenderAccount& account = AccountOf(context, request.account, limit->second);
  if (request.transfer) {
    return GiveTransfer(context, account, from, request);
  }
  Observe(account.demand, request.need + request.ahead, now);
  Taken taken{0, LatestExpiry(context)};
  if (request.need > 0) {
    const auto need = account.pending.empty()
                          ? TakeNeed(context, account, request.need)
                          : std::nullopt;
    if (!need) {
      if (account.pending.size() >= kMaxPendingRequests) {
        return SendRefusal(context, account, from, request);
      }
      account.pending.push_back({from, request, now + kMaxPending});
      lender.with_pending.insert(request.account);
      ServePending(context, request.account, account);
      if (!account.pending.empty() &&
          account.pending.back().request.nonce == request.nonce) {
        Respond(context, from, request, GrantOutcome::kPending);
      }
      return;
    }
    taken = *need;
  }
  TakeAhead(context, account, request.ahead, taken);
  if (taken.units > 0) {
    SendGrant(context, from, request, taken);
  } else {
    SendRefusal(context, account, from, request);
  }
  TransferAhead(context, request.account, account);
}

bool HandleTransfer(Lender& lender, const AllowanceBook& book,
                    TimePoint lends_until, const InstanceId& from,
                    const AllowanceGrant& grant, TimePoint now,
                    LenderOutput& output) {
  const auto found = lender.accounts.find(grant.account);
  if (found == lender.accounts.end()) {
    return false;
  }
  LenderAccount& account = found->second;
  const auto other = account.others.find(from);
  if (other == account.others.end() ||
      other->second.pending_nonce != grant.nonce ||
      grant.nonce == AllowanceNonce{}) {
    return false;
  }
  OtherLender& state = other->second;
  state.pending_nonce = AllowanceNonce{};
  state.heard_at = now;
  state.answered = true;
  // A lender that does not lend, or does not know the account, spares nothing.
  state.spare = grant.outcome == GrantOutcome::kGranted
                    ? grant.spare
                    : -account.bucket.terms.burst;
  const TimePoint expires = state.asked_at + grant.lifetime;
  if (grant.amount > 0 && expires > now) {
    account.transferred.push_back({grant.amount, expires});
  }
  const Context context{lender, book, lends_until, now, output};
  ServePending(context, grant.account, account);
  return true;
}

void TickLender(Lender& lender, const AllowanceBook& book,
                TimePoint lends_until, TimePoint now, LenderOutput& output) {
  const Context context{lender, book, lends_until, now, output};
  const std::vector<AccountHash> with_pending(lender.with_pending.begin(),
                                              lender.with_pending.end());
  for (const AccountHash hash : with_pending) {
    LenderAccount& account = lender.accounts.at(hash);
    while (!account.pending.empty() &&
           account.pending.front().deadline <= now) {
      const PendingRequest& first = account.pending.front();
      const auto taken = TakeNeed(context, account, first.request.need);
      if (taken) {
        SendGrant(context, first.from, first.request, *taken);
      } else {
        SendRefusal(context, account, first.from, first.request);
      }
      account.pending.pop_front();
    }
    ServePending(context, hash, account);
  }
  if (now >= lender.next_sweep) {
    lender.next_sweep = now + kSweepInterval;
    ForgetIdleAccounts(context);
  }
}

void ChangeAllowances(Lender& lender, const AllowanceBook& old_book,
                      const AllowanceBook& new_book, TimePoint now) {
  std::erase_if(lender.accounts, [&new_book](const auto& entry) {
    return !new_book.limits.contains(entry.first);
  });
  std::erase_if(lender.with_pending, [&lender](AccountHash hash) {
    return !lender.accounts.contains(hash);
  });
  for (const auto& [hash, allowance] : new_book.limits) {
    const BucketTerms terms = LenderTerms(allowance, new_book.settings);
    const auto old_limit = old_book.limits.find(hash);
    const bool was_known = old_limit != old_book.limits.end();
    const BucketTerms old_terms =
        was_known ? LenderTerms(old_limit->second, old_book.settings)
                  : BucketTerms{};
    if (was_known && old_terms == terms) {
      continue;
    }
    const auto [found, created] = lender.accounts.try_emplace(hash);
    AllowanceBucket& bucket = found->second.bucket;
    if (created) {
      // A forgotten bucket was full under its old terms; a new account starts
      // with an empty one.
      bucket = MakeBucket(old_terms, was_known ? lender.since : now, now);
    }
    SetTerms(bucket, terms, now);
  }
}

}  // namespace mimosagauge
