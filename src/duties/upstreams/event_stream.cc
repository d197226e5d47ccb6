// Line by line reading of server-sent events.

#include "mimosagauge/impl/duties/upstreams/event_stream.h"

#include <utility>

namespace mimosagauge {
namespace {

constexpr std::string_view kLineEnds = "\r\n";
constexpr std::string_view kDone = "[DONE]";
// Capacity that an empty splitter may keep.
constexpr std::size_t kKeptCapacity = 2UL * 1024;

// A line `NAME: VALUE`; one space after the colon is left out.
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

}  // namespace

void EventSplitter::Append(std::string_view bytes) {
  buffer_ += bytes;
  Scan();
}

void EventSplitter::Scan() {
  while (true) {
    const std::size_t end = buffer_.find_first_of(kLineEnds, scanned_);
    if (end == std::string::npos) {
      scanned_ = buffer_.size();
      return;
    }
    const bool carriage_return = buffer_[end] == '\r';
    if (carriage_return && end + 1 == buffer_.size()) {
      scanned_ = end;  // A line feed may belong to it.
      return;
    }
    const bool pair = carriage_return && buffer_[end + 1] == '\n';
    const std::size_t next = end + (pair ? 2 : 1);
    TakeLine(std::string_view(buffer_).substr(line_start_, end - line_start_),
             next);
    line_start_ = next;
    scanned_ = next;
  }
}

void EventSplitter::TakeLine(std::string_view line, std::size_t next) {
  if (line.empty()) {
    EndEvent(next);
    return;
  }
  if (line.front() == ':') {
    return;
  }
  const Field field = ParseField(line);
  has_fields_ = true;
  if (field.name == "id" && !field.value.empty()) {
    id_ = std::string(field.value);
  } else if (field.name == "data") {
    says_done_ = field.value == kDone;
  }
}

void EventSplitter::EndEvent(std::size_t next) {
  if (has_fields_) {
    last_id_ = std::exchange(id_, std::nullopt);
    done_ = says_done_;
  }
  has_fields_ = false;
  says_done_ = false;
  ends_.push_back({next, last_id_});
}

std::optional<EventPiece> EventSplitter::Take(std::uint64_t most) {
  if (ends_.empty()) {
    return std::nullopt;
  }
  EventEnd end = std::move(ends_.front());
  ends_.pop_front();
  while (!ends_.empty() && ends_.front().position <= most) {
    end = std::move(ends_.front());
    ends_.pop_front();
  }
  EventPiece piece{buffer_.substr(0, end.position), std::move(end.id)};
  buffer_.erase(0, end.position);
  if (buffer_.empty() && buffer_.capacity() > kKeptCapacity) {
    buffer_.shrink_to_fit();
  }
  line_start_ -= end.position;
  scanned_ -= end.position;
  for (EventEnd& later : ends_) {
    later.position -= end.position;
  }
  return piece;
}

std::size_t EventSplitter::partial() const noexcept {
  return ends_.empty() ? buffer_.size()
                       : buffer_.size() - ends_.back().position;
}

}  // namespace mimosagauge
