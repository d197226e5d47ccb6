// Gateway state machine: authentication of requests, and the confirmation of
// the configuration under strict revocation.

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>

#include "mimosagauge/impl/decisions/accounts/authentication.h"
#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/decisions/problems.h"

namespace mimosagauge::detail {
namespace {

// Instances that are asked in one round of questions: two of this region, and
// one of each other region, since a region may be partitioned from the store as
// a whole.
constexpr std::size_t kQuestionsInRegion = 2;
constexpr std::size_t kQuestionsPerOtherRegion = 1;

[[nodiscard]] bool RequiresAccounts(const Gateway& gateway) noexcept {
  return gateway.catalogue != nullptr && gateway.catalogue->accounts.required;
}

[[nodiscard]] Revision VersionInForce(const Gateway& gateway) noexcept {
  return gateway.catalogue == nullptr ? Revision{}
                                      : gateway.catalogue->revision;
}

void CountRefusal(Gateway& gateway, AuthenticationResult result) {
  const std::string reason(ToString(result));
  ++gateway.metrics.accounts.refused[reason];
  ++gateway.account_refusals.unreported[reason];
}

[[nodiscard]] Problem ProblemFor(AuthenticationResult result) {
  switch (result) {
    case AuthenticationResult::kMissingKey:
      return Unauthenticated(false);
    case AuthenticationResult::kUnknownKey:
      return Unauthenticated(true);
    case AuthenticationResult::kUnconfirmed:
      return ConfigurationUnconfirmed();
    case AuthenticationResult::kAccepted:
    case AuthenticationResult::kAccountGone:
      break;
  }
  return AccountGone(RunState::kNotRun);
}

void SendQuestions(StepContext& context) {
  Gateway& gateway = context.gateway;
  std::map<RegionId, std::vector<const PeerState*>> reachable;
  for (const PeerState& peer : gateway.peers) {
    if (peer.up) {
      reachable[peer.config.region].push_back(&peer);
    }
  }
  const ConfirmationMessage question =
      MakeQuestion(gateway.confirmation, context.now);
  for (const auto& [region, peers] : reachable) {
    const std::size_t count =
        std::min(peers.size(), region == gateway.config.region
                                   ? kQuestionsInRegion
                                   : kQuestionsPerOtherRegion);
    for (std::size_t i = 0; i < count; ++i) {
      // Consecutive rounds ask different instances.
      const std::size_t position =
          (gateway.confirmation.round * count + i) % peers.size();
      context.effects.emplace_back(
          ForLinks{SendConfirmation{peers[position]->config.id, question}});
    }
  }
}

void LogAcceptance(StepContext& context) {
  Gateway& gateway = context.gateway;
  const bool accepting = AcceptsKeys(gateway.confirmation, context.now);
  if (accepting == gateway.logged_accepting_keys) {
    return;
  }
  gateway.logged_accepting_keys = accepting;
  const auto age = ConfirmationAge(gateway.confirmation, context.now);
  context.effects.emplace_back(
      WriteLog{accepting ? log_events::kKeysAccepted : log_events::kKeysRefused,
               {{"version", std::to_string(VersionInForce(gateway).value())},
                {"age_ms", age ? Milliseconds(*age) : "unknown"}}});
}

}  // namespace

const Route* RouteOf(const RouteCatalogue& catalogue, const RequestHead& head) {
  const std::string_view path =
      std::string_view(head.target).substr(0, head.target.find('?'));
  return FindRoute(catalogue, head.host, path);
}

std::optional<Problem> AuthenticateArrival(StepContext& context,
                                           RequestArrived& arrival) {
  Gateway& gateway = context.gateway;
  if (!RequiresAccounts(gateway)) {
    return std::nullopt;
  }
  const RequestHead& head = *arrival.head;
  const Route* route = RouteOf(*gateway.catalogue, head);
  if (route == nullptr) {
    return std::nullopt;  // Is refused because no route matches.
  }
  const Accounts& accounts = gateway.catalogue->accounts;
  const bool from_caller = arrival.origin == Origin::kCaller;
  const Authentication authentication =
      from_caller
          ? AuthenticateCaller(accounts, head.credential,
                               {route->is_public, !route->regions.empty()},
                               AcceptsKeys(gateway.confirmation, context.now))
          : AuthenticateForwarded(accounts, head.account, route->is_public);
  if (authentication.result != AuthenticationResult::kAccepted) {
    CountRefusal(gateway, authentication.result);
    return ProblemFor(authentication.result);
  }
  if (from_caller || HasCredential(head)) {
    arrival.head = std::make_shared<const RequestHead>(AuthenticatedHead(
        head, authentication.account == nullptr ? AccountId{}
                                                : authentication.account->id));
  }
  return std::nullopt;
}

void ApplyAccount(const Gateway& gateway, const RequestHead& head,
                  Verdict& verdict) {
  if (!RequiresAccounts(gateway) || head.account.empty()) {
    return;
  }
  if (const Account* account =
          FindAccount(gateway.catalogue->accounts, head.account)) {
    BindAccount(*account, verdict);
  }
}

bool RefuseIfAccountForbids(StepContext& context, RequestRecord& record) {
  Gateway& gateway = context.gateway;
  if (!RequiresAccounts(gateway)) {
    return false;
  }
  const RequestHead& head = *record.arrival.head;
  // The home regions of an account that was removed while its request waited
  // are not known any more. A stream is resumed only in this region, where it
  // has been served already.
  const bool account_gone =
      !head.account.empty() && !record.resuming &&
      FindAccount(gateway.catalogue->accounts, head.account) == nullptr;
  if (account_gone) {
    CountRefusal(gateway, AuthenticationResult::kAccountGone);
    const RunState run = record.outcome.run;
    // `account-gone` tells another instance that no upstream was reached.
    RefuseOrAbort(context, record,
                  record.attempts == 0
                      ? AccountGone(run)
                      : AttemptsFailed("the account was removed", run));
    return true;
  }
  if (record.verdict.regions && record.verdict.regions->empty()) {
    RefuseOrAbort(context, record, NoCommonRegion(head, record.outcome.run));
    return true;
  }
  return false;
}

void RemoveCredentials(Gateway& gateway) {
  if (!RequiresAccounts(gateway)) {
    return;
  }
  for (auto& [number, record] : gateway.requests) {
    const RequestHead& head = *record.arrival.head;
    if (HasCredential(head)) {
      record.arrival.head = std::make_shared<const RequestHead>(
          AuthenticatedHead(head, head.account));
    }
  }
}

void MaintainConfirmation(StepContext& context) {
  Gateway& gateway = context.gateway;
  if (!RequiresAccounts(gateway)) {
    return;
  }
  auto refusals = TakeRefusals(gateway.account_refusals, context.now);
  if (!refusals.empty()) {
    context.effects.emplace_back(
        WriteLog{log_events::kAccountRefusals, std::move(refusals)});
  }
  if (!IsStrict(gateway.confirmation)) {
    return;
  }
  gateway.metrics.accounts.confirmation_age =
      ConfirmationAge(gateway.confirmation, context.now);
  LogAcceptance(context);
  if (StartRoundOfQuestions(gateway.confirmation, context.now)) {
    SendQuestions(context);
  }
}

void Handle(StepContext& context, ConfigurationConfirmed&& event) {
  Gateway& gateway = context.gateway;
  if (ConfirmByStore(gateway.confirmation, VersionInForce(gateway),
                     event.version, event.as_of, context.now)) {
    ++gateway.metrics.accounts.confirmed_by_store;
  }
}

void Handle(StepContext& context, ConfirmationReceived&& event) {
  Gateway& gateway = context.gateway;
  const Revision in_force = VersionInForce(gateway);
  if (event.message.confirmed) {
    if (ConfirmByPeer(gateway.confirmation, in_force, event.message,
                      context.now)) {
      ++gateway.metrics.accounts.confirmed_by_peers;
    }
    return;
  }
  if (auto answer = AnswerQuestion(gateway.confirmation, in_force,
                                   event.message, context.now)) {
    context.effects.emplace_back(
        ForLinks{SendConfirmation{std::move(event.from), *answer}});
  }
}

}  // namespace mimosagauge::detail
