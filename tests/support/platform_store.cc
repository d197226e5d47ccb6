// Calls of the platform's store, answered from memory.

#include "tests/support/platform_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "mimosagauge/impl/store/base64.h"

namespace mimosagauge::testing {
namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kExpiryInterval{50};
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kGone = 410;
constexpr unsigned kConditionFailed = 412;
constexpr unsigned kUnavailable = 503;
constexpr std::string_view kCallPrefix = "/mimosagauge/";

[[nodiscard]] std::string PercentDecoded(const std::string& text) {
  constexpr int kHexadecimal = 16;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::stoi(text.substr(i + 1, 2), nullptr, kHexadecimal));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

[[nodiscard]] std::map<std::string, std::string> ParseQuery(
    const std::string& text) {
  std::map<std::string, std::string> query;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end = std::min(text.find('&', begin), text.size());
    const std::size_t equals = std::min(text.find('=', begin), end);
    query[text.substr(begin, equals - begin)] =
        equals < end ? PercentDecoded(text.substr(equals + 1, end - equals - 1))
                     : std::string();
    begin = end + 1;
  }
  return query;
}

[[nodiscard]] std::string Parameter(
    const std::map<std::string, std::string>& query, const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

[[nodiscard]] std::uint64_t NumberIn(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

template <typename StoredItem>
[[nodiscard]] json ToJson(const std::string& key, const StoredItem& item) {
  return {{"key", key},
          {"value", EncodeBase64(item.value)},
          {"rev", item.modified},
          {"created", item.created},
          {"lease", item.lease}};
}

}  // namespace

PlatformStore::PlatformStore()
    : server_(io_context_, {"127.0.0.1", 0},
              [this](const StandinRequest& request,
                     const StandinConnectionPtr& connection) {
                Handle(request, connection);
              }),
      expiry_timer_(io_context_) {
  ScheduleExpiry();
  thread_ = std::thread([this] { io_context_.run(); });
}

PlatformStore::~PlatformStore() {
  io_context_.stop();
  thread_.join();
}

void PlatformStore::Put(const std::string& key, const std::string& value) {
  OnThread([&] {
    ++contents_.revision;
    Write(key, Item{value});
    AnswerPolls();
  });
}

void PlatformStore::Remove(const std::string& key) {
  OnThread([&] {
    ++contents_.revision;
    Write(key, std::nullopt);
    AnswerPolls();
  });
}

bool PlatformStore::Contains(const std::string& key) {
  return OnThread([&] { return contents_.items.count(key) > 0; });
}

void PlatformStore::Compact() {
  OnThread([this] {
    contents_.compacted_revision = contents_.revision;
    contents_.history.clear();
  });
}

void PlatformStore::TakeCopy() {
  OnThread([this] { copy_ = contents_; });
}

void PlatformStore::RestoreCopy() {
  OnThread([this] {
    contents_ = copy_;
    ++era_;
    // Polls from a revision that the copy does not contain end.
    polls_.remove_if([this](const WaitingPoll& poll) {
      const bool unknown = poll.after > contents_.revision;
      if (unknown) {
        Answer(poll.connection, kGone, json::object());
      }
      return unknown;
    });
    AnswerPolls();
  });
}

std::uint64_t PlatformStore::Revision() {
  return OnThread([this] { return contents_.revision; });
}

void PlatformStore::SetDelay(std::chrono::milliseconds delay) {
  OnThread([&] { delay_ = delay; });
}

void PlatformStore::SetDown(bool down) {
  OnThread([&] { down_ = down; });
}

void PlatformStore::SilenceOpenConnections() {
  OnThread([this] { server_.SilenceOpenConnections(); });
}

std::uint64_t PlatformStore::CallCount(const std::string& name) {
  return OnThread([&] { return call_counts_[name]; });
}

void PlatformStore::Handle(const StandinRequest& request,
                           const StandinConnectionPtr& connection) {
  const std::string target(request.target());
  const std::size_t mark = std::min(target.find('?'), target.size());
  const std::string path = target.substr(0, mark);
  const Query query =
      ParseQuery(mark < target.size() ? target.substr(mark + 1) : "");
  const std::string call =
      path.substr(std::min(kCallPrefix.size(), path.size()),
                  path.find('/', kCallPrefix.size()) - kCallPrefix.size());
  const std::string id = path.substr(path.rfind('/') + 1);
  ++call_counts_[call];
  if (down_) {
    return Answer(connection, kUnavailable, json::object());
  }
  if (call == "kv-range") {
    return Answer(connection, kOk, Range(query));
  }
  if (call == "kv-watch") {
    return Poll(query, connection);
  }
  if (call == "kv-txn") {
    json body = json::object();
    const unsigned status = Transact(json::parse(request.body()), body);
    Answer(connection, status, body);
    return AnswerPolls();
  }
  if (call == "kv-lease") {
    const std::chrono::milliseconds lifetime(
        json::parse(request.body()).at("ttlMs").get<int>());
    const std::uint64_t lease = contents_.next_lease++;
    contents_.leases[lease] = {lifetime, Clock::now() + lifetime};
    return Answer(connection, kOk,
                  {{"lease", lease}, {"ttlMs", lifetime.count()}});
  }
  const auto lease = contents_.leases.find(NumberIn(id));
  if (lease == contents_.leases.end()) {
    return Answer(connection, kNotFound, json::object());
  }
  if (call == "kv-keep") {
    lease->second.end = Clock::now() + lease->second.lifetime;
    return Answer(connection, kOk, {{"ttlMs", lease->second.lifetime.count()}});
  }
  EndLease(lease->first);
  Answer(connection, kOk, json::object());
}

void PlatformStore::Answer(const StandinConnectionPtr& connection,
                           unsigned status, const json& body) {
  const std::string era = fmt::format("Store-Era: {}\r\n", era_);
  if (delay_.count() == 0) {
    return connection->Whole(status, "application/json", body.dump(), era);
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(io_context_, delay_);
  timer->async_wait([timer, connection, status, era, text = body.dump()](
                        const boost::system::error_code& error) {
    if (!error) {
      connection->Whole(status, "application/json", text, era);
    }
  });
}

json PlatformStore::Range(const Query& query) const {
  const std::string prefix = Parameter(query, "prefix");
  const std::string after = Parameter(query, "after");
  json items = json::array();
  for (const auto& [key, item] : contents_.items) {
    if (key.starts_with(prefix) && key > after) {
      items.push_back(ToJson(key, item));
    }
  }
  return {{"items", items},
          {"hasMore", false},
          {"storeRevision", contents_.revision}};
}

void PlatformStore::Poll(const Query& query,
                         const StandinConnectionPtr& connection) {
  WaitingPoll poll;
  poll.after = NumberIn(Parameter(query, "after"));
  poll.prefix = Parameter(query, "prefix");
  poll.end = Clock::now() +
             std::chrono::milliseconds(NumberIn(Parameter(query, "waitMs")));
  poll.connection = connection;
  if (poll.after < contents_.compacted_revision ||
      poll.after > contents_.revision) {
    return Answer(connection, kGone, json::object());
  }
  polls_.push_back(std::move(poll));
  AnswerPolls();
}

json PlatformStore::EventsFor(const WaitingPoll& poll) const {
  json events = json::array();
  for (const Change& change : contents_.history) {
    if (change.revision <= poll.after || !change.key.starts_with(poll.prefix)) {
      continue;
    }
    events.push_back(change.item ? ToJson(change.key, *change.item)
                                 : json{{"key", change.key},
                                        {"rev", change.revision},
                                        {"removed", true}});
  }
  return events;
}

void PlatformStore::AnswerPolls() {
  const auto now = Clock::now();
  for (auto poll = polls_.begin(); poll != polls_.end();) {
    json events = EventsFor(*poll);
    if (events.empty() && now < poll->end) {
      ++poll;
      continue;
    }
    Answer(
        poll->connection, kOk,
        {{"events", std::move(events)}, {"storeRevision", contents_.revision}});
    poll = polls_.erase(poll);
  }
}

unsigned PlatformStore::Transact(const json& request, json& body) {
  for (const json& condition : request.value("expectRev", json::array())) {
    const auto found =
        contents_.items.find(condition.at("key").get<std::string>());
    const std::uint64_t modified =
        found == contents_.items.end() ? 0 : found->second.modified;
    if (modified != condition.at("rev").get<std::uint64_t>()) {
      body["items"] = json::array();
      return kConditionFailed;
    }
  }
  const json puts = request.value("puts", json::array());
  for (const json& put : puts) {
    const auto lease = put.value("lease", std::uint64_t{0});
    if (lease != 0 && contents_.leases.count(lease) == 0) {
      return kNotFound;
    }
  }
  ++contents_.revision;
  for (const json& put : puts) {
    Item item;
    item.value = DecodeBase64(put.at("value").get<std::string>()).value_or("");
    item.lease = put.value("lease", std::uint64_t{0});
    Write(put.at("key").get<std::string>(), std::move(item));
  }
  for (const json& key : request.value("deletes", json::array())) {
    Write(key.get<std::string>(), std::nullopt);
  }
  body["rev"] = contents_.revision;
  return kOk;
}

// Stores or removes an item at the current revision.
void PlatformStore::Write(const std::string& key, std::optional<Item> item) {
  if (!item) {
    if (contents_.items.erase(key) > 0) {
      contents_.history.push_back({contents_.revision, key, std::nullopt});
    }
    return;
  }
  const auto found = contents_.items.find(key);
  item->modified = contents_.revision;
  item->created = found == contents_.items.end() ? contents_.revision
                                                 : found->second.created;
  contents_.items[key] = *item;
  contents_.history.push_back({contents_.revision, key, std::move(item)});
}

void PlatformStore::EndLease(std::uint64_t lease) {
  contents_.leases.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : contents_.items) {
    if (item.lease == lease) {
      keys.push_back(key);
    }
  }
  if (keys.empty()) {
    return;
  }
  ++contents_.revision;
  for (const std::string& key : keys) {
    Write(key, std::nullopt);
  }
  AnswerPolls();
}

void PlatformStore::ScheduleExpiry() {
  expiry_timer_.expires_after(kExpiryInterval);
  expiry_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : contents_.leases) {
      if (lease.end <= Clock::now()) {
        ended.push_back(id);
      }
    }
    for (const std::uint64_t id : ended) {
      EndLease(id);
    }
    AnswerPolls();
    ScheduleExpiry();
  });
}

}  // namespace mimosagauge::testing
