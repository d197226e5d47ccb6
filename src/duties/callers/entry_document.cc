// The instance's own resources.

#include "mimosagauge/impl/duties/callers/entry_document.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "mimosagauge/impl/duties/callers/problems.h"

namespace mimosagauge {
namespace {

constexpr std::uint16_t kOk = 200;
constexpr const char* kText = "text/plain; charset=utf-8";

[[nodiscard]] OwnAnswer Readiness(const InstanceView& view) {
  if (view.draining) {
    return {status::kServiceUnavailable, kText, "draining\n"};
  }
  if (!view.ready) {
    return {status::kServiceUnavailable, kText, "not ready\n"};
  }
  return {kOk, kText, "ready\n"};
}

// The ticket as text; empty when none can be given out.
[[nodiscard]] std::string TicketFor(const AccountId& account,
                                    const InstanceView& view,
                                    std::span<const Authenticator> secrets) {
  if (!view.ticket || secrets.empty()) {
    return {};
  }
  const Result<std::string> ticket =
      IssueTicket(secrets, *view.ticket, account);
  return ticket ? ticket.value() : std::string();
}

}  // namespace

std::string FormatEntries(const InstanceView& view, const std::string& ticket) {
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

OwnAnswer AnswerFor(const OwnRequest& request, const InstanceView& view,
                    std::span<const Authenticator> secrets) {
  switch (request.resource) {
    case OwnResource::kEntry:
      return {kOk, "application/json",
              FormatEntries(view, TicketFor(request.account, view, secrets))};
    case OwnResource::kReady:
      return Readiness(view);
    case OwnResource::kMetrics:
      return {kOk, "text/plain; version=0.0.4; charset=utf-8", view.metrics};
    case OwnResource::kHealth:
      break;
  }
  return {kOk, kText, "ok\n"};
}

}  // namespace mimosagauge
