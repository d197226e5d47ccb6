// Creation and formatting of problem documents.

#include "mimosagauge/impl/duties/callers/problems.h"

#include <boost/beast/http/status.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace mimosagauge {
namespace {

constexpr const char* kTypePrefix = "urn:mimosagauge:problem:";
constexpr std::chrono::seconds kOverloadRetryDelay{1};

}  // namespace

Problem MalformedRequestProblem(std::string detail, std::string remedy) {
  return NotRunProblem(status::kBadRequest, "malformed-request",
                       std::move(detail), std::move(remedy));
}

Problem NotRunProblem(std::uint16_t status, std::string type,
                      std::string detail, std::string remedy) {
  Problem problem;
  problem.status = status;
  problem.type = std::move(type);
  problem.title = StatusTitle(status);
  problem.detail = std::move(detail);
  problem.remedy = std::move(remedy);
  problem.run = RunState::kNotRun;
  return problem;
}

Problem OverloadedProblem(std::string detail) {
  Problem problem = NotRunProblem(
      status::kServiceUnavailable, "overloaded", std::move(detail),
      "retry after the time in Retry-After, or send the request to "
      "another instance from /v1/entry");
  problem.retry_after = kOverloadRetryDelay;
  return problem;
}

std::string StatusTitle(std::uint16_t status) {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(status));
  return std::string(reason.data(), reason.size());
}

std::string FormatProblem(const Problem& problem) {
  nlohmann::ordered_json document;
  document["type"] = kTypePrefix + problem.type;
  document["title"] =
      problem.title.empty() ? StatusTitle(problem.status) : problem.title;
  document["status"] = problem.status;
  document["detail"] = problem.detail;
  document["remedy"] = problem.remedy;
  document["run"] = ToString(problem.run);
  return document.dump(-1, ' ', false,
                       nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace mimosagauge
