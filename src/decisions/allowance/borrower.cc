// Admission of requests against borrowed amounts of allowances.

#include "mimosagauge/impl/decisions/allowance/borrower.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mimosagauge {
namespace {

// A lender that has not answered within this time counts as silent. The lender
// of the own region answers within 12 ms unless it is short of processor time,
// one of another region within 115 ms.
constexpr Duration kOwnLenderTimeout = std::chrono::milliseconds(80);
constexpr Duration kLenderTimeout = std::chrono::milliseconds(160);
// Time for which a silent lender is not asked, and an instance that does not
// lend now.
constexpr Duration kSilence = std::chrono::milliseconds(1000);
constexpr Duration kNotLending = std::chrono::milliseconds(200);
// Longest time for which a refusal is applied to further requests without
// asking the lender again.
constexpr Duration kMaxRefusalReuse = std::chrono::milliseconds(50);
// Retry-After where it is not known when the allowance is available: by then a
// lender that was lost has usually been replaced or been found silent.
constexpr Duration kUnknownRetryAfter = std::chrono::seconds(1);
// Demand of this length of time is borrowed ahead by an instance at which at
// least `kBusyRequests` requests of the account arrive in this time.
constexpr double kAheadSeconds = 0.15;
constexpr double kBusyRequests = 3;
// An amount that expires within this time does not count as borrowed ahead.
constexpr Duration kNearExpiry = std::chrono::milliseconds(120);
constexpr Duration kSweepInterval = std::chrono::seconds(1);
// An account whose demand is lower than this, in units a second, is idle.
constexpr double kIdleRate = 0.01;
// Rounding errors of sums of amounts.
constexpr double kRounding = 1e-6;

[[nodiscard]] double BalanceAt(const BorrowerAccount& account, TimePoint now) {
  double sum = 0;
  for (const ExpiringAmount& amount : account.balance) {
    sum += amount.expires > now ? amount.units : 0;
  }
  return sum;
}

void DropExpired(BorrowerAccount& account, TimePoint now) {
  std::erase_if(account.balance, [now](const ExpiringAmount& amount) {
    return amount.expires <= now || amount.units <= 0;
  });
}

// Takes the units from the balance, amounts that expire first before the
// others, or nothing.
[[nodiscard]] std::optional<AllowanceCharge> TakeFromBalance(
    BorrowerAccount& account, AccountHash hash, double units, TimePoint now) {
  DropExpired(account, now);
  if (BalanceAt(account, now) + kRounding < units) {
    return std::nullopt;
  }
  std::sort(account.balance.begin(), account.balance.end(),
            [](const ExpiringAmount& a, const ExpiringAmount& b) {
              return a.expires < b.expires;
            });
  AllowanceCharge charge{hash, units, TimePoint::max()};
  double missing = units;
  for (ExpiringAmount& amount : account.balance) {
    if (missing <= 0) {
      break;
    }
    const double part = std::min(amount.units, missing);
    amount.units -= part;
    missing -= part;
    charge.expires = std::min(charge.expires, amount.expires);
  }
  return charge;
}

// Takes the units from the reserve of this instance, or nothing.
[[nodiscard]] std::optional<AllowanceCharge> TakeFromReserve(
    Borrower& borrower, BorrowerAccount& account, AccountHash hash,
    double units, TimePoint now) {
  Refill(account.reserve, now);
  if (account.reserve.level < units) {
    return std::nullopt;
  }
  account.reserve.level -= units;
  ++borrower.counters.from_reserve;
  // Units of the reserve are not refunded, so that they need no expiry.
  return AllowanceCharge{hash, units, now};
}

[[nodiscard]] BorrowerAccount& AccountOf(Borrower& borrower,
                                         const BorrowerContext& context,
                                         AccountHash hash,
                                         const Allowance& allowance) {
  const auto [found, created] = borrower.accounts.try_emplace(hash);
  const BucketTerms terms =
      ReserveTerms(allowance, context.book.settings, borrower.instances);
  AllowanceBucket& reserve = found->second.reserve;
  if (created) {
    reserve = MakeBucket(terms, borrower.started, context.now);
  } else if (reserve.terms != terms) {
    SetTerms(reserve, terms, context.now);
  }
  return found->second;
}

// The first lender that is not silent; empty: there is none.
[[nodiscard]] InstanceId ChooseLender(const Borrower& borrower,
                                      const BorrowerContext& context) {
  for (const InstanceId& id : context.lenders) {
    const auto silent = borrower.silent.find(id);
    if (silent == borrower.silent.end() || silent->second <= context.now) {
      return id;
    }
  }
  return {};
}

// Units to borrow ahead of demand; zero where the account is not busy here or
// has enough.
[[nodiscard]] double UnitsAhead(const BorrowerAccount& account, TimePoint now) {
  const double requests = RateAt(account.requests, now) * kAheadSeconds;
  if (account.ahead_requested || requests < kBusyRequests) {
    return 0;
  }
  const double target = RateAt(account.demand, now) * kAheadSeconds;
  const double balance = BalanceAt(account, now + kNearExpiry);
  return balance < target / 2 ? target - balance : 0;
}

// Sends a request for an amount to the first lender that is not silent.
// Returns its nonce; zero: there is no lender.
AllowanceNonce SendRequest(Borrower& borrower, const BorrowerContext& context,
                           AccountHash hash, BorrowerAccount& account,
                           double need, BorrowerOutput& output) {
  const InstanceId to = ChooseLender(borrower, context);
  if (to.empty()) {
    return {};
  }
  AllowanceRequest request;
  request.account = hash;
  request.nonce = borrower.next_nonce;
  request.need = need;
  request.ahead = UnitsAhead(account, context.now);
  if (need <= 0 && request.ahead <= 0) {
    return {};
  }
  borrower.next_nonce = borrower.next_nonce.next();
  account.ahead_requested = account.ahead_requested || request.ahead > 0;
  OutstandingRequest outstanding;
  outstanding.account = hash;
  outstanding.to = to;
  outstanding.asked_at = context.now;
  outstanding.first_choice = to == context.own_lender;
  outstanding.for_held = need > 0;
  outstanding.ahead = request.ahead > 0;
  borrower.outstanding.emplace(request.nonce, std::move(outstanding));
  output.requests.emplace_back(to, request);
  return request.nonce;
}

// Returns the decision that admits a request, charged as given.
[[nodiscard]] AllowanceDecision Admitted(Borrower& borrower,
                                         RequestNumber number,
                                         const AllowanceCharge& charge) {
  ++borrower.counters.admitted;
  return {number, AllowanceVerdict::kAdmitted, charge, {}};
}

[[nodiscard]] AllowanceDecision Refused(Borrower& borrower,
                                        RequestNumber number,
                                        AllowanceVerdict verdict,
                                        Duration retry_after) {
  ++(verdict == AllowanceVerdict::kExceeded ? borrower.counters.exceeded
                                            : borrower.counters.not_known);
  return {number, verdict, std::nullopt, retry_after};
}

// The decision about a request for which no lender can be asked, or none has
// answered in time.
[[nodiscard]] AllowanceDecision DecideAlone(Borrower& borrower,
                                            BorrowerAccount& account,
                                            AccountHash hash,
                                            const HeldRequest& held,
                                            TimePoint now) {
  const auto charge = TakeFromReserve(borrower, account, hash, held.units, now);
  return charge ? Admitted(borrower, held.number, *charge)
                : Refused(borrower, held.number, AllowanceVerdict::kNotKnown,
                          kUnknownRetryAfter);
}

// Admits held requests in their order as far as the balance reaches.
void ServeHeld(Borrower& borrower, BorrowerAccount& account, AccountHash hash,
               TimePoint now, BorrowerOutput& output) {
  while (!account.held.empty()) {
    const HeldRequest& first = account.held.front();
    const auto charge = TakeFromBalance(account, hash, first.units, now);
    if (!charge) {
      break;
    }
    output.decisions.push_back(Admitted(borrower, first.number, *charge));
    account.held.pop_front();
  }
  if (account.held.empty()) {
    borrower.with_held.erase(hash);
  }
}

// Removes the request that the nonce was sent for from the held ones.
[[nodiscard]] std::optional<HeldRequest> TakeHeld(Borrower& borrower,
                                                  BorrowerAccount& account,
                                                  AccountHash hash,
                                                  AllowanceNonce nonce) {
  const auto found = std::find_if(
      account.held.begin(), account.held.end(),
      [nonce](const HeldRequest& held) { return held.nonce == nonce; });
  if (found == account.held.end()) {
    return std::nullopt;
  }
  const HeldRequest held = *found;
  account.held.erase(found);
  if (account.held.empty()) {
    borrower.with_held.erase(hash);
  }
  return held;
}

// Finds lenders that have not answered in time, and removes requests whose
// response can no longer be used.
void ExpireOutstanding(Borrower& borrower, const BorrowerContext& context) {
  const Duration lifetime = GrantLifetime(context.book.settings);
  auto& outstanding = borrower.outstanding;
  for (auto entry = outstanding.begin(); entry != outstanding.end();) {
    OutstandingRequest& request = entry->second;
    const Duration age = context.now - request.asked_at;
    const Duration timeout =
        request.first_choice ? kOwnLenderTimeout : kLenderTimeout;
    if (request.for_held && !request.acknowledged && age >= timeout) {
      request.for_held = false;
      borrower.silent[request.to] = context.now + kSilence;
    }
    if (age < lifetime) {
      ++entry;
      continue;
    }
    const auto account = borrower.accounts.find(request.account);
    if (request.ahead && account != borrower.accounts.end()) {
      account->second.ahead_requested = false;
    }
    entry = outstanding.erase(entry);
  }
}

void ForgetIdleAccounts(Borrower& borrower, TimePoint now) {
  auto& accounts = borrower.accounts;
  for (auto entry = accounts.begin(); entry != accounts.end();) {
    BorrowerAccount& account = entry->second;
    DropExpired(account, now);
    const bool idle = account.held.empty() && account.balance.empty() &&
                      !account.ahead_requested &&
                      RateAt(account.demand, now) < kIdleRate &&
                      IsFull(account.reserve, now);
    entry = idle ? accounts.erase(entry) : std::next(entry);
  }
}

[[nodiscard]] bool AwaitsAnswer(const Borrower& borrower,
                                const HeldRequest& held) {
  const auto found = borrower.outstanding.find(held.nonce);
  return found != borrower.outstanding.end() && found->second.for_held;
}

}  // namespace

AllowanceDecision AdmitRequest(Borrower& borrower,
                               const BorrowerContext& context,
                               AccountHash account, double units,
                               RequestNumber number, BorrowerOutput& output) {
  const auto limit = context.book.limits.find(account);
  if (limit == context.book.limits.end()) {
    return {number, AllowanceVerdict::kAdmitted, std::nullopt, {}};
  }
  const TimePoint now = context.now;
  BorrowerAccount& state = AccountOf(borrower, context, account, limit->second);
  Observe(state.demand, units, now);
  Observe(state.requests, 1, now);
  if (state.held.empty()) {
    if (const auto charge = TakeFromBalance(state, account, units, now)) {
      SendRequest(borrower, context, account, state, 0, output);
      return Admitted(borrower, number, *charge);
    }
  }
  if (now < state.refused_until && units >= state.refused_units) {
    return Refused(borrower, number, AllowanceVerdict::kExceeded,
                   state.available_at - now);
  }
  HeldRequest held{number, units, now + kMaxHold, {}};
  if (state.held.size() >= kMaxHeldRequests) {
    return DecideAlone(borrower, state, account, held, now);
  }
  // What the balance lacks would be less, but the balance may expire or be used
  // by another request before the response arrives.
  held.nonce = SendRequest(borrower, context, account, state, units, output);
  if (held.nonce == AllowanceNonce{}) {
    if (const auto charge =
            TakeFromReserve(borrower, state, account, units, now)) {
      return Admitted(borrower, number, *charge);
    }
  }
  ++borrower.counters.held;
  state.held.push_back(held);
  borrower.with_held.insert(account);
  return {number, AllowanceVerdict::kWaiting, std::nullopt, {}};
}

void Refund(Borrower& borrower, const BorrowerContext& context,
            const AllowanceCharge& charge) {
  const auto found = borrower.accounts.find(charge.account);
  if (found == borrower.accounts.end() || charge.units <= 0 ||
      charge.expires <= context.now) {
    return;
  }
  found->second.balance.push_back({charge.units, charge.expires});
  borrower.counters.refunded += charge.units;
}

void CancelHeld(Borrower& borrower, AccountHash account, RequestNumber number) {
  const auto found = borrower.accounts.find(account);
  if (found == borrower.accounts.end()) {
    return;
  }
  std::erase_if(found->second.held, [number](const HeldRequest& held) {
    return held.number == number;
  });
  if (found->second.held.empty()) {
    borrower.with_held.erase(account);
  }
}

void HandleGrant(Borrower& borrower, const BorrowerContext& context,
                 const InstanceId& from, const AllowanceGrant& grant,
                 BorrowerOutput& output) {
  const auto found = borrower.outstanding.find(grant.nonce);
  if (found == borrower.outstanding.end() || found->second.to != from) {
    return;
  }
  borrower.silent.erase(from);
  if (grant.outcome == GrantOutcome::kPending) {
    found->second.acknowledged = true;
    return;
  }
  const OutstandingRequest request = found->second;
  const auto entry = borrower.accounts.find(request.account);
  borrower.outstanding.erase(found);
  if (entry == borrower.accounts.end()) {
    return;
  }
  BorrowerAccount& account = entry->second;
  const TimePoint now = context.now;
  if (request.ahead) {
    account.ahead_requested = false;
  }
  if (grant.outcome == GrantOutcome::kNotLender) {
    // The next tick sends the held request to the next lender.
    borrower.silent[from] = now + kNotLending;
    return;
  }
  // Counted from when the request was sent, however long the response took.
  const TimePoint expires =
      request.asked_at +
      std::min(grant.lifetime, GrantLifetime(context.book.settings));
  if (grant.amount > 0 && expires > now) {
    account.balance.push_back({grant.amount, expires});
  }
  ServeHeld(borrower, account, request.account, now, output);
  if (grant.outcome == GrantOutcome::kGranted) {
    return;
  }
  const auto held = TakeHeld(borrower, account, request.account, grant.nonce);
  if (!held) {
    return;
  }
  if (grant.outcome == GrantOutcome::kUnknownAccount) {
    output.decisions.push_back(
        DecideAlone(borrower, account, request.account, *held, now));
  } else {
    account.refused_units = held->units;
    account.available_at = now + grant.retry_after;
    account.refused_until = now + std::min(grant.retry_after, kMaxRefusalReuse);
    output.decisions.push_back(Refused(borrower, held->number,
                                       AllowanceVerdict::kExceeded,
                                       grant.retry_after));
  }
  // The requests behind it may be smaller.
  ServeHeld(borrower, account, request.account, now, output);
}

void TickBorrower(Borrower& borrower, const BorrowerContext& context,
                  BorrowerOutput& output) {
  const TimePoint now = context.now;
  ExpireOutstanding(borrower, context);
  const std::vector<AccountHash> with_held(borrower.with_held.begin(),
                                           borrower.with_held.end());
  for (const AccountHash hash : with_held) {
    BorrowerAccount& account = borrower.accounts.at(hash);
    while (!account.held.empty() && account.held.front().deadline <= now) {
      output.decisions.push_back(
          DecideAlone(borrower, account, hash, account.held.front(), now));
      account.held.pop_front();
    }
    for (HeldRequest& held : account.held) {
      if (!AwaitsAnswer(borrower, held)) {
        held.nonce =
            SendRequest(borrower, context, hash, account, held.units, output);
      }
    }
    ServeHeld(borrower, account, hash, now, output);
  }
  if (now < borrower.next_sweep) {
    return;
  }
  borrower.next_sweep = now + kSweepInterval;
  std::erase_if(borrower.silent,
                [now](const auto& entry) { return entry.second <= now; });
  ForgetIdleAccounts(borrower, now);
}

void ChangeReserves(Borrower& borrower, const AllowanceBook& old_book,
                    const AllowanceBook& new_book, TimePoint now) {
  for (const auto& [hash, allowance] : new_book.limits) {
    const BucketTerms terms =
        ReserveTerms(allowance, new_book.settings, borrower.instances);
    const auto old_limit = old_book.limits.find(hash);
    const bool was_known = old_limit != old_book.limits.end();
    const BucketTerms old_terms =
        was_known ? ReserveTerms(old_limit->second, old_book.settings,
                                 borrower.instances)
                  : BucketTerms{};
    if (was_known && old_terms == terms) {
      continue;
    }
    const auto [found, created] = borrower.accounts.try_emplace(hash);
    AllowanceBucket& reserve = found->second.reserve;
    if (created) {
      reserve = MakeBucket(old_terms, was_known ? borrower.started : now, now);
    }
    SetTerms(reserve, terms, now);
  }
}

double UsableUnits(const Borrower& borrower, TimePoint now) {
  double sum = 0;
  for (const auto& [hash, account] : borrower.accounts) {
    sum += BalanceAt(account, now);
  }
  return sum;
}

}  // namespace mimosagauge
