// Gateway state machine: allowances of client accounts. Requests from callers
// are charged on arrival, and held while the charge awaits a lender.

#include <fmt/format.h>

#include <iterator>
#include <memory>
#include <string>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/problems.h"

namespace mimosagauge::detail {
namespace {

// Shortest time between two log entries about missing lenders.
constexpr Duration kLogInterval = std::chrono::seconds(10);

// Returns the account's allowance, or null when it has none.
[[nodiscard]] const Allowance* AllowanceOf(const Gateway& gateway,
                                           const RequestRecord& record) {
  if (!gateway.config.allowances.enforced || gateway.catalogue == nullptr) {
    return nullptr;
  }
  const Account* account =
      FindAccount(gateway.catalogue->accounts, record.arrival.head->account);
  return account == nullptr || account->allowance.per_second <= 0
             ? nullptr
             : &account->allowance;
}

// Returns the units that one run of the request counts.
[[nodiscard]] double UnitsOf(const Allowance& allowance,
                             const RequestHead& head) {
  if (allowance.unit == AllowanceUnit::kRequests) {
    return 1;
  }
  const double stated = static_cast<double>(head.prompt.tokens_in) +
                        static_cast<double>(head.prompt.tokens_out);
  return stated > 0 ? stated : allowance.default_tokens;
}

// Serves a request that needs no charge, or has been charged.
void BeginServing(StepContext& context, RequestRecord& record) {
  if (record.arrival.origin == Origin::kCaller) {
    CreditFirstAttempt(RetryBudgetOf(context.gateway, record.verdict.service));
    RecordCallerDemand(context, record);
  }
  const bool keyed =
      record.arrival.head->key.has_value() && !record.verdict.idempotent;
  const RequestNumber number = record.arrival.number;
  keyed ? AdmitKeyed(context, number) : PlaceRequest(context, number);
}

void LogLenderMissing(StepContext& context) {
  Gateway& gateway = context.gateway;
  if (gateway.lender_missing_logged != TimePoint{} &&
      context.now - gateway.lender_missing_logged < kLogInterval) {
    return;
  }
  gateway.lender_missing_logged = context.now;
  context.effects.emplace_back(
      WriteLog{log_events::kLenderMissing,
               {{"lender", gateway.allowances.own_lender.value()}}});
}

void CarryOut(StepContext& context, RequestRecord& record,
              const AllowanceDecision& decision) {
  record.awaits_allowance = decision.verdict == AllowanceVerdict::kWaiting;
  if (record.awaits_allowance) {
    return;
  }
  const bool further_run = record.attempts > 0;
  if (decision.verdict == AllowanceVerdict::kAdmitted) {
    record.charge = decision.charge;
    return further_run ? PlaceRequest(context, record.arrival.number)
                       : BeginServing(context, record);
  }
  if (further_run) {
    return RefuseOrAbort(
        context, record,
        AttemptsFailed(record.last_failure, record.outcome.run));
  }
  // An earlier request with the same idempotency key may have run.
  if (record.arrival.head->key && !record.verdict.idempotent) {
    RecordRunState(record.outcome, RunState::kUnknown);
  }
  if (decision.verdict == AllowanceVerdict::kExceeded) {
    return RefuseOrAbort(context, record,
                         AllowanceExceeded(decision.retry_after));
  }
  LogLenderMissing(context);
  RefuseOrAbort(context, record, AllowanceNotKnown(decision.retry_after));
}

void Apply(StepContext& context, AllowanceOutput&& output) {
  Gateway& gateway = context.gateway;
  if (output.lends) {
    context.effects.emplace_back(WriteLog{
        *output.lends ? log_events::kLendingBegan : log_events::kLendingEnded,
        {{"region", gateway.config.region.value()}}});
  }
  for (auto& [to, message] : output.messages) {
    context.effects.emplace_back(ForLinks{SendAllowance{
        to, std::make_shared<const AllowanceMessage>(std::move(message))}});
  }
  for (const AllowanceDecision& decision : output.decisions) {
    RequestRecord* record = FindRequest(gateway, decision.number);
    if (record != nullptr && record->awaits_allowance) {
      CarryOut(context, *record, decision);
    } else if (decision.charge) {
      ReturnCharge(gateway.allowances, *decision.charge, context.now);
    }
  }
}

// The registration is revoked when a planned stop begins.
[[nodiscard]] Allowances& AllowancesNow(StepContext& context) {
  Allowances& allowances = context.gateway.allowances;
  allowances.facts.leaving = context.gateway.drain_started.has_value();
  return allowances;
}

void Charge(StepContext& context, RequestRecord& record,
            const Allowance& allowance) {
  const RequestHead& head = *record.arrival.head;
  AllowanceOutput output;
  const AllowanceDecision decision = Admit(
      AllowancesNow(context), HashAccountId(head.account),
      UnitsOf(allowance, head), record.arrival.number, context.now, output);
  Apply(context, std::move(output));
  CarryOut(context, record, decision);
}

// Returns the revision that created this instance's registration; zero: it is
// not known.
[[nodiscard]] std::uint64_t OwnCreation(const Allowances& allowances) {
  for (const Registration& entry : allowances.facts.registrations.list) {
    if (entry.id == allowances.self) {
      return entry.created;
    }
  }
  return 0;
}

void AppendCounter(std::string& text, std::string_view name,
                   std::string_view help, std::uint64_t value) {
  fmt::format_to(std::back_inserter(text),
                 "# HELP mimosagauge_allowance_{0}_total {1}\n"
                 "# TYPE mimosagauge_allowance_{0}_total counter\n"
                 "mimosagauge_allowance_{0}_total {2}\n",
                 name, help, value);
}

void AppendGauge(std::string& text, std::string_view name,
                 std::string_view help, double value) {
  fmt::format_to(std::back_inserter(text),
                 "# HELP mimosagauge_allowance_{0} {1}\n"
                 "# TYPE mimosagauge_allowance_{0} gauge\n"
                 "mimosagauge_allowance_{0} {2:.0f}\n",
                 name, help, value);
}

}  // namespace

void ServeUnderAllowance(StepContext& context, RequestNumber number) {
  RequestRecord& record = context.gateway.requests.at(number);
  const Allowance* allowance = AllowanceOf(context.gateway, record);
  if (allowance == nullptr || record.arrival.origin != Origin::kCaller ||
      record.verdict.service.empty()) {
    return BeginServing(context, record);
  }
  Charge(context, record, *allowance);
}

void PlaceFurtherRun(StepContext& context, RequestRecord& record,
                     RunState run) {
  const Allowance* allowance = AllowanceOf(context.gateway, record);
  if (allowance == nullptr || run == RunState::kNotRun) {
    return PlaceRequest(context, record.arrival.number);
  }
  Charge(context, record, *allowance);
}

void ReleaseAllowance(StepContext& context, RequestRecord& record) {
  Allowances& allowances = context.gateway.allowances;
  if (std::exchange(record.awaits_allowance, false)) {
    CancelHeld(allowances.borrower, HashAccountId(record.arrival.head->account),
               record.arrival.number);
  }
  const bool ran = record.outcome.run != RunState::kNotRun;
  if (const auto charge = std::exchange(record.charge, std::nullopt);
      charge && !ran) {
    ReturnCharge(allowances, *charge, context.now);
  }
}

void AdoptAllowances(StepContext& context) {
  Gateway& gateway = context.gateway;
  if (gateway.config.allowances.enforced) {
    SetAccounts(gateway.allowances, gateway.catalogue->accounts, context.now);
  }
}

void SetAllowanceLink(StepContext& context, const InstanceId& instance,
                      bool up) {
  std::set<InstanceId>& reachable = context.gateway.allowances.reachable;
  if (up) {
    reachable.insert(instance);
  } else {
    reachable.erase(instance);
  }
}

void TickAllowances(StepContext& context) {
  Gateway& gateway = context.gateway;
  if (!gateway.config.allowances.enforced || gateway.catalogue == nullptr) {
    return;
  }
  AllowanceOutput output;
  DoDueWork(AllowancesNow(context), context.now, output);
  Apply(context, std::move(output));
  for (const InstanceId& id : NeededLinks(gateway.allowances)) {
    PeerState* peer = FindPeer(gateway, id);
    if (peer != nullptr && !peer->link_requested) {
      peer->link_requested = true;
      peer->only_for_allowances = true;
      context.effects.emplace_back(ForLinks{ConnectInstance{peer->config}});
    }
  }
}

// Another instance may have lent since an earlier registration of this one
// ended, even if no event was processed in between. The buckets are therefore
// emptied whenever the registration is another one.
void Handle(StepContext& context, RegistrationsReceived&& event) {
  Allowances& allowances = context.gateway.allowances;
  const std::uint64_t created = OwnCreation(allowances);
  SetRegistrations(allowances, std::move(event.table));
  if (OwnCreation(allowances) != created) {
    StartLending(allowances.lender, context.now);
  }
}

void Handle(StepContext& context, LeaseRenewed&& event) {
  Allowances& allowances = context.gateway.allowances;
  if (allowances.facts.lease != event.lease) {
    StartLending(allowances.lender, context.now);
  }
  allowances.facts.lease = event.lease;
  allowances.facts.lease_end = event.end;
}

void Handle(StepContext& context, AllowanceReceived&& event) {
  AllowanceOutput output;
  HandleMessage(AllowancesNow(context), event.from, event.message, context.now,
                output);
  Apply(context, std::move(output));
}

std::string AllowanceMetricsText(const Gateway& gateway, TimePoint now) {
  std::string text;
  if (!gateway.config.allowances.enforced) {
    return text;
  }
  const BorrowerCounters& borrower = gateway.allowances.borrower.counters;
  const LenderCounters& lender = gateway.allowances.lender.counters;
  AppendCounter(text, "admitted", "Requests within their allowance.",
                borrower.admitted);
  AppendCounter(text, "exceeded", "Requests refused beyond their allowance.",
                borrower.exceeded);
  AppendCounter(text, "unknown", "Requests refused because no lender answered.",
                borrower.not_known);
  AppendCounter(text, "from_reserve", "Requests admitted from the reserve.",
                borrower.from_reserve);
  AppendCounter(text, "held", "Requests that waited for a lender.",
                borrower.held);
  AppendCounter(text, "lent", "Requests for amounts granted as a lender.",
                lender.granted);
  AppendCounter(text, "denied", "Requests for amounts refused as a lender.",
                lender.exceeded);
  AppendCounter(text, "denied_above_zero",
                "Of these, refused while the account's bucket was not empty.",
                lender.exceeded_above_zero);
  AppendCounter(text, "transfers", "Amounts requested from other lenders.",
                lender.transfers);
  AppendGauge(text, "balance_units", "Borrowed units that can be used now.",
              UsableUnits(gateway.allowances.borrower, now));
  AppendGauge(text, "lends", "Whether this instance lends.",
              gateway.allowances.tenure.since ? 1 : 0);
  return text;
}

}  // namespace mimosagauge::detail
