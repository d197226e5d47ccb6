// etcd v3's JSON mapping: keys and values are Base64, 64-bit numbers are
// strings, and fields with default values are omitted.

#include "mimosagauge/impl/store/store_codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "mimosagauge/impl/store/base64.h"

namespace mimosagauge {
namespace {

using nlohmann::json;

// Values of google.rpc.Code in the `code` field of the service's error bodies.
constexpr std::int64_t kCodeNotFound = 5;
constexpr std::int64_t kCodeResourceExhausted = 8;
// Most bytes of the service's error message that are quoted in an error.
constexpr std::size_t kMaxQuotedMessageBytes = 200;

[[nodiscard]] Error MalformedAnswer(std::string_view answer_kind) {
  return Error{ErrorKind::kInvalidInput,
               fmt::format("the key-value service sent a malformed {} answer",
                           answer_kind),
               "check that the store addresses belong to an etcd v3 service"};
}

[[nodiscard]] std::string ToText(std::uint64_t number) {
  return std::to_string(number);
}

// The first key that sorts after all keys with `prefix`; etcd's "\0" for no
// upper bound.
[[nodiscard]] std::string PrefixRangeEnd(std::string prefix) {
  while (!prefix.empty() && prefix.back() == '\xff') {
    prefix.pop_back();
  }
  if (prefix.empty()) {
    return std::string(1, '\0');
  }
  ++prefix.back();
  return prefix;
}

[[nodiscard]] json RangeToJson(const StoreRange& range) {
  json request{{"key", EncodeBase64(range.key)}};
  if (range.prefix) {
    request["range_end"] = EncodeBase64(PrefixRangeEnd(range.key));
  }
  return request;
}

[[nodiscard]] json ToJson(const StoreCondition& condition) {
  return {{"key", EncodeBase64(condition.key)},
          {"target", "MOD"},
          {"result", "EQUAL"},
          {"mod_revision", ToText(condition.modified.value())}};
}

[[nodiscard]] json ToJson(const StoreWrite& write) {
  if (const auto* put = std::get_if<StorePut>(&write)) {
    json request{{"key", EncodeBase64(put->key)},
                 {"value", EncodeBase64(put->value)}};
    if (put->lease != LeaseId{}) {
      request["lease"] = ToText(put->lease.value());
    }
    return {{"request_put", std::move(request)}};
  }
  const std::string& key = std::get<StoreDelete>(write).key;
  return {{"request_delete_range", {{"key", EncodeBase64(key)}}}};
}

// The functions below return false when a field has the wrong type. A missing
// field leaves the default value.

[[nodiscard]] bool ReadNumber(const json& object, const char* name,
                              std::uint64_t& number) {
  const auto field = object.find(name);
  if (field == object.end()) {
    return true;
  }
  if (field->is_number_unsigned()) {
    number = field->get<std::uint64_t>();
    return true;
  }
  if (!field->is_string()) {
    return false;
  }
  const auto& text = field->get_ref<const std::string&>();
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  return parsed.ec == std::errc{} && parsed.ptr == end;
}

[[nodiscard]] bool ReadBool(const json& object, const char* name, bool& value) {
  const auto field = object.find(name);
  if (field == object.end()) {
    return true;
  }
  if (!field->is_boolean()) {
    return false;
  }
  value = field->get<bool>();
  return true;
}

[[nodiscard]] bool ReadBytes(const json& object, const char* name,
                             std::string& bytes) {
  const auto field = object.find(name);
  if (field == object.end()) {
    return true;
  }
  if (!field->is_string()) {
    return false;
  }
  auto decoded = DecodeBase64(field->get_ref<const std::string&>());
  if (!decoded) {
    return false;
  }
  bytes = std::move(*decoded);
  return true;
}

template <typename Id>
[[nodiscard]] bool ReadId(const json& object, const char* name, Id& id) {
  std::uint64_t number = 0;
  if (!ReadNumber(object, name, number)) {
    return false;
  }
  id = Id{number};
  return true;
}

// Reads the store's revision from the header, which every answer contains.
[[nodiscard]] bool ReadHeader(const json& object, StoreRevision& revision) {
  const auto header = object.find("header");
  return header != object.end() && header->is_object() &&
         ReadId(*header, "revision", revision);
}

[[nodiscard]] bool ReadEntry(const json& object, StoreEntry& entry) {
  return object.is_object() && ReadBytes(object, "key", entry.key) &&
         ReadBytes(object, "value", entry.value) &&
         ReadId(object, "create_revision", entry.created) &&
         ReadId(object, "mod_revision", entry.modified) &&
         ReadId(object, "lease", entry.lease);
}

[[nodiscard]] bool ReadEntries(const json& object,
                               std::vector<StoreEntry>& entries) {
  const auto list = object.find("kvs");
  if (list == object.end()) {
    return true;
  }
  if (!list->is_array()) {
    return false;
  }
  for (const json& item : *list) {
    StoreEntry entry;
    if (!ReadEntry(item, entry)) {
      return false;
    }
    entries.push_back(std::move(entry));
  }
  return true;
}

[[nodiscard]] bool ReadResponses(const json& object,
                                 std::vector<StoreEntry>& entries) {
  const auto list = object.find("responses");
  if (list == object.end()) {
    return true;
  }
  if (!list->is_array()) {
    return false;
  }
  for (const json& item : *list) {
    if (!item.is_object()) {
      return false;
    }
    const auto range = item.find("response_range");
    if (range == item.end()) {
      continue;
    }
    if (!range->is_object() || !ReadEntries(*range, entries)) {
      return false;
    }
  }
  return true;
}

[[nodiscard]] bool ReadChange(const json& object, StoreChange& change) {
  if (!object.is_object()) {
    return false;
  }
  const auto kv = object.find("kv");
  StoreEntry entry;
  if (kv == object.end() || !ReadEntry(*kv, entry)) {
    return false;
  }
  change.key = entry.key;
  change.modified = entry.modified;
  const auto type = object.find("type");
  if (type != object.end() && *type == "DELETE") {
    return true;
  }
  change.entry = std::move(entry);
  return true;
}

[[nodiscard]] bool ReadChanges(const json& object,
                               std::vector<StoreChange>& changes) {
  const auto list = object.find("events");
  if (list == object.end()) {
    return true;
  }
  if (!list->is_array()) {
    return false;
  }
  for (const json& item : *list) {
    StoreChange change;
    if (!ReadChange(item, change)) {
      return false;
    }
    changes.push_back(std::move(change));
  }
  return true;
}

[[nodiscard]] json ParseObject(std::string_view text) {
  json value = json::parse(text, nullptr, false);
  return value.is_object() ? value : json();
}

[[nodiscard]] bool ReadLease(const json& object, StoreLease& lease) {
  std::uint64_t seconds = 0;
  if (!ReadId(object, "ID", lease.id) || !ReadNumber(object, "TTL", seconds)) {
    return false;
  }
  constexpr std::uint64_t kMaxTtlSeconds = 1000UL * 1000 * 1000;
  lease.remaining = std::chrono::seconds(std::min(seconds, kMaxTtlSeconds));
  return lease.id != LeaseId{};
}

}  // namespace

std::string EncodeRange(const StoreRange& range) {
  return RangeToJson(range).dump();
}

std::string EncodeTransaction(const StoreTransaction& transaction) {
  json request{{"compare", json::array()},
               {"success", json::array()},
               {"failure", json::array()}};
  for (const StoreCondition& condition : transaction.conditions) {
    request["compare"].push_back(ToJson(condition));
  }
  for (const StoreWrite& write : transaction.writes) {
    request["success"].push_back(ToJson(write));
  }
  for (const StoreRange& range : transaction.reads_on_failure) {
    request["failure"].push_back({{"request_range", RangeToJson(range)}});
  }
  return request.dump();
}

std::string EncodeGrant(Duration ttl) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(ttl).count();
  return json{{"TTL", std::to_string(std::max<std::int64_t>(seconds, 1))}}
      .dump();
}

std::string EncodeLeaseId(LeaseId lease) {
  return json{{"ID", ToText(lease.value())}}.dump();
}

std::string EncodeWatch(const StoreRange& range, StoreRevision from) {
  json request = RangeToJson(range);
  request["progress_notify"] = true;
  if (from != StoreRevision{}) {
    request["start_revision"] = ToText(from.value());
  }
  return json{{"create_request", std::move(request)}}.dump();
}

Result<StoreReadResult> DecodeRange(std::string_view text) {
  const json answer = ParseObject(text);
  StoreReadResult read;
  if (!ReadHeader(answer, read.revision) ||
      !ReadEntries(answer, read.entries) ||
      !ReadBool(answer, "more", read.more)) {
    return MalformedAnswer("range");
  }
  return read;
}

Result<StoreCommitResult> DecodeTransaction(std::string_view text) {
  const json answer = ParseObject(text);
  StoreCommitResult commit;
  if (!ReadHeader(answer, commit.revision) ||
      !ReadBool(answer, "succeeded", commit.applied) ||
      !ReadResponses(answer, commit.entries)) {
    return MalformedAnswer("transaction");
  }
  return commit;
}

Result<StoreLease> DecodeGrant(std::string_view text) {
  const json answer = ParseObject(text);
  StoreLease lease;
  if (!ReadLease(answer, lease)) {
    return MalformedAnswer("lease grant");
  }
  return lease;
}

Result<StoreLease> DecodeKeepAlive(std::string_view text) {
  const json answer = ParseObject(text);
  const auto result = answer.find("result");
  StoreLease lease;
  if (result == answer.end() || !result->is_object() ||
      !ReadLease(*result, lease)) {
    return MalformedAnswer("lease renewal");
  }
  return lease;
}

Result<StoreWatchUpdate> DecodeWatch(std::string_view line) {
  const json answer = ParseObject(line);
  const auto result = answer.find("result");
  if (result == answer.end() || !result->is_object()) {
    return answer.contains("error")
               ? Error{ErrorKind::kUnavailable,
                       "the key-value service ended the watch", ""}
               : MalformedAnswer("watch");
  }
  StoreWatchUpdate update;
  std::uint64_t compact_revision = 0;
  bool canceled = false;
  if (!ReadHeader(*result, update.revision) ||
      !ReadChanges(*result, update.changes) ||
      !ReadNumber(*result, "compact_revision", compact_revision) ||
      !ReadBool(*result, "created", update.created) ||
      !ReadBool(*result, "canceled", canceled)) {
    return MalformedAnswer("watch");
  }
  update.gap = compact_revision != 0;
  if (canceled && !update.gap) {
    return Error{ErrorKind::kUnavailable,
                 "the key-value service ended the watch", ""};
  }
  return update;
}

Error DecodeErrorAnswer(unsigned status, std::string_view text) {
  const json answer = ParseObject(text);
  std::uint64_t code = 0;
  static_cast<void>(ReadNumber(answer, "code", code));
  std::string message =
      fmt::format("the key-value service answered with HTTP status {}", status);
  const auto detail = answer.find("message");
  if (detail != answer.end() && detail->is_string()) {
    message += ": " + detail->get_ref<const std::string&>().substr(
                          0, kMaxQuotedMessageBytes);
  }
  if (status == 404 || code == kCodeNotFound) {
    return {ErrorKind::kNotFound, message, ""};
  }
  if (status == 401 || status == 403) {
    return {ErrorKind::kUnauthenticated, message,
            "grant this instance access to the key-value service"};
  }
  if (status == 429 || code == kCodeResourceExhausted) {
    return {ErrorKind::kOverloaded, message, "try again later"};
  }
  if (status >= 400 && status < 500) {
    return {ErrorKind::kInvalidInput, message, ""};
  }
  return {ErrorKind::kUnavailable, message,
          "check the log of the key-value service"};
}

}  // namespace mimosagauge
