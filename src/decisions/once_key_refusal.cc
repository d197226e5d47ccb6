// Texts and run states of refusals of keyed calls.

#include <chrono>
#include <optional>
#include <string>

#include "mimosagauge/impl/decisions/once/key_refusal.h"

namespace mimosagauge {
namespace {

constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kUnprocessable = 422;
constexpr std::uint16_t kUnavailable = 503;

constexpr Duration kRetryAfter = std::chrono::seconds(1);

constexpr const char* kNewKey =
    "send the request under a new key; this one will never run";
constexpr const char* kSameKey = "send the request again under the same key";
constexpr const char* kAskRecords =
    "look into the service's own records before sending it under a new key";

/// One row of the texts.
struct Row {
  std::uint16_t status;
  const char* type;
  const char* title;
  const char* detail;
  const char* remedy;
  bool retry = false;
};

Row RowOf(KeyRefusal refusal) noexcept {
  switch (refusal) {
    case KeyRefusal::kContentDiffers:
      return {kUnprocessable, "key-reused", "The key names another request",
              "The idempotency key came before with another method, target or "
              "body. This content has not run.",
              "send each request under a key of its own"};
    case KeyRefusal::kMalformedKey:
      return {kBadRequest, "malformed-key", "The key is not valid",
              "An idempotency key has 1 to 255 bytes, and one that begins like "
              "a ticket continues like one.",
              "take a ticket from GET /v1/entry and append a colon and a name"};
    case KeyRefusal::kForeignTicket:
      return {kConflict, "foreign-ticket", "The ticket is not known here",
              "The ticket is another account's, or was signed with a secret "
              "that this instance does not have.",
              "take a new ticket from GET /v1/entry; if the key was sent "
              "before, look into the service's own records first"};
    case KeyRefusal::kTicketExpired:
      return {kConflict, "ticket-expired", "The ticket has expired",
              "The key was not received before its ticket expired.",
              "take a new ticket from GET /v1/entry; this key will never run"};
    case KeyRefusal::kForgotten:
      return {kConflict, "key-forgotten", "The key is no longer remembered",
              "The time for which keys are remembered is over.", kAskRecords};
    case KeyRefusal::kTableFull:
      return {kUnavailable,
              "keys-full",
              "No room to remember another key",
              "This call gave the request to no upstream; an earlier call with "
              "the same key may have.",
              kSameKey,
              true};
    case KeyRefusal::kTooManyWaiting:
      return {kConflict,
              "key-in-progress",
              "The key is in progress",
              "Another call with this key has not ended yet.",
              kSameKey,
              true};
    case KeyRefusal::kOutcomeUnknown:
      return {kConflict, "outcome-unknown", "The outcome is not known",
              "An upstream was given the request and its answer was lost.",
              kAskRecords};
    case KeyRefusal::kAnswerNotKept:
      return {kConflict, "answer-not-kept", "The request has run",
              "The answer was too large to keep, or was broken off.",
              "ask the service for the result; do not send the request again"};
    case KeyRefusal::kClosed:
      return {kConflict, "key-closed", "The key is closed",
              "The request was refused before any upstream was given it.",
              kNewKey};
    case KeyRefusal::kOwnerGone:
      return {kUnavailable,
              "key-owner-gone",
              "The instance that owns the key cannot be asked",
              "This call gave the request to no upstream; an earlier call with "
              "the same key may have.",
              "send the request again under the same key; if that keeps "
              "failing, look into the service's own records",
              true};
    case KeyRefusal::kClaimUnavailable:
      return {kUnavailable,
              "claim-unavailable",
              "The key could not be claimed",
              "This call gave the request to no upstream; an earlier call with "
              "the same key may have.",
              "send the request again under the same key; if the key was never "
              "sent before, take a ticket from GET /v1/entry instead, which "
              "needs no store",
              true};
    case KeyRefusal::kStopping:
      return {kUnavailable, "owner-stopping", "The instance is stopping",
              "The instance that owns the key takes no new keys.",
              "take a new ticket from GET /v1/entry; this key will never run"};
  }
  return {kUnavailable, "outcome-unknown", "The outcome is not known", "",
          kAskRecords};
}

}  // namespace

RunState RunOf(KeyRefusal refusal) noexcept {
  switch (refusal) {
    case KeyRefusal::kContentDiffers:
    case KeyRefusal::kMalformedKey:
    case KeyRefusal::kTicketExpired:
    case KeyRefusal::kClosed:
    case KeyRefusal::kStopping:
      return RunState::kNotRun;
    case KeyRefusal::kAnswerNotKept:
      return RunState::kRan;
    case KeyRefusal::kForeignTicket:
    case KeyRefusal::kForgotten:
    case KeyRefusal::kTableFull:
    case KeyRefusal::kTooManyWaiting:
    case KeyRefusal::kOutcomeUnknown:
    case KeyRefusal::kOwnerGone:
    case KeyRefusal::kClaimUnavailable:
      return RunState::kUnknown;
  }
  return RunState::kUnknown;
}

std::string_view ToString(KeyRefusal refusal) noexcept {
  return RowOf(refusal).type;
}

Problem ProblemFor(KeyRefusal refusal) {
  const Row row = RowOf(refusal);
  Problem problem;
  problem.status = row.status;
  problem.type = row.type;
  problem.title = row.title;
  problem.detail = row.detail;
  problem.remedy = row.remedy;
  problem.run = RunOf(refusal);
  if (row.retry) {
    problem.retry_after = kRetryAfter;
  }
  return problem;
}

}  // namespace mimosagauge
