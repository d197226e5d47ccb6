#include "store.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

[[nodiscard]] std::string ToBase64(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t size = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8U |
              (j < size ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += j <= size ? kAlphabet[group >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return text;
}

[[nodiscard]] std::string FromBase64(const std::string& text) {
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    const std::size_t digit = kAlphabet.find(c);
    if (digit == std::string_view::npos) {
      break;
    }
    group = group << 6U | static_cast<std::uint32_t>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 255U);
    }
  }
  return bytes;
}

[[nodiscard]] std::string Parameter(const std::string& query,
                                    const std::string& name) {
  const std::string text = "&" + query;
  const std::size_t start = text.find("&" + name + "=");
  if (start == std::string::npos) {
    return {};
  }
  const std::size_t value = start + name.size() + 2;
  return text.substr(value, text.find('&', value) - value);
}

[[nodiscard]] std::uint64_t Number(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

Store::Store() {
  server_ =
      std::make_unique<Server>([this](Channel& channel) { Serve(channel); });
  std::thread([this] {
    while (true) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      ExpireLeases();
    }
  }).detach();
}

void Store::Put(const std::string& key, const std::string& value,
                std::uint64_t lease) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  PutLocked(key, value, lease);
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  RemoveLocked(key);
  changed_.notify_all();
}

void Store::SetRoundTrip(std::chrono::milliseconds round_trip) {
  round_trip_ms_ = round_trip.count();
}

void Store::SilenceOpenChannels() { ++silences_; }

void Store::PutLocked(const std::string& key, const std::string& value,
                      std::uint64_t lease) {
  Item& item = items_[key];
  item.value = value;
  item.created = item.created == 0 ? revision_ : item.created;
  item.revision = revision_;
  item.lease = lease;
  history_.push_back({revision_, key, false, item});
}

void Store::RemoveLocked(const std::string& key) {
  if (items_.erase(key) > 0) {
    history_.push_back({revision_, key, true, {}});
  }
}

void Store::EndLease(std::uint64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) {
      keys.push_back(key);
    }
  }
  if (keys.empty()) {
    return;
  }
  ++revision_;
  for (const std::string& key : keys) {
    RemoveLocked(key);
  }
  changed_.notify_all();
}

void Store::ExpireLeases() {
  const std::lock_guard lock(mutex_);
  const auto now = std::chrono::steady_clock::now();
  std::vector<std::uint64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.end <= now) {
      ended.push_back(id);
    }
  }
  for (const std::uint64_t id : ended) {
    EndLease(id);
  }
}

void Store::Serve(Channel& channel) {
  const std::uint64_t silences = silences_;
  bool is_new = true;
  while (const auto request = channel.ReadMessage()) {
    unsigned status = 200;
    if (request->first_line.find("kv-watch") != std::string::npos) {
      ++watch_calls_;
    }
    const std::int64_t trips = std::exchange(is_new, false) ? 2 : 1;
    std::this_thread::sleep_for(
        std::chrono::milliseconds(round_trip_ms_ * trips));
    const std::string body = Answer(*request, status);
    if (silences_ != silences) {
      continue;
    }
    const std::string text = "HTTP/1.1 " + std::to_string(status) +
                             " Answer\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body;
    if (!channel.Write(text)) {
      return;
    }
  }
}

std::string Store::Answer(const HttpMessage& request, unsigned& status) {
  const std::string& line = request.first_line;
  const std::size_t start = line.find(' ') + 1;
  const std::string target = line.substr(start, line.find(' ', start) - start);
  const std::size_t mark = std::min(target.find('?'), target.size());
  const std::string path = target.substr(0, mark);
  const std::string query = mark < target.size() ? target.substr(mark + 1) : "";
  const std::string id = path.substr(path.rfind('/') + 1);
  if (path == "/mimosagauge/kv-range") {
    return Range(query);
  }
  if (path == "/mimosagauge/kv-watch") {
    return Watch(query);
  }
  if (path == "/mimosagauge/kv-txn") {
    return Transact(request.body, status);
  }
  const std::lock_guard lock(mutex_);
  if (path == "/mimosagauge/kv-lease") {
    const std::uint64_t lease = next_lease_++;
    const std::chrono::milliseconds lifetime(
        json::parse(request.body).at("ttlMs").get<int>());
    leases_[lease] = {lifetime, std::chrono::steady_clock::now() + lifetime};
    return json{{"lease", lease}, {"ttlMs", lifetime.count()}}.dump();
  }
  if (path.starts_with("/mimosagauge/kv-keep/")) {
    const auto lease = leases_.find(Number(id));
    if (lease != leases_.end()) {
      lease->second.end =
          std::chrono::steady_clock::now() + lease->second.lifetime;
      return json{{"ttlMs", lease->second.lifetime.count()}}.dump();
    }
  }
  if (path.starts_with("/mimosagauge/kv-lease-end/") &&
      leases_.contains(Number(id))) {
    EndLease(Number(id));
    return "{}";
  }
  status = 404;
  return "{}";
}

std::string Store::Range(const std::string& query) {
  const std::lock_guard lock(mutex_);
  const std::string prefix = Parameter(query, "prefix");
  const std::string after = Parameter(query, "after");
  json items = json::array();
  for (const auto& [key, item] : items_) {
    if (key.starts_with(prefix) && key > after) {
      items.push_back({{"key", key},
                       {"value", ToBase64(item.value)},
                       {"rev", item.revision},
                       {"created", item.created},
                       {"lease", item.lease}});
    }
  }
  return json{
      {"items", items}, {"hasMore", false}, {"storeRevision", revision_}}
      .dump();
}

std::string Store::Watch(const std::string& query) {
  std::unique_lock lock(mutex_);
  const std::string prefix = Parameter(query, "prefix");
  const std::uint64_t after = Number(Parameter(query, "after"));
  const auto wait =
      std::chrono::milliseconds(Number(Parameter(query, "waitMs")));
  json events = json::array();
  const auto collect = [&] {
    for (const Change& change : history_) {
      if (change.revision <= after || !change.key.starts_with(prefix)) {
        continue;
      }
      if (change.removed) {
        events.push_back(
            {{"key", change.key}, {"rev", change.revision}, {"removed", true}});
      } else {
        events.push_back({{"key", change.key},
                          {"value", ToBase64(change.item.value)},
                          {"rev", change.revision},
                          {"created", change.item.created},
                          {"lease", change.item.lease}});
      }
    }
    return !events.empty();
  };
  changed_.wait_for(lock, wait, collect);
  return json{{"events", events}, {"storeRevision", revision_}}.dump();
}

std::string Store::Transact(const std::string& body, unsigned& status) {
  const std::lock_guard lock(mutex_);
  const json request = json::parse(body);
  for (const json& condition : request.value("expectRev", json::array())) {
    const auto found = items_.find(condition.at("key").get<std::string>());
    const std::uint64_t held =
        found == items_.end() ? 0 : found->second.revision;
    if (held != condition.at("rev").get<std::uint64_t>()) {
      status = 412;
      return json{{"items", json::array()}}.dump();
    }
  }
  for (const json& put : request.value("puts", json::array())) {
    const std::uint64_t lease = put.value("lease", std::uint64_t{0});
    if (lease != 0 && !leases_.contains(lease)) {
      status = 404;
      return "{}";
    }
  }
  ++revision_;
  for (const json& put : request.value("puts", json::array())) {
    PutLocked(put.at("key").get<std::string>(),
              FromBase64(put.at("value").get<std::string>()),
              put.value("lease", std::uint64_t{0}));
  }
  for (const json& key : request.value("deletes", json::array())) {
    RemoveLocked(key.get<std::string>());
  }
  changed_.notify_all();
  return json{{"rev", revision_}}.dump();
}

}  // namespace review
