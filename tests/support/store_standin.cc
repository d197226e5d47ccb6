// HTTP of the key-value stand-in.

#include "tests/support/store_standin.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <exception>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

namespace mimosagauge::testing {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using nlohmann::json;
using tcp = asio::ip::tcp;

constexpr std::size_t kMaxBodyBytes = 4UL * 1024 * 1024;
constexpr std::chrono::milliseconds kExpiryInterval{50};
constexpr const char* kWatchTarget = "/v3/watch";

[[nodiscard]] bool IsWrite(const std::string& target) {
  return target == "/v3/kv/put" || target == "/v3/kv/txn" ||
         target == "/v3/lease/grant" || target == "/v3/lease/revoke";
}

[[nodiscard]] std::string Chunk(const std::string& data) {
  std::ostringstream text;
  text << std::hex << data.size() << "\r\n" << data << "\r\n";
  return text.str();
}

}  // namespace

class StoreSession : public std::enable_shared_from_this<StoreSession> {
 public:
  StoreSession(StoreStandin& standin, tcp::socket socket)
      : standin_(&standin),
        socket_(std::move(socket)),
        delay_(socket_.get_executor()) {}

  ~StoreSession() {
    if (standin_ != nullptr) {
      standin_->Leave(this);
    }
  }
  StoreSession(const StoreSession&) = delete;
  StoreSession& operator=(const StoreSession&) = delete;

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    http::async_read(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& error, std::size_t) {
          if (!error) {
            self->Dispatch();
          }
        });
  }

  void Silence() { silent_ = true; }

  void Close() {
    standin_ = nullptr;
    error_code ignored;
    delay_.cancel();
    socket_.close(ignored);
  }

  void TellWatch() {
    if (!watch_ || silent_ || standin_ == nullptr) {
      return;
    }
    const json message = standin_->state().Tell(*watch_);
    if (!message.is_null()) {
      Send(Chunk(message.dump() + "\n"));
    }
  }

  [[nodiscard]] bool watching() const { return watch_.has_value(); }

 private:
  void Dispatch() {
    if (standin_ == nullptr) {
      return;
    }
    const http::request<http::string_body>& request = parser_->get();
    const std::string target(request.target().data(), request.target().size());
    if (target == "/standin/counts") {
      return Reply({200, standin_->Counts()});
    }
    if (target == "/standin/faults") {
      return ChangeFaults(request.body());
    }
    standin_->CountCall(target);
    if (standin_->faults().down) {
      error_code ignored;
      socket_.close(ignored);
      return;
    }
    silent_ = silent_ || standin_->faults().silent;
    if (silent_) {
      return Read();
    }
    Delay(target, request.body());
  }

  void ChangeFaults(const std::string& body) {
    const json change = json::parse(body, nullptr, false);
    if (!change.is_object()) {
      return Reply({400, {{"error", "not a JSON object"}}});
    }
    const auto self = shared_from_this();
    standin_->SetFaults(change);
    if (standin_ != nullptr) {
      Reply({200, standin_->Counts()});
    }
  }

  void Delay(const std::string& target, const std::string& body) {
    delay_.expires_after(standin_->faults().slow);
    delay_.async_wait(
        [self = shared_from_this(), target, body](const error_code& error) {
          if (!error && self->standin_ != nullptr) {
            self->Serve(target, body);
          }
        });
  }

  void Serve(const std::string& target, const std::string& body) {
    if (target == kWatchTarget) {
      return Watch(body);
    }
    const StoreHttpAnswer answer = standin_->Answer(target, body);
    if (answer.status == 200 && IsWrite(target) &&
        standin_->faults().lose_answers > 0) {
      --standin_->faults().lose_answers;
      error_code ignored;
      socket_.close(ignored);
      return;
    }
    Reply(answer);
  }

  void Watch(const std::string& body) {
    const json request = json::parse(body, nullptr, false);
    try {
      watch_ = standin_->state().ParseWatch(request);
    } catch (const std::exception& error) {
      return Reply({400, {{"message", error.what()}, {"code", 3}}});
    }
    Send(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Transfer-Encoding: chunked\r\n\r\n");
    const json created{
        {"result",
         {{"header", standin_->state().Header()}, {"created", true}}}};
    Send(Chunk(created.dump() + "\n"));
    TellWatch();
    ReadUntilClosed();
  }

  void ReadUntilClosed() {
    socket_.async_read_some(
        asio::buffer(scratch_),
        [self = shared_from_this()](const error_code& error, std::size_t) {
          if (!error) {
            self->ReadUntilClosed();
            return;
          }
          self->watch_.reset();
        });
  }

  void Reply(const StoreHttpAnswer& answer) {
    http::response<http::string_body> response(
        static_cast<http::status>(answer.status), 11);
    response.set(http::field::content_type, "application/json");
    response.body() = answer.body.dump();
    response.prepare_payload();
    std::ostringstream text;
    text << response;
    Send(text.str());
    Read();
  }

  void Send(std::string text) {
    out_.push_back(std::move(text));
    if (out_.size() == 1) {
      Write();
    }
  }

  void Write() {
    asio::async_write(
        socket_, asio::buffer(out_.front()),
        [self = shared_from_this()](const error_code& error, std::size_t) {
          self->out_.erase(self->out_.begin());
          if (!error && !self->out_.empty()) {
            self->Write();
          }
        });
  }

  StoreStandin* standin_;
  tcp::socket socket_;
  asio::steady_timer delay_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::vector<std::string> out_;
  std::array<char, 64> scratch_{};
  std::optional<StoreWatchRequest> watch_;
  bool silent_ = false;
};

StoreStandin::StoreStandin(asio::io_context& io_context,
                           const Endpoint& endpoint)
    : acceptor_(io_context,
                tcp::endpoint(asio::ip::make_address(endpoint.address),
                              endpoint.port)),
      expiry_(io_context) {
  Accept();
  Expire();
}

StoreStandin::~StoreStandin() { CloseSessions(); }

Endpoint StoreStandin::endpoint() const {
  const tcp::endpoint local = acceptor_.local_endpoint();
  return {local.address().to_string(), local.port()};
}

void StoreStandin::Accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error) {
      return;
    }
    const auto session =
        std::make_shared<StoreSession>(*this, std::move(socket));
    sessions_.insert(session.get());
    session->Read();
    Accept();
  });
}

void StoreStandin::Expire() {
  expiry_.expires_after(kExpiryInterval);
  expiry_.async_wait([this](const error_code& error) {
    if (error) {
      return;
    }
    state_.Expire(StoreClock::now());
    TellWatches();
    Expire();
  });
}

void StoreStandin::CloseSessions() {
  for (StoreSession* session : std::exchange(sessions_, {})) {
    session->Close();
  }
}

void StoreStandin::Leave(StoreSession* session) { sessions_.erase(session); }

void StoreStandin::CountCall(const std::string& target) {
  auto& count = counts_[target];
  count = count.is_null() ? 1 : count.get<std::uint64_t>() + 1;
}

json StoreStandin::Counts() const {
  json counts = counts_;
  std::uint64_t watching = 0;
  for (const StoreSession* session : sessions_) {
    watching += session->watching() ? 1U : 0U;
  }
  std::uint64_t total = 0;
  for (const auto& count : counts_) {
    total += count.get<std::uint64_t>();
  }
  counts["watching"] = watching;
  counts["total"] = total;
  counts["revision"] = state_.revision();
  return counts;
}

StoreHttpAnswer StoreStandin::Answer(const std::string& target,
                                     const std::string& body) {
  const auto now = StoreClock::now();
  const json request = json::parse(body, nullptr, false);
  if (!request.is_object()) {
    return {400, {{"message", "not a JSON object"}, {"code", 3}}};
  }
  state_.Expire(now);
  StoreHttpAnswer answer{404, {{"message", "Not Found"}, {"code", 5}}};
  try {
    if (target == "/v3/kv/range") {
      answer = state_.Range(request);
    } else if (target == "/v3/kv/put") {
      answer = state_.Put(request);
    } else if (target == "/v3/kv/txn") {
      answer = state_.Transact(request);
    } else if (target == "/v3/lease/grant") {
      answer = state_.Grant(request, now);
    } else if (target == "/v3/lease/keepalive") {
      answer = state_.KeepAlive(request, now);
    } else if (target == "/v3/lease/revoke") {
      answer = state_.Revoke(request);
    }
  } catch (const std::exception& error) {
    answer = {400, {{"message", error.what()}, {"code", 3}}};
  }
  TellWatches();
  return answer;
}

void StoreStandin::SetFaults(const json& request) {
  faults_.down = request.value("down", faults_.down);
  faults_.silent = request.value("silent", faults_.silent);
  faults_.slow =
      std::chrono::milliseconds(request.value("slow_ms", faults_.slow.count()));
  faults_.lose_answers = request.value("lose_answers", faults_.lose_answers);
  if (request.contains("lapse_lease")) {
    const std::string lease = request["lapse_lease"].get<std::string>();
    state_.Lapse(lease == "all" ? 0 : std::stoll(lease));
  }
  if (request.value("compact", false)) {
    state_.Compact();
  }
  if (request.value("silence_open", false)) {
    for (StoreSession* session : sessions_) {
      session->Silence();
    }
  }
  if (faults_.down) {
    // Open watches end, as when the service's process does.
    for (StoreSession* session : std::set<StoreSession*>(sessions_)) {
      if (session->watching()) {
        session->Close();
        sessions_.erase(session);
      }
    }
  }
  TellWatches();
}

void StoreStandin::TellWatches() {
  for (StoreSession* session : sessions_) {
    session->TellWatch();
  }
}

}  // namespace mimosagauge::testing
