// Connects the lender and the borrower of one instance with those of others.

#include "mimosagauge/impl/decisions/allowance/allowances.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <utility>

namespace mimosagauge {
namespace {

// Returns until when this instance lends, if it lends at `now`. Evaluated at
// each call, so that an instance that was frozen does not lend after its lease.
[[nodiscard]] std::optional<TimePoint> CurrentlyLendsUntil(
    Allowances& state, TimePoint now, AllowanceOutput& output) {
  const auto until =
      LendsUntil(state.facts, state.self, state.book.settings.session);
  if (UpdateTenure(state.tenure, until, now)) {
    output.lends = state.tenure.since.has_value();
    if (state.tenure.since) {
      StartLending(state.lender, now);
    }
  }
  return state.tenure.since ? until : std::nullopt;
}

// The candidates that can be asked now.
[[nodiscard]] std::vector<InstanceId> ReachableLenders(
    const Allowances& state) {
  std::vector<InstanceId> lenders;
  for (const InstanceId& id : state.candidates) {
    const bool lends_here = id == state.self && state.tenure.since;
    if (lends_here || state.reachable.contains(id)) {
      lenders.push_back(id);
    }
  }
  return lenders;
}

// Messages of one call. Those to this instance itself are processed at once.
class Exchange {
 public:
  Exchange(Allowances& state, TimePoint now, AllowanceOutput& output)
      : state_(state),
        now_(now),
        output_(output),
        lends_until_(CurrentlyLendsUntil(state, now, output)),
        lenders_(ReachableLenders(state)),
        context_{state.book, lenders_, state.own_lender, now} {}
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  [[nodiscard]] const BorrowerContext& context() const { return context_; }
  [[nodiscard]] BorrowerOutput& borrower_output() { return from_borrower_; }

  void HandleRequestFrom(const InstanceId& from,
                         const AllowanceRequest& request) {
    if (lends_until_) {
      return HandleRequest(state_.lender, state_.book, *lends_until_, from,
                           request, now_, from_lender_);
    }
    AllowanceGrant refusal;
    refusal.account = request.account;
    refusal.nonce = request.nonce;
    refusal.outcome = GrantOutcome::kNotLender;
    from_lender_.grants.emplace_back(from, refusal);
  }

  void HandleGrantFrom(const InstanceId& from, const AllowanceGrant& grant) {
    const bool transfer =
        lends_until_ &&
        HandleTransfer(state_.lender, state_.book, *lends_until_, from, grant,
                       now_, from_lender_);
    if (!transfer) {
      HandleGrant(state_.borrower, context_, from, grant, from_borrower_);
    }
  }

  void TickBoth() {
    if (lends_until_) {
      TickLender(state_.lender, state_.book, *lends_until_, now_, from_lender_);
    }
    TickBorrower(state_.borrower, context_, from_borrower_);
  }

  // Delivers the messages to this instance itself, and returns the others.
  void Finish() {
    while (!from_borrower_.requests.empty() || !from_lender_.grants.empty() ||
           !from_lender_.requests.empty()) {
      const auto requests = std::exchange(from_borrower_.requests, {});
      const auto transfers = std::exchange(from_lender_.requests, {});
      const auto grants = std::exchange(from_lender_.grants, {});
      for (const auto& [to, request] : requests) {
        if (to == state_.self) {
          HandleRequestFrom(to, request);
        } else {
          MessageTo(to).requests.push_back(request);
        }
      }
      for (const auto& [to, request] : transfers) {
        MessageTo(to).requests.push_back(request);
      }
      for (const auto& [to, grant] : grants) {
        if (to == state_.self) {
          HandleGrantFrom(to, grant);
        } else {
          MessageTo(to).grants.push_back(grant);
        }
      }
    }
    std::move(from_borrower_.decisions.begin(), from_borrower_.decisions.end(),
              std::back_inserter(output_.decisions));
    for (auto& [to, message] : messages_) {
      output_.messages.emplace_back(to, std::move(message));
    }
  }

 private:
  // Returns the message to an instance that has room for one more entry.
  [[nodiscard]] AllowanceMessage& MessageTo(const InstanceId& to) {
    AllowanceMessage& message = messages_[to];
    if (message.requests.size() + message.grants.size() >=
        kMaxAllowanceEntries) {
      output_.messages.emplace_back(to, std::exchange(message, {}));
    }
    return message;
  }

  Allowances& state_;
  TimePoint now_;
  AllowanceOutput& output_;
  std::optional<TimePoint> lends_until_;
  std::vector<InstanceId> lenders_;
  BorrowerContext context_;
  BorrowerOutput from_borrower_;
  LenderOutput from_lender_;
  std::map<InstanceId, AllowanceMessage> messages_;
};

}  // namespace

Allowances MakeAllowances(const InstanceId& self, const RegionId& region,
                          const AllowanceSettings& settings, TimePoint now,
                          std::uint64_t first_nonce) {
  Allowances state;
  state.self = self;
  state.region = region;
  state.book.settings = settings;
  state.borrower.started = now;
  // Zero stands for no nonce. The two parts of an instance use numbers far
  // apart.
  constexpr std::uint64_t kLenderNonces = 1ULL << 63U;
  state.borrower.next_nonce = AllowanceNonce{(first_nonce >> 1U) | 1U};
  state.lender.next_nonce =
      AllowanceNonce{(first_nonce >> 1U) | 1U | kLenderNonces};
  return state;
}

void SetAccounts(Allowances& state, const Accounts& accounts, TimePoint now) {
  AllowanceBook book;
  book.settings = state.book.settings;
  for (const Account& account : accounts.list) {
    if (account.allowance.per_second > 0) {
      book.limits.emplace(HashAccountId(account.id), account.allowance);
    }
  }
  if (std::exchange(state.has_accounts, true)) {
    ChangeReserves(state.borrower, state.book, book, now);
    ChangeAllowances(state.lender, state.book, book, now);
  }
  state.book = std::move(book);
}

void SetRegistrations(Allowances& state, RegistrationTable table) {
  state.facts.registrations = std::move(table);
  state.candidates = LenderCandidates(state.facts.registrations, state.region);
  state.borrower.instances =
      std::max<std::size_t>(1, state.facts.registrations.list.size());
  state.own_lender = InstanceId{};
  for (const Registration& entry : state.facts.registrations.list) {
    const bool is_candidate =
        std::find(state.candidates.begin(), state.candidates.end(), entry.id) !=
        state.candidates.end();
    if (entry.region == state.region && is_candidate) {
      state.own_lender = entry.id;
    }
  }
  state.lender.other_lenders = state.candidates;
  std::erase(state.lender.other_lenders, state.own_lender);
}

const std::vector<InstanceId>& NeededLinks(const Allowances& state) {
  static const std::vector<InstanceId> kNone;
  return state.book.limits.empty() ? kNone : state.lender.other_lenders;
}

bool HasAllowance(const Allowances& state, AccountHash account) {
  return state.book.limits.contains(account);
}

AllowanceDecision Admit(Allowances& state, AccountHash account, double units,
                        RequestNumber number, TimePoint now,
                        AllowanceOutput& output) {
  Exchange exchange(state, now, output);
  AllowanceDecision decision =
      AdmitRequest(state.borrower, exchange.context(), account, units, number,
                   exchange.borrower_output());
  exchange.Finish();
  if (decision.verdict != AllowanceVerdict::kWaiting) {
    return decision;
  }
  // This instance may itself be the lender and have decided already.
  const auto decided = std::find_if(
      output.decisions.begin(), output.decisions.end(),
      [number](const AllowanceDecision& one) { return one.number == number; });
  if (decided != output.decisions.end()) {
    decision = *decided;
    output.decisions.erase(decided);
  }
  return decision;
}

void ReturnCharge(Allowances& state, const AllowanceCharge& charge,
                  TimePoint now) {
  const std::vector<InstanceId> lenders;
  const BorrowerContext context{state.book, lenders, {}, now};
  Refund(state.borrower, context, charge);
}

void HandleMessage(Allowances& state, const InstanceId& from,
                   const AllowanceMessage& message, TimePoint now,
                   AllowanceOutput& output) {
  Exchange exchange(state, now, output);
  for (const AllowanceRequest& request : message.requests) {
    exchange.HandleRequestFrom(from, request);
  }
  for (const AllowanceGrant& grant : message.grants) {
    exchange.HandleGrantFrom(from, grant);
  }
  exchange.Finish();
}

void DoDueWork(Allowances& state, TimePoint now, AllowanceOutput& output) {
  Exchange exchange(state, now, output);
  exchange.TickBoth();
  exchange.Finish();
}

}  // namespace mimosagauge
