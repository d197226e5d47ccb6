// Problems and run states of refused keyed calls.

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

constexpr const char* kUseNewKey =
    "send the request under a new key; this one will never run";
constexpr const char* kRetrySameKey =
    "send the request again under the same key";
constexpr const char* kCheckServiceRecords =
    "check the service's own records before sending it under a new key";

/// The problem that the caller of a refused call receives.
struct ProblemTemplate {
  std::uint16_t status;
  const char* type;
  const char* title;
  const char* detail;
  const char* remedy;
  bool retryable = false;
};

ProblemTemplate TemplateFor(KeyRefusal refusal) noexcept {
  switch (refusal) {
    case KeyRefusal::kContentDiffers:
      return {kUnprocessable, "key-reused",
              "The key was used for another request",
              "The idempotency key was received before with another method, "
              "target or "
              "body. This content has not run.",
              "use a different key for each request"};
    case KeyRefusal::kMalformedKey:
      return {
          kBadRequest, "malformed-key", "The key is not valid",
          "An idempotency key must have 1 to 255 bytes, and a key that begins "
          "like a ticket must contain a complete ticket.",
          "get a ticket from GET /v1/entry and append a colon and a name"};
    case KeyRefusal::kUnverifiedTicket:
      return {
          kConflict, "foreign-ticket", "The ticket cannot be verified",
          "The ticket belongs to another account, or was signed with a secret "
          "that this instance does not have.",
          "get a new ticket from GET /v1/entry; if the key was sent "
          "before, check the service's own records first"};
    case KeyRefusal::kTicketExpired:
      return {kConflict, "ticket-expired", "The ticket has expired",
              "The key was not received before its ticket expired.",
              "get a new ticket from GET /v1/entry; this key will never run"};
    case KeyRefusal::kRecordExpired:
      return {
          kConflict, "key-forgotten", "The record of the key has expired",
          "The retention time of the key is over; whether it ran is unknown.",
          kCheckServiceRecords};
    case KeyRefusal::kTableFull:
      return {kUnavailable,
              "keys-full",
              "No room to record another key",
              "This call sent the request to no upstream; an earlier call with "
              "the same key may have.",
              kRetrySameKey,
              true};
    case KeyRefusal::kTooManyWaiting:
      return {kConflict,
              "key-in-progress",
              "The key is in progress",
              "Another call with this key has not ended yet.",
              kRetrySameKey,
              true};
    case KeyRefusal::kOutcomeUnknown:
      return {kConflict, "outcome-unknown", "The outcome is unknown",
              "The request was sent to an upstream and its answer was lost.",
              kCheckServiceRecords};
    case KeyRefusal::kAnswerNotKept:
      return {kConflict, "answer-not-kept", "The request has run",
              "The answer was too large to keep, or was incomplete.",
              "ask the service for the result; do not send the request again"};
    case KeyRefusal::kClosed:
      return {kConflict, "key-closed", "The key is closed",
              "The request was refused before it was sent to any upstream.",
              kUseNewKey};
    case KeyRefusal::kOwnerUnreachable:
      return {kUnavailable,
              "key-owner-gone",
              "The instance that owns the key cannot be reached",
              "This call sent the request to no upstream; an earlier call with "
              "the same key may have.",
              "send the request again under the same key; if that keeps "
              "failing, check the service's own records",
              true};
    case KeyRefusal::kClaimUnavailable:
      return {kUnavailable,
              "claim-unavailable",
              "The key could not be claimed",
              "This call sent the request to no upstream; an earlier call with "
              "the same key may have.",
              "send the request again under the same key; if the key was never "
              "sent before, get a ticket from GET /v1/entry instead, which "
              "needs no store",
              true};
    case KeyRefusal::kOwnerStopping:
      return {kUnavailable, "owner-stopping", "The instance is stopping",
              "The instance that owns the key accepts no new keys.",
              "get a new ticket from GET /v1/entry; this key will never run"};
  }
  return {kUnavailable, "outcome-unknown", "The outcome is unknown", "",
          kCheckServiceRecords};
}

}  // namespace

RunState RunStateOf(KeyRefusal refusal) noexcept {
  switch (refusal) {
    case KeyRefusal::kContentDiffers:
    case KeyRefusal::kMalformedKey:
    case KeyRefusal::kTicketExpired:
    case KeyRefusal::kClosed:
    case KeyRefusal::kOwnerStopping:
      return RunState::kNotRun;
    case KeyRefusal::kAnswerNotKept:
      return RunState::kRan;
    case KeyRefusal::kUnverifiedTicket:
    case KeyRefusal::kRecordExpired:
    case KeyRefusal::kTableFull:
    case KeyRefusal::kTooManyWaiting:
    case KeyRefusal::kOutcomeUnknown:
    case KeyRefusal::kOwnerUnreachable:
    case KeyRefusal::kClaimUnavailable:
      return RunState::kUnknown;
  }
  return RunState::kUnknown;
}

std::string_view ToString(KeyRefusal refusal) noexcept {
  return TemplateFor(refusal).type;
}

Problem ProblemFor(KeyRefusal refusal) {
  const ProblemTemplate problem_template = TemplateFor(refusal);
  Problem problem;
  problem.status = problem_template.status;
  problem.type = problem_template.type;
  problem.title = problem_template.title;
  problem.detail = problem_template.detail;
  problem.remedy = problem_template.remedy;
  problem.run = RunStateOf(refusal);
  if (problem_template.retryable) {
    problem.retry_after = kRetryAfter;
  }
  return problem;
}

}  // namespace mimosagauge
