// Log and faults of the stand-ins.

#include "tests/support/standin_record.h"

#include <string_view>

#include "mimosagauge/impl/duties/callers/digest.h"

namespace mimosagauge::testing {
namespace {

using nlohmann::json;

[[nodiscard]] std::optional<std::uint64_t> Number(const json& document,
                                                  const char* name) {
  const auto found = document.find(name);
  if (found == document.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  return found->get<std::uint64_t>();
}

[[nodiscard]] bool Flag(const json& document, const char* name) {
  return document.value(name, false);
}

}  // namespace

std::string FieldOf(const StandinRequest& request, std::string_view name) {
  const auto value =
      request[boost::beast::string_view(name.data(), name.size())];
  return {value.data(), value.size()};
}

StandinEntryPtr StandinRecord::Add(const StandinRequest& request) {
  auto entry = std::make_shared<StandinEntry>();
  entry->request_id = FieldOf(request, "X-Request-Id");
  entry->idempotency_key = FieldOf(request, "Idempotency-Key");
  entry->method = std::string(request.method_string());
  entry->target = std::string(request.target());
  entry->digest = ToHex(Sha256(request.body()));
  entry->priority = FieldOf(request, "Mimosagauge-Priority");
  entry->path = FieldOf(request, "Mimosagauge-Path");
  entry->last_event_id = FieldOf(request, "Last-Event-ID");
  entry->body_bytes = request.body().size();
  entries_.push_back(entry);
  return entry;
}

StandinFaults StandinRecord::TakeFaults() {
  const StandinFaults taken = faults_;
  if (faults_.requests && --*faults_.requests == 0) {
    faults_ = {};
  }
  return taken;
}

bool StandinRecord::HandleControl(const StandinRequest& request,
                                  StandinConnection& connection,
                                  StandinServer& server) {
  if (request.target() == "/standin/log") {
    connection.Whole(200, "application/json", FormatLog());
    return true;
  }
  if (request.target() != "/standin/faults") {
    return false;
  }
  const json document = json::parse(request.body(), nullptr, false);
  if (!document.is_object()) {
    connection.Whole(400, "text/plain", "send a JSON object\n");
    return true;
  }
  SetFaults(document, server);
  connection.Whole(200, "application/json", "{}");
  return true;
}

void StandinRecord::SetFaults(const json& document, StandinServer& server) {
  faults_ = {};
  faults_.close_after_events = Number(document, "close_after_events");
  faults_.reset_after_events = Number(document, "reset_after_events");
  faults_.silent_after_events = Number(document, "silent_after_events");
  faults_.silent = Flag(document, "silent");
  faults_.refuse = Flag(document, "refuse");
  faults_.fail = Flag(document, "fail");
  faults_.delay_ms = Number(document, "delay_ms").value_or(0);
  faults_.requests = Number(document, "requests");
  if (faults_.requests == std::uint64_t{0}) {
    faults_ = {};
  }
  if (Flag(document, "silence_open_connections")) {
    server.SilenceOpenConnections();
  }
}

std::string StandinRecord::FormatLog() const {
  json log = json::array();
  for (const StandinEntryPtr& entry : entries_) {
    log.push_back({{"request_id", entry->request_id},
                   {"idempotency_key", entry->idempotency_key},
                   {"method", entry->method},
                   {"target", entry->target},
                   {"digest", entry->digest},
                   {"priority", entry->priority},
                   {"path", entry->path},
                   {"last_event_id", entry->last_event_id},
                   {"body_bytes", entry->body_bytes},
                   {"completed", entry->completed},
                   {"gone", entry->gone}});
  }
  return log.dump();
}

}  // namespace mimosagauge::testing
