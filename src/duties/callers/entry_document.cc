// Answers to requests for the instance's local resources.

#include "mimosagauge/impl/duties/callers/entry_document.h"

#include <fmt/format.h>

#include <chrono>
#include <nlohmann/json.hpp>

#include "mimosagauge/impl/duties/callers/problems.h"

namespace mimosagauge {
namespace {

constexpr std::uint16_t kOk = 200;
constexpr const char* kPlainTextType = "text/plain; charset=utf-8";

[[nodiscard]] LocalAnswer ReadinessAnswer(const InstanceView& view) {
  if (view.draining) {
    return {status::kServiceUnavailable, kPlainTextType,
            fmt::format("draining: {} in progress, {} unwritten\n",
                        view.in_progress, view.unwritten)};
  }
  if (!view.ready) {
    return {status::kServiceUnavailable, kPlainTextType, "not ready\n"};
  }
  return {kOk, kPlainTextType, "ready\n"};
}

// Returns a signed ticket for the account; empty if none can be issued.
[[nodiscard]] std::string IssueTicketText(
    const AccountId& account, const InstanceView& view,
    std::span<const Authenticator> ticket_secrets) {
  if (!view.ticket || ticket_secrets.empty()) {
    return {};
  }
  const Result<std::string> ticket =
      IssueTicket(ticket_secrets, *view.ticket, account);
  return ticket ? ticket.value() : std::string();
}

}  // namespace

std::string FormatEntryDocument(const InstanceView& view,
                                const std::string& ticket) {
  nlohmann::ordered_json document;
  document["entries"] = nlohmann::ordered_json::array();
  for (const EntryInstance& entry : view.entries) {
    document["entries"].push_back({{"address", ToString(entry.entry)},
                                   {"instance", entry.id.value()},
                                   {"region", entry.region.value()},
                                   {"availability_zone", entry.zone.value()}});
  }
  document["good_for_ms"] =
      std::chrono::floor<std::chrono::milliseconds>(view.entries_good_for)
          .count();
  if (!ticket.empty()) {
    document["ticket"] = ticket;
  }
  return document.dump(-1, ' ', false,
                       nlohmann::ordered_json::error_handler_t::replace);
}

LocalAnswer AnswerLocalRequest(const LocalRequest& request,
                               const InstanceView& view,
                               std::span<const Authenticator> ticket_secrets) {
  switch (request.resource) {
    case LocalResource::kEntry:
      return {kOk, "application/json",
              FormatEntryDocument(view, IssueTicketText(request.account, view,
                                                        ticket_secrets))};
    case LocalResource::kReady:
      return ReadinessAnswer(view);
    case LocalResource::kMetrics:
      return {kOk, "text/plain; version=0.0.4; charset=utf-8", view.metrics};
    case LocalResource::kHealth:
      break;
  }
  return {kOk, kPlainTextType, "ok\n"};
}

}  // namespace mimosagauge
