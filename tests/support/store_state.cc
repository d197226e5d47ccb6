// Keys, leases and history of the key-value stand-in.

#include "tests/support/store_state.h"

#include <stdexcept>
#include <utility>

#include "mimosagauge/impl/store/base64.h"

namespace mimosagauge::testing {
namespace {

using nlohmann::json;

constexpr int kCodeInvalid = 3;
constexpr int kCodeNotFound = 5;

[[nodiscard]] std::string Bytes(const json& object, const char* name) {
  const auto decoded = DecodeBase64(object.value(name, std::string{}));
  if (!decoded) {
    throw std::invalid_argument(name);
  }
  return *decoded;
}

[[nodiscard]] std::int64_t Number(const json& object, const char* name) {
  const auto field = object.find(name);
  if (field == object.end()) {
    return 0;
  }
  return field->is_string() ? std::stoll(field->get<std::string>())
                            : field->get<std::int64_t>();
}

[[nodiscard]] json Text(std::uint64_t number) { return std::to_string(number); }

[[nodiscard]] StoreHttpAnswer Refuse(unsigned status, int code,
                                     const std::string& message) {
  return {status, {{"error", message}, {"message", message}, {"code", code}}};
}

[[nodiscard]] StoreHttpAnswer LeaseNotFound() {
  return Refuse(404, kCodeNotFound, "etcdserver: requested lease not found");
}

}  // namespace

json StoreState::Header() const {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", Text(revision_)},
          {"raft_term", "2"}};
}

json StoreState::ToJson(const std::string& key, const Value& value) {
  json entry{{"key", EncodeBase64(key)},
             {"create_revision", Text(value.created)},
             {"mod_revision", Text(value.modified)},
             {"version", Text(value.version)},
             {"value", EncodeBase64(value.value)}};
  if (value.lease != 0) {
    entry["lease"] = std::to_string(value.lease);
  }
  return entry;
}

bool StoreState::Covers(const std::string& key, const std::string& range_end,
                        const std::string& candidate) {
  if (range_end.empty()) {
    return candidate == key;
  }
  const bool to_the_end = range_end == std::string(1, '\0');
  return candidate >= key && (to_the_end || candidate < range_end);
}

json StoreState::RangeBody(const json& request) const {
  const std::string key = Bytes(request, "key");
  const std::string range_end = Bytes(request, "range_end");
  json body{{"header", Header()}};
  std::uint64_t count = 0;
  for (const auto& [candidate, value] : values_) {
    if (Covers(key, range_end, candidate)) {
      body["kvs"].push_back(ToJson(candidate, value));
      ++count;
    }
  }
  if (count > 0) {
    body["count"] = Text(count);
  }
  return body;
}

StoreHttpAnswer StoreState::Range(const json& request) const {
  return {200, RangeBody(request)};
}

void StoreState::Set(const std::string& key, const std::string& value,
                     std::int64_t lease, std::uint64_t at) {
  Value& entry = values_[key];
  entry.value = value;
  entry.created = entry.created == 0 ? at : entry.created;
  entry.modified = at;
  ++entry.version;
  entry.lease = lease;
  revision_ = at;
  history_.push_back({at, key, false, entry});
}

std::uint64_t StoreState::Remove(const std::string& key,
                                 const std::string& range_end,
                                 std::uint64_t at) {
  std::uint64_t count = 0;
  for (auto entry = values_.begin(); entry != values_.end();) {
    if (!Covers(key, range_end, entry->first)) {
      ++entry;
      continue;
    }
    Value removed;
    removed.modified = at;
    history_.push_back({at, entry->first, true, removed});
    entry = values_.erase(entry);
    revision_ = at;
    ++count;
  }
  return count;
}

StoreHttpAnswer StoreState::Put(const json& request) {
  const std::int64_t lease = Number(request, "lease");
  if (lease != 0 && !leases_.contains(lease)) {
    return LeaseNotFound();
  }
  Set(Bytes(request, "key"), Bytes(request, "value"), lease, revision_ + 1);
  return {200, {{"header", Header()}}};
}

bool StoreState::Holds(const json& condition) const {
  const auto entry = values_.find(Bytes(condition, "key"));
  const std::string target = condition.value("target", "VERSION");
  if (condition.value("result", "EQUAL") != "EQUAL") {
    throw std::invalid_argument("result");
  }
  const Value value = entry == values_.end() ? Value{} : entry->second;
  if (target == "MOD") {
    return value.modified ==
           static_cast<std::uint64_t>(Number(condition, "mod_revision"));
  }
  if (target == "CREATE") {
    return value.created ==
           static_cast<std::uint64_t>(Number(condition, "create_revision"));
  }
  if (target == "VALUE") {
    return entry != values_.end() && value.value == Bytes(condition, "value");
  }
  if (target == "VERSION") {
    return value.version ==
           static_cast<std::uint64_t>(Number(condition, "version"));
  }
  throw std::invalid_argument("target");
}

bool StoreState::LeasesExist(const json& operations) const {
  for (const json& operation : operations) {
    const auto put = operation.find("request_put");
    if (put == operation.end()) {
      continue;
    }
    const std::int64_t lease = Number(*put, "lease");
    if (lease != 0 && !leases_.contains(lease)) {
      return false;
    }
  }
  return true;
}

json StoreState::Apply(const json& operation, std::uint64_t at) {
  if (const auto put = operation.find("request_put"); put != operation.end()) {
    Set(Bytes(*put, "key"), Bytes(*put, "value"), Number(*put, "lease"), at);
    return {{"response_put", {{"header", {{"revision", Text(at)}}}}}};
  }
  if (const auto removal = operation.find("request_delete_range");
      removal != operation.end()) {
    const std::uint64_t count =
        Remove(Bytes(*removal, "key"), Bytes(*removal, "range_end"), at);
    return {{"response_delete_range", {{"deleted", Text(count)}}}};
  }
  return {{"response_range", RangeBody(operation.at("request_range"))}};
}

StoreHttpAnswer StoreState::Transact(const json& request) {
  bool holds = true;
  for (const json& condition : request.value("compare", json::array())) {
    holds = Holds(condition) && holds;
  }
  const json operations =
      request.value(holds ? "success" : "failure", json::array());
  if (!LeasesExist(operations)) {
    return LeaseNotFound();
  }
  const std::uint64_t at = revision_ + 1;
  json responses = json::array();
  for (const json& operation : operations) {
    responses.push_back(Apply(operation, at));
  }
  json body{{"header", Header()}, {"responses", std::move(responses)}};
  if (holds) {
    body["succeeded"] = true;
  }
  return {200, std::move(body)};
}

StoreHttpAnswer StoreState::Grant(const json& request,
                                  StoreClock::time_point now) {
  const std::int64_t seconds = Number(request, "TTL");
  if (seconds <= 0) {
    return Refuse(400, kCodeInvalid, "etcdserver: TTL must be positive");
  }
  std::int64_t lease = Number(request, "ID");
  lease = lease == 0 ? next_lease_++ : lease;
  leases_[lease] = {seconds, now + std::chrono::seconds(seconds)};
  return {200,
          {{"header", Header()},
           {"ID", std::to_string(lease)},
           {"TTL", std::to_string(seconds)}}};
}

StoreHttpAnswer StoreState::KeepAlive(const json& request,
                                      StoreClock::time_point now) {
  const std::int64_t id = Number(request, "ID");
  json result{{"header", Header()}, {"ID", std::to_string(id)}};
  const auto lease = leases_.find(id);
  if (lease != leases_.end()) {
    lease->second.ends = now + std::chrono::seconds(lease->second.seconds);
    result["TTL"] = std::to_string(lease->second.seconds);
  }
  return {200, {{"result", std::move(result)}}};
}

StoreHttpAnswer StoreState::Revoke(const json& request) {
  const std::int64_t lease = Number(request, "ID");
  if (lease == 0 || !leases_.contains(lease)) {
    return LeaseNotFound();
  }
  Lapse(lease);
  return {200, {{"header", Header()}}};
}

void StoreState::Lapse(std::int64_t lease) {
  const std::uint64_t at = revision_ + 1;
  std::vector<std::string> keys;
  for (const auto& [key, value] : values_) {
    if (value.lease != 0 && (lease == 0 || value.lease == lease)) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Remove(key, "", at);
  }
  if (lease == 0) {
    leases_.clear();
    return;
  }
  leases_.erase(lease);
}

void StoreState::Expire(StoreClock::time_point now) {
  std::vector<std::int64_t> over;
  for (const auto& [id, lease] : leases_) {
    if (lease.ends <= now) {
      over.push_back(id);
    }
  }
  for (const std::int64_t lease : over) {
    Lapse(lease);
  }
}

void StoreState::Compact() {
  compacted_ = revision_;
  history_.clear();
}

StoreWatchRequest StoreState::ParseWatch(const json& request) const {
  const json& create = request.at("create_request");
  StoreWatchRequest watch{Bytes(create, "key"), Bytes(create, "range_end"), 0};
  watch.next = static_cast<std::uint64_t>(Number(create, "start_revision"));
  watch.next = watch.next == 0 ? revision_ + 1 : watch.next;
  return watch;
}

json StoreState::Tell(StoreWatchRequest& watch) const {
  if (watch.next <= compacted_) {
    watch.next = revision_ + 1;
    return {{"result",
             {{"header", Header()},
              {"canceled", true},
              {"compact_revision", Text(compacted_)}}}};
  }
  json events = json::array();
  for (const Change& change : history_) {
    if (change.revision < watch.next ||
        !Covers(watch.key, watch.range_end, change.key)) {
      continue;
    }
    json event{{"kv", ToJson(change.key, change.value)}};
    if (change.removed) {
      event["type"] = "DELETE";
    }
    events.push_back(std::move(event));
  }
  watch.next = revision_ + 1;
  if (events.empty()) {
    return {};
  }
  return {{"result", {{"header", Header()}, {"events", std::move(events)}}}};
}

}  // namespace mimosagauge::testing
