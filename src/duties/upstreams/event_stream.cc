// Parsing of server-sent events, line by line.

#include "mimosagauge/impl/duties/upstreams/event_stream.h"

#include <utility>

namespace mimosagauge {
namespace {

constexpr std::string_view kLineEnds = "\r\n";
constexpr std::string_view kDone = "[DONE]";
// Capacity that the buffer keeps while it is empty.
constexpr std::size_t kMaxEmptyCapacity = 2UL * 1024;

// A line `NAME: VALUE`. One space after the colon is not part of the value.
struct Field {
  std::string_view name;
  std::string_view value;
};

[[nodiscard]] Field ParseField(std::string_view line) noexcept {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return {line, {}};
  }
  std::string_view value = line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  return {line.substr(0, colon), value};
}

// Whether the event stream format defines the field; clients ignore others.
[[nodiscard]] bool IsEventField(std::string_view name) noexcept {
  return name == "data" || name == "id" || name == "event" || name == "retry";
}

}  // namespace

void EventSplitter::Append(std::string_view bytes) {
  buffer_ += bytes;
  ScanLines();
}

void EventSplitter::ScanLines() {
  while (true) {
    const std::size_t end = buffer_.find_first_of(kLineEnds, scanned_bytes_);
    if (end == std::string::npos) {
      scanned_bytes_ = buffer_.size();
      return;
    }
    const bool carriage_return = buffer_[end] == '\r';
    if (carriage_return && end + 1 == buffer_.size()) {
      scanned_bytes_ = end;  // The next byte may be the LF of a CR LF.
      return;
    }
    const bool is_crlf = carriage_return && buffer_[end + 1] == '\n';
    const std::size_t next_line = end + (is_crlf ? 2 : 1);
    ProcessLine(
        std::string_view(buffer_).substr(line_start_, end - line_start_),
        next_line);
    line_start_ = next_line;
    scanned_bytes_ = next_line;
  }
}

void EventSplitter::ProcessLine(std::string_view line, std::size_t next_line) {
  if (line.empty()) {
    EndEvent(next_line);
    return;
  }
  if (line.front() == ':') {
    return;
  }
  const Field field = ParseField(line);
  current_has_fields_ = current_has_fields_ || IsEventField(field.name);
  if (field.name == "id" && !field.value.empty()) {
    current_id_ = std::string(field.value);
  } else if (field.name == "data") {
    current_event_is_done_ = field.value == kDone;
  }
}

void EventSplitter::EndEvent(std::size_t next_line) {
  if (current_has_fields_) {
    ++events_with_fields_;
    last_event_id_ = std::exchange(current_id_, std::nullopt);
    last_event_was_done_ = current_event_is_done_;
  }
  current_has_fields_ = false;
  current_event_is_done_ = false;
  event_ends_.push_back({next_line, last_event_id_});
}

std::optional<EventBatch> EventSplitter::TakeEvents(std::uint64_t max_bytes) {
  if (event_ends_.empty()) {
    return std::nullopt;
  }
  EventEnd end = std::move(event_ends_.front());
  event_ends_.pop_front();
  while (!event_ends_.empty() && event_ends_.front().position <= max_bytes) {
    end = std::move(event_ends_.front());
    event_ends_.pop_front();
  }
  EventBatch batch{buffer_.substr(0, end.position), std::move(end.id)};
  buffer_.erase(0, end.position);
  if (buffer_.empty() && buffer_.capacity() > kMaxEmptyCapacity) {
    buffer_.shrink_to_fit();
  }
  line_start_ -= end.position;
  scanned_bytes_ -= end.position;
  for (EventEnd& remaining_end : event_ends_) {
    remaining_end.position -= end.position;
  }
  return batch;
}

std::size_t EventSplitter::partial_bytes() const noexcept {
  return event_ends_.empty() ? buffer_.size()
                             : buffer_.size() - event_ends_.back().position;
}

}  // namespace mimosagauge
