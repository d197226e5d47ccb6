// Stand-ins for the platform's store and for workers of a stream service.

#include "platform.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace review {
namespace {

using nlohmann::json;

constexpr milliseconds kHeartbeat{1200};
constexpr milliseconds kStep{5};
constexpr std::size_t kPageItems = 500;
constexpr std::string_view kPrefix = "/mimosagauge/";

std::string EncodeBase64(const std::string& bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8U |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
          i + j <= bytes.size() ? kDigits[group >> (18 - 6 * j) & 63U] : '=';
    }
  }
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    int digit = 0;
    if (c >= 'A' && c <= 'Z') {
      digit = c - 'A';
    } else if (c >= 'a' && c <= 'z') {
      digit = c - 'a' + 26;
    } else if (c >= '0' && c <= '9') {
      digit = c - '0' + 52;
    } else if (c == '+' || c == '/') {
      digit = c == '+' ? 62 : 63;
    } else {
      break;
    }
    bits = bits << 6U | static_cast<std::uint32_t>(digit);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes += static_cast<char>(bits >> count & 255U);
    }
  }
  return bytes;
}

std::string DecodePercent(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded +=
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  const std::size_t mark = target.find('?');
  std::istringstream parts(mark == std::string::npos ? ""
                                                     : target.substr(mark + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    const std::size_t equals = std::min(part.find('='), part.size());
    query[part.substr(0, equals)] =
        DecodePercent(part.substr(std::min(equals + 1, part.size())));
  }
  return query;
}

std::uint64_t Number(const std::map<std::string, std::string>& query,
                     const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() || found->second.empty()
             ? 0
             : std::stoull(found->second);
}

std::string Text(const std::map<std::string, std::string>& query,
                 const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

// Whether the other side has closed the channel or sent something.
bool HasEnded(int fd) {
  pollfd wait{fd, POLLIN | POLLRDHUP, 0};
  if (poll(&wait, 1, 0) <= 0) {
    return false;
  }
  char byte = 0;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

}  // namespace

struct Record::File {
  std::mutex mutex;
  std::ofstream stream;
};

Record::Record(const std::string& path) : file_(std::make_unique<File>()) {
  file_->stream.open(path);
}

Record::~Record() = default;

void Record::Add(const std::string& line) {
  const std::chrono::duration<double> at = Clock::now() - start_;
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f  ", at.count());
  const std::lock_guard lock(file_->mutex);
  file_->stream << time << line << '\n' << std::flush;
}

Server::Server(Handler handler, std::uint16_t port)
    : handler_(std::move(handler)), port_(port) {
  listener_ = Listen(port_);
  accepting_ = std::thread([this] { Accept(); });
}

Server::~Server() { Stop(); }

void Server::Stop() {
  if (stopped_.exchange(true)) {
    return;
  }
  accepting_.join();
  close(listener_);
  for (std::thread& thread : serving_) {
    thread.join();
  }
}

void Server::Accept() {
  while (!stopped_) {
    if (!WaitReadable(listener_, kStep)) {
      continue;
    }
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const std::lock_guard lock(mutex_);
    serving_.emplace_back([this, fd] { handler_(fd); });
  }
}

Store::Store(std::size_t machines) : silent_(machines, false) {
  for (std::size_t machine = 0; machine < machines; ++machine) {
    servers_.push_back(std::make_unique<Server>(
        [this, machine](int fd) { Serve(machine, fd); }));
  }
  expiring_ = std::thread([this] { ExpireLeases(); });
}

Store::~Store() {
  stopped_ = true;
  changed_.notify_all();
  expiring_.join();
  servers_.clear();
}

std::uint16_t Store::port(std::size_t machine) const {
  return servers_[machine]->port();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  Write(key, value, 0);
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  Erase(key);
  changed_.notify_all();
}

void Store::SetDown(bool down) {
  down_ = down;
  for (std::size_t machine = 0; machine < servers_.size(); ++machine) {
    SetSilent(machine, down);
  }
}

void Store::SetSilent(std::size_t machine, bool silent) {
  const std::lock_guard lock(mutex_);
  silent_[machine] = silent;
  changed_.notify_all();
}

// A channel on which a response was withheld carries nothing further.
void Store::Serve(std::size_t machine, int fd) {
  Reader reader(fd);
  bool withheld = false;
  while (!stopped_ && !withheld) {
    if (!WaitReadable(fd, kStep)) {
      continue;
    }
    const auto request = reader.ReadMessage(Clock::now() + milliseconds(1000));
    if (!request) {
      break;
    }
    const Answer answer = Handle(machine, *request);
    {
      const std::lock_guard lock(mutex_);
      withheld = silent_[machine];
    }
    const std::string body = answer.body.dump();
    if (!withheld &&
        !WriteAll(fd, "HTTP/1.1 " + std::to_string(answer.status) +
                          " -\r\nContent-Type: application/json\r\n"
                          "Store-Era: 1\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body)) {
      break;
    }
  }
  while (withheld && !stopped_ && !HasEnded(fd)) {
    std::this_thread::sleep_for(kStep);
  }
  close(fd);
}

Store::Answer Store::Handle(std::size_t machine, const Message& request) {
  const std::string target = request.Word(1);
  const std::string path = target.substr(0, target.find('?'));
  if (!path.starts_with(kPrefix)) {
    return {404, json::object()};
  }
  const std::string rest = path.substr(kPrefix.size());
  const std::string call = rest.substr(0, rest.find('/'));
  const std::string id =
      rest.substr(std::min(rest.find('/'), rest.size() - 1) + 1);
  const auto query = ParseQuery(target);
  if (call == "kv-watch") {
    return Watch(machine, query);
  }
  const std::lock_guard lock(mutex_);
  if (silent_[machine]) {
    return {};
  }
  if (call == "kv-range") {
    return Range(query);
  }
  if (call == "kv-txn") {
    return Transact(json::parse(request.body));
  }
  if (call == "kv-lease") {
    const milliseconds lifetime(
        json::parse(request.body).at("ttlMs").get<int>());
    const std::uint64_t lease = next_lease_++;
    leases_[lease] = {lifetime, Clock::now() + lifetime};
    return {200, {{"lease", lease}, {"ttlMs", lifetime.count()}}};
  }
  const auto lease = leases_.find(std::strtoull(id.c_str(), nullptr, 10));
  if (lease == leases_.end()) {
    return {404, json::object()};
  }
  if (call == "kv-keep") {
    lease->second.end = Clock::now() + lease->second.lifetime;
    return {200, {{"ttlMs", lease->second.lifetime.count()}}};
  }
  EndLease(lease->first);
  return {};
}

Store::Answer Store::Range(const std::map<std::string, std::string>& query) {
  const std::string prefix = Text(query, "prefix");
  const std::string after = Text(query, "after");
  json items = json::array();
  bool more = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    if (items.size() == kPageItems) {
      more = true;
      break;
    }
    items.push_back({{"key", key},
                     {"value", EncodeBase64(item.value)},
                     {"rev", item.revision},
                     {"created", item.created},
                     {"lease", item.lease}});
  }
  return {200,
          {{"items", items}, {"hasMore", more}, {"storeRevision", revision_}}};
}

Store::Answer Store::Watch(std::size_t machine,
                           const std::map<std::string, std::string>& query) {
  const std::string prefix = Text(query, "prefix");
  const std::uint64_t after = Number(query, "after");
  const auto until =
      Clock::now() + milliseconds(static_cast<int>(Number(query, "waitMs")));
  std::unique_lock lock(mutex_);
  if (after > revision_) {
    return {410, json::object()};
  }
  json events = json::array();
  while (!stopped_ && !silent_[machine]) {
    for (const Change& change : history_) {
      if (change.revision > after && change.key.starts_with(prefix)) {
        events.push_back(change.event);
      }
    }
    if (!events.empty() || Clock::now() >= until) {
      break;
    }
    changed_.wait_until(lock, until);
  }
  return {200, {{"events", events}, {"storeRevision", revision_}}};
}

Store::Answer Store::Transact(const json& request) {
  for (const json& condition : request.value("expectRev", json::array())) {
    const auto found = items_.find(condition.at("key").get<std::string>());
    const std::uint64_t revision =
        found == items_.end() ? 0 : found->second.revision;
    if (revision != condition.at("rev").get<std::uint64_t>()) {
      return {412, {{"items", json::array()}}};
    }
  }
  const json puts = request.value("puts", json::array());
  for (const json& put : puts) {
    const auto lease = put.value("lease", std::uint64_t{0});
    if (lease != 0 && leases_.count(lease) == 0) {
      return {404, json::object()};
    }
  }
  ++revision_;
  for (const json& put : puts) {
    Write(put.at("key").get<std::string>(),
          DecodeBase64(put.at("value").get<std::string>()),
          put.value("lease", std::uint64_t{0}));
  }
  for (const json& key : request.value("deletes", json::array())) {
    Erase(key.get<std::string>());
  }
  changed_.notify_all();
  return {200, {{"rev", revision_}}};
}

void Store::Write(const std::string& key, const std::string& value,
                  std::uint64_t lease) {
  Item& item = items_[key];
  const std::uint64_t created = item.created == 0 ? revision_ : item.created;
  item = {value, revision_, created, lease};
  history_.push_back({revision_,
                      {{"key", key},
                       {"value", EncodeBase64(value)},
                       {"rev", revision_},
                       {"created", created},
                       {"lease", lease}},
                      key});
}

void Store::Erase(const std::string& key) {
  if (items_.erase(key) > 0) {
    history_.push_back({revision_,
                        {{"key", key}, {"rev", revision_}, {"removed", true}},
                        key});
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
  ++revision_;
  for (const std::string& key : keys) {
    Erase(key);
  }
  changed_.notify_all();
}

void Store::ExpireLeases() {
  while (!stopped_) {
    std::this_thread::sleep_for(kStep * 4);
    const std::lock_guard lock(mutex_);
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (lease.end <= Clock::now()) {
        ended.push_back(id);
      }
    }
    for (const std::uint64_t id : ended) {
      EndLease(id);
    }
  }
}

Worker::Worker(Options options, Store& store, Record& record)
    : options_(std::move(options)), store_(store), record_(record) {
  StartProcess();
}

Worker::~Worker() {
  EndProcess();
  if (removing_.joinable()) {
    removing_.join();
  }
}

void Worker::StartProcess() {
  record_.Add("worker " + options_.id + " of version " + options_.version +
              " starts in " + options_.zone);
  born_ = std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
  seq_ = 0;
  ended_ = false;
  server_ =
      std::make_unique<Server>([this](int fd) { Serve(fd); }, options_.port);
  options_.port = server_->port();
  Register();
  beating_ = std::thread([this] {
    auto next = Clock::now() + kHeartbeat;
    while (!ended_) {
      std::this_thread::sleep_for(kStep);
      if (Clock::now() >= next && !ended_) {
        next += kHeartbeat;
        Register();
      }
    }
  });
}

void Worker::EndProcess() {
  if (!ended_.exchange(true)) {
    server_->Stop();
    beating_.join();
  }
}

void Worker::Crash() {
  record_.Add("worker " + options_.id + " crashes");
  EndProcess();
  removing_ = std::thread([this] {
    std::this_thread::sleep_for(3 * kHeartbeat);
    store_.Remove("servers/" + options_.id);
  });
}

void Worker::Leave() {
  record_.Add("the entry of worker " + options_.id +
              " is removed, and it goes on to serve");
  left_ = true;
  store_.Remove("servers/" + options_.id);
}

void Worker::RestartAs(const std::string& version) {
  record_.Add("worker " + options_.id + " ends");
  EndProcess();
  options_.version = version;
  StartProcess();
}

void Worker::Register() {
  if (left_ || store_.is_down()) {
    return;
  }
  const json entry{{"service", "assistant"},
                   {"addr", "127.0.0.1:" + std::to_string(options_.port)},
                   {"zone", options_.zone},
                   {"version", options_.version},
                   {"slots", options_.slots},
                   {"state", "ready"},
                   {"coldLeftMs", 0},
                   {"seq", ++seq_},
                   {"born", born_}};
  store_.Put("servers/" + options_.id, entry.dump());
}

void Worker::Serve(int fd) {
  Reader reader(fd);
  while (!ended_) {
    if (!WaitReadable(fd, kStep)) {
      continue;
    }
    const auto request = reader.ReadMessage(Clock::now() + milliseconds(1000));
    if (!request || !Answer(fd, *request)) {
      break;
    }
  }
  if (ended_) {
    ResetAndClose(fd);
  } else {
    close(fd);
  }
}

bool Worker::Answer(int fd, const Message& request) {
  const std::string id = request.Field("x-mimosagauge-request-id");
  const std::string echo = "X-Mimosagauge-Request-Id: " + id + "\r\n";
  if (request.Word(1) == "/healthz") {
    return WriteAll(fd, "HTTP/1.1 200 OK\r\nX-Mimosagauge-Instance: " +
                            options_.id + "\r\nContent-Length: 0\r\n\r\n");
  }
  if (request.Field("x-mimosagauge-expect-instance") != options_.id) {
    return WriteAll(fd, "HTTP/1.1 421 -\r\n" + echo +
                            "X-Mimosagauge-Not-Run: 1\r\n"
                            "Content-Length: 0\r\n\r\n");
  }
  if (running_ >= options_.slots) {
    return WriteAll(fd, "HTTP/1.1 503 -\r\n" + echo +
                            "X-Mimosagauge-Not-Run: 1\r\n"
                            "Content-Length: 0\r\n\r\n");
  }
  ++running_;
  const bool kept = AnswerStream(fd, request);
  --running_;
  return kept;
}

bool Worker::AnswerStream(int fd, const Message& request) {
  const std::string id = request.Field("x-mimosagauge-request-id");
  const std::string last = request.Field("last-event-id");
  std::size_t events = 0;
  int gap = 0;
  std::sscanf(request.Word(1).c_str(), "/ask/%zu/%d/", &events, &gap);
  std::size_t number = last.empty() ? 1 : std::stoul(last) + 1;
  record_.Add("worker " + options_.id + " runs " + id +
              (last.empty() ? "" : ", which goes on after event " + last));
  if (!WriteAll(fd,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "X-Mimosagauge-Request-Id: " +
                    id + "\r\nX-Mimosagauge-Stamp: " + options_.id + "." + id +
                    "\r\nTransfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (; number <= events; ++number) {
    const auto next = Clock::now() + milliseconds(gap);
    while (Clock::now() < next) {
      if (ended_ || HasEnded(fd)) {
        return false;
      }
      std::this_thread::sleep_for(kStep);
    }
    const std::string event = "id: " + std::to_string(number) +
                              "\ndata: " + options_.id + " " +
                              options_.version + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (!WriteAll(fd, size + event + "\r\n")) {
      return false;
    }
  }
  return WriteAll(fd, "0\r\n\r\n");
}

}  // namespace review
