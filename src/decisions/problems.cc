// Statuses and texts of the problem documents.

#include "mimosagauge/impl/decisions/problems.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace mimosagauge {
namespace {

constexpr std::uint16_t kUnauthorized = 401;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kTooManyRequests = 429;
constexpr std::uint16_t kBadGateway = 502;
constexpr std::uint16_t kServiceUnavailable = 503;
constexpr std::uint16_t kGatewayTimeout = 504;
// Statuses that mean that the request was not run and never will be.
constexpr std::array<std::uint16_t, 4> kNotRunStatuses{408, 421, 429, 503};
constexpr std::uint16_t kLoopDetected = 508;
// Bounds of the delay in Retry-After; the longest is also the default.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(1);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
// Callers are asked to retry after this part (1/4) of the time until their
// request is due.
constexpr int kRetryDivisor = 4;

struct ProblemText {
  std::string_view type;
  std::string_view title;
  std::string_view remedy;
};

[[nodiscard]] Problem MakeProblem(std::uint16_t status, const ProblemText& text,
                                  std::string detail, RunState run) {
  Problem problem;
  problem.status = status;
  problem.type = text.type;
  problem.title = text.title;
  problem.detail = std::move(detail);
  problem.remedy = text.remedy;
  problem.run = run;
  if (status == kServiceUnavailable && run == RunState::kNotRun) {
    problem.retry_after = kMaxRetryAfter;
  }
  return problem;
}

[[nodiscard]] std::string DescribeTarget(const RequestHead& head) {
  if (!head.model.empty()) {
    return fmt::format("model '{}'", head.model.value());
  }
  return fmt::format("path '{}'", head.caller_path);
}

}  // namespace

Problem NotReady() {
  return MakeProblem(
      kServiceUnavailable,
      {"not-ready", "This instance has no rules yet",
       "ask /v1/entry of another instance, or retry later"},
      "this instance has not received the operators' rules or configuration",
      RunState::kNotRun);
}

Problem OlderConfiguration() {
  return MakeProblem(
      kServiceUnavailable,
      {"older-configuration",
       "This instance has an older configuration than the sender",
       "retry the request"},
      "the request was forwarded under a newer configuration than the one "
      "in force here",
      RunState::kNotRun);
}

bool IsRefusedBeforeAttempt(const Problem& problem) {
  constexpr std::array<std::string_view, 5> kTypesBeforeAttempt{
      "not-ready", "older-configuration", "path-refused", "stopping",
      "account-gone"};
  return problem.run == RunState::kNotRun &&
         std::find(kTypesBeforeAttempt.begin(), kTypesBeforeAttempt.end(),
                   problem.type) != kTypesBeforeAttempt.end();
}

Duration RetryAfter(Duration left) {
  return std::clamp(left / kRetryDivisor, kMinRetryAfter, kMaxRetryAfter);
}

void MatchStatusToRunState(Problem& problem) {
  const bool means_not_run =
      std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(),
                problem.status) != kNotRunStatuses.end();
  if (means_not_run && problem.run != RunState::kNotRun) {
    problem.status = kBadGateway;
    problem.retry_after.reset();
  }
  const bool leaves_run_open =
      problem.status == kBadGateway || problem.status == kGatewayTimeout;
  if (leaves_run_open && problem.run == RunState::kNotRun) {
    problem.status = kServiceUnavailable;
    problem.retry_after = kMaxRetryAfter;
  }
}

Problem NoService(const RequestHead& head) {
  return MakeProblem(
      kNotFound,
      {"no-service", "No rule or route names a service for this request",
       "check the model or path, or ask the operators for a route"},
      fmt::format("no route matches {}", DescribeTarget(head)),
      RunState::kNotRun);
}

Problem ResidencyUnserved(const RequestHead& head, RunState run) {
  return MakeProblem(
      kServiceUnavailable,
      {"residency-unserved",
       "The regions allowed for this request cannot serve it",
       "retry later; the request may not be served in other regions"},
      fmt::format("no region allowed for {} has capacity",
                  DescribeTarget(head)),
      run);
}

Problem NoCapacity(const RequestHead& head, RunState run) {
  return MakeProblem(
      kServiceUnavailable,
      {"no-capacity", "No upstream can serve this request now", "retry later"},
      fmt::format("no upstream for {} is available", DescribeTarget(head)),
      run);
}

Problem Overloaded(RunState run) {
  return MakeProblem(
      kServiceUnavailable,
      {"overloaded", "Too many requests are in progress or waiting",
       "retry after the time in Retry-After"},
      "the limit on requests is reached, the queue is full of requests that "
      "come before this one, or it has waited too long",
      run);
}

Problem PathRefused(const RequestHead& head) {
  return MakeProblem(
      kLoopDetected,
      {"path-refused", "The request was forwarded in a loop or too many times",
       "report the request id to the operators"},
      fmt::format("the request has passed {} instances and upstreams",
                  head.path.size()),
      RunState::kNotRun);
}

Problem DueTimePassed(RunState run) {
  return MakeProblem(
      kGatewayTimeout,
      {"due-time-passed", "The request was not answered in time",
       run == RunState::kNotRun
           ? "retry the request with more time"
           : "find out whether it took effect before sending it again"},
      "the due time of the request has passed", run);
}

Problem AttemptsFailed(const std::string& detail, RunState run) {
  return MakeProblem(
      run == RunState::kNotRun ? kServiceUnavailable : kBadGateway,
      {"attempts-failed", "No attempt to serve the request succeeded",
       run == RunState::kNotRun
           ? "retry the request"
           : "find out whether it took effect before sending it again"},
      detail, run);
}

Problem Stopping(RunState run) {
  return MakeProblem(
      kServiceUnavailable,
      {"stopping", "This instance is shutting down",
       "ask /v1/entry which instance to use"},
      "the instance is shutting down and accepts no new requests", run);
}

Problem Unauthenticated(bool has_key) {
  return MakeProblem(
      kUnauthorized,
      {has_key ? "unknown-key" : "missing-key",
       "The request needs the key of an account",
       "send Authorization: Bearer KEY with a key that the operators gave out"},
      has_key ? "no account has the key of the request"
              : "the request has no Authorization field with a bearer key",
      RunState::kNotRun);
}

Problem ConfigurationUnconfirmed() {
  return MakeProblem(
      kServiceUnavailable,
      {"unconfirmed-configuration",
       "This instance cannot decide about keys now",
       "retry the request, also at another instance"},
      "this instance has not been able to confirm for some time that it has "
      "the operators' newest configuration",
      RunState::kNotRun);
}

Problem StreamOriginUnknown(RunState run) {
  return MakeProblem(
      kServiceUnavailable,
      {"stream-origin-unknown", "The stream cannot be resumed",
       "send the request again from its beginning"},
      "it is not known which software version of the upstreams began the "
      "stream, and only that one can continue it",
      run);
}

Problem AccountGone(RunState run) {
  return MakeProblem(
      kServiceUnavailable,
      {"account-gone", "The account of the request was removed",
       "retry the request"},
      "the newest configuration does not contain the account of the request",
      run);
}

Problem NoCommonRegion(const RequestHead& head, RunState run) {
  return MakeProblem(
      kServiceUnavailable,
      {"no-common-region", "No region may serve this request",
       "ask the operators; the home regions of the account exclude those of "
       "the route"},
      fmt::format("the home regions of the account and those of the route for "
                  "{} have none in common",
                  DescribeTarget(head)),
      run);
}

Problem AllowanceExceeded(Duration retry_after) {
  Problem problem =
      MakeProblem(kTooManyRequests,
                  {"allowance-exceeded", "The account is beyond its allowance",
                   "retry after the time in Retry-After"},
                  "the requests of this account have used up its allowance",
                  RunState::kNotRun);
  problem.retry_after = retry_after;
  return problem;
}

Problem AllowanceNotKnown(Duration retry_after) {
  Problem problem = MakeProblem(
      kServiceUnavailable,
      {"allowance-unknown", "The account's allowance cannot be checked now",
       "retry after the time in Retry-After"},
      "no instance that lends from the account's allowance answers",
      RunState::kNotRun);
  problem.retry_after = retry_after;
  return problem;
}

Problem PoisonRefused(std::string detail, RunState run, Duration remaining) {
  Problem problem = MakeProblem(
      run == RunState::kNotRun ? kServiceUnavailable : kBadGateway,
      {"poison-content", "Requests with this content have crashed upstreams",
       "change the prompt; the same content is refused for a limited time"},
      std::move(detail), run);
  if (run == RunState::kNotRun) {
    problem.retry_after = remaining;
  }
  return problem;
}

}  // namespace mimosagauge
