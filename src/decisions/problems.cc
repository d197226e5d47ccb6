// Texts of the problem documents.

#include "mimosagauge/impl/decisions/problems.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace mimosagauge {
namespace {

constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kBadGateway = 502;
constexpr std::uint16_t kServiceUnavailable = 503;
constexpr std::uint16_t kGatewayTimeout = 504;
// Statuses that promise that the request was not run and never will be.
constexpr std::array<std::uint16_t, 4> kPromises{408, 421, 429, 503};
constexpr std::uint16_t kLoopDetected = 508;
constexpr Duration kRetrySoon = std::chrono::seconds(1);
constexpr Duration kRetrySoonest = std::chrono::milliseconds(50);
// Callers wait for no longer part of the time that they have left.
constexpr int kRetryPart = 4;

struct ProblemText {
  std::string_view type;
  std::string_view title;
  std::string_view remedy;
};

[[nodiscard]] Problem Make(std::uint16_t status, const ProblemText& text,
                           std::string detail, RunState run) {
  Problem problem;
  problem.status = status;
  problem.type = text.type;
  problem.title = text.title;
  problem.detail = std::move(detail);
  problem.remedy = text.remedy;
  problem.run = run;
  if (status == kServiceUnavailable && run == RunState::kNotRun) {
    problem.retry_after = kRetrySoon;
  }
  return problem;
}

[[nodiscard]] std::string Subject(const RequestHead& head) {
  if (!head.model.empty()) {
    return fmt::format("model '{}'", head.model.value());
  }
  return fmt::format("path '{}'", head.caller_path);
}

}  // namespace

Problem NotReady() {
  return Make(kServiceUnavailable,
              {"not-ready", "No rules are in force here yet",
               "ask /v1/entry of another instance, or try again"},
              "this instance has not received the operators' rules",
              RunState::kNotRun);
}

Problem OlderConfiguration() {
  return Make(kServiceUnavailable,
              {"older-configuration",
               "The newest configuration has not come here yet", "try again"},
              "the request was passed on under a newer configuration",
              RunState::kNotRun);
}

bool TookNothingIn(const Problem& problem) {
  constexpr std::array<std::string_view, 4> kBeforeTaking{
      "not-ready", "older-configuration", "path-refused", "stopping"};
  return problem.run == RunState::kNotRun &&
         std::find(kBeforeTaking.begin(), kBeforeTaking.end(), problem.type) !=
             kBeforeTaking.end();
}

Duration RetryAfter(Duration left) {
  return std::clamp(left / kRetryPart, kRetrySoonest, kRetrySoon);
}

void KeepPromise(Problem& problem) {
  const bool promises = std::find(kPromises.begin(), kPromises.end(),
                                  problem.status) != kPromises.end();
  if (promises && problem.run != RunState::kNotRun) {
    problem.status = kBadGateway;
    problem.retry_after.reset();
  }
  const bool vague =
      problem.status == kBadGateway || problem.status == kGatewayTimeout;
  if (vague && problem.run == RunState::kNotRun) {
    problem.status = kServiceUnavailable;
    problem.retry_after = kRetrySoon;
  }
}

Problem NoService(const RequestHead& head) {
  return Make(kNotFound,
              {"no-service", "No rule names a service for this request",
               "check the model or path, or ask the operators for a route"},
              fmt::format("no route matches {}", Subject(head)),
              RunState::kNotRun);
}

Problem ResidencyUnserved(const RequestHead& head, RunState run) {
  return Make(
      kServiceUnavailable,
      {"residency-unserved", "The request must stay in its region",
       "try again later; its region cannot serve it now"},
      fmt::format("no region that may serve {} has capacity", Subject(head)),
      run);
}

Problem NoCapacity(const RequestHead& head, RunState run) {
  return Make(
      kServiceUnavailable,
      {"no-capacity", "Nothing can serve this request now", "try again later"},
      fmt::format("no upstream for {} is available", Subject(head)), run);
}

Problem Overloaded(RunState run) {
  return Make(kServiceUnavailable,
              {"overloaded", "Too many requests wait already",
               "try again after the time in Retry-After"},
              "the queue is full of requests that come before this one", run);
}

Problem PathRefused(const RequestHead& head) {
  return Make(kLoopDetected,
              {"path-refused", "The request has been here or travelled too far",
               "report it with the request id to the operators"},
              fmt::format("the request has passed {} places", head.path.size()),
              RunState::kNotRun);
}

Problem DueTimePassed(RunState run) {
  return Make(kGatewayTimeout,
              {"due-time-passed", "The answer did not come in time",
               run == RunState::kNotRun
                   ? "send it again with more time"
                   : "find out whether it took effect before sending it again"},
              "the time in which the request was due is over", run);
}

Problem AttemptsFailed(const std::string& detail, RunState run) {
  return Make(run == RunState::kNotRun ? kServiceUnavailable : kBadGateway,
              {"attempts-failed", "The upstream did not answer",
               run == RunState::kNotRun
                   ? "send it again"
                   : "find out whether it took effect before sending it again"},
              detail, run);
}

Problem Stopping(RunState run) {
  return Make(kServiceUnavailable,
              {"stopping", "This instance is stopping",
               "ask /v1/entry which instance to use"},
              "the instance is leaving and takes no new requests", run);
}

}  // namespace mimosagauge
