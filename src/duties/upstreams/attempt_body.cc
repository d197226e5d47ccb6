// The body of an upstream's answer: parsing, and delivery under flow control.

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <utility>

#include "mimosagauge/impl/duties/upstreams/attempt.h"
#include "mimosagauge/impl/duties/upstreams/dialect.h"
#include "mimosagauge/impl/duties/upstreams/pool.h"
#include "mimosagauge/impl/duties/upstreams/server.h"
#include "mimosagauge/impl/store/http_connection.h"

namespace mimosagauge::detail {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Body bytes that count as progress of an answer without events.
constexpr std::size_t kMinBodyProgress = 1024;
constexpr const char* kCheckUpstreamLog = "check the upstream's log";

}  // namespace

bool UpstreamAttempt::ParseBody() {
  while (buffer_.size() > 0 && !parser_->is_done()) {
    error_code error;
    const std::size_t consumed = parser_->put(buffer_.data(), error);
    buffer_.consume(consumed);
    if (error == http::error::need_more) {
      if (buffer_.size() <= kMaxUnparsedBytes) {
        break;
      }
      error = http::error::bad_chunk_extension;
    }
    if (error) {
      Fail(ErrorKind::kInvalidInput,
           "the upstream's answer is not valid HTTP: " + error.message(),
           kCheckUpstreamLog);
      return false;
    }
  }
  if (buffer_.size() == 0) {
    buffer_.shrink_to_fit();
  }
  std::string& parsed = parser_->get().body();
  if (event_stream_) {
    if (!AppendEvents(parsed)) {
      return false;
    }
  } else {
    AppendBody(parsed);
  }
  parsed.clear();
  answer_complete_ = parser_->is_done();
  return true;
}

bool UpstreamAttempt::AppendEvents(std::string_view bytes) {
  const std::uint64_t events = event_splitter_.events_with_fields();
  event_splitter_.Append(bytes);
  bytes_without_progress_ += bytes.size();
  if (event_splitter_.events_with_fields() > events) {
    RestartProgressPeriod();
    bytes_without_progress_ = event_splitter_.partial_bytes();
  }
  if (bytes_without_progress_ > server_.max_partial_event()) {
    Fail(ErrorKind::kInvalidInput,
         "the upstream sent too many bytes without the end of an event",
         kCheckUpstreamLog);
    return false;
  }
  return true;
}

void UpstreamAttempt::AppendBody(std::string_view bytes) {
  undelivered_body_ += bytes;
  bytes_without_progress_ += bytes.size();
  if (bytes_without_progress_ >= kMinBodyProgress) {
    RestartProgressPeriod();
    bytes_without_progress_ = 0;
  }
}

void UpstreamAttempt::Deliver() {
  if (phase_ != Phase::kExchanging || !head_posted_) {
    return;
  }
  if (event_stream_) {
    DeliverEvents();
  } else {
    DeliverBytes();
  }
  if (credit_ <= 0) {
    deadline_.reset();  // The caller is the slow side, not the upstream.
  }
  FinishIfDelivered();
}

void UpstreamAttempt::DeliverEvents() {
  while (credit_ > 0) {
    auto batch =
        event_splitter_.TakeEvents(static_cast<std::uint64_t>(credit_));
    if (!batch) {
      return;
    }
    PostBody(std::move(batch->data), std::move(batch->last_event_id));
  }
}

void UpstreamAttempt::DeliverBytes() {
  if (credit_ <= 0 || undelivered_body_.empty()) {
    return;
  }
  const std::size_t size =
      std::min(undelivered_body_.size(), static_cast<std::size_t>(credit_));
  std::string part = undelivered_body_.substr(0, size);
  undelivered_body_.erase(0, size);
  if (undelivered_body_.empty()) {
    undelivered_body_.shrink_to_fit();
  }
  PostBody(std::move(part), std::nullopt);
}

void UpstreamAttempt::PostBody(std::string data,
                               std::optional<std::string> last_event_id) {
  credit_ -= static_cast<std::int64_t>(data.size());
  server_.Post(AttemptBodyReceived{start_effect_.attempt, std::move(data),
                                   std::move(last_event_id)});
}

bool UpstreamAttempt::AllDelivered() const {
  return event_stream_ ? event_splitter_.buffered_bytes() ==
                             event_splitter_.partial_bytes()
                       : undelivered_body_.empty();
}

void UpstreamAttempt::FinishIfDelivered() {
  if (phase_ != Phase::kExchanging || !answer_complete_ || !AllDelivered()) {
    return;
  }
  if (!CheckStreamEnd()) {
    return;
  }
  Finish();
}

bool UpstreamAttempt::CheckStreamEnd() {
  if (!event_stream_) {
    return true;
  }
  const bool needs_done = server_.dialect().streams_require_done_event &&
                          pool_->settings().kind == UpstreamKind::kEngine;
  if (event_splitter_.partial_bytes() > 0 ||
      (needs_done && !event_splitter_.last_event_was_done())) {
    Fail(ErrorKind::kUnavailable,
         "the upstream's event stream ended within an event or without its end "
         "marker",
         kCheckUpstreamLog);
    return false;
  }
  return true;
}

}  // namespace mimosagauge::detail
