// Server-sent events cut at their boundaries.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_EVENT_STREAM_H_
#define MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_EVENT_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace mimosagauge {

/// \brief Whole events of a stream, to the letter.
struct EventPiece {
  std::string data;
  /// `id` of the last event in `data`; none when that event has no id.
  std::optional<std::string> last_event_id;
};

/// \brief Splits a stream of server-sent events into whole events.
class EventSplitter {
 public:
  /// \brief Takes bytes as they come.
  void Append(std::string_view bytes);

  /// \brief Takes out whole events.
  /// \param most Bytes wanted at most; one event larger than that comes out
  /// whole by itself.
  /// \returns The events, or nothing while none is whole.
  [[nodiscard]] std::optional<EventPiece> Take(std::uint64_t most);

  /// \returns Bytes that belong to no whole event yet.
  [[nodiscard]] std::size_t partial() const noexcept;
  /// \returns Bytes not taken out yet.
  [[nodiscard]] std::size_t size() const noexcept { return buffer_.size(); }
  /// \returns Whether the last whole event was `data: [DONE]`.
  [[nodiscard]] bool done() const noexcept { return done_; }

 private:
  // Where an event ends in the buffer.
  struct EventEnd {
    std::size_t position = 0;
    std::optional<std::string> id;
  };

  void Scan();
  void TakeLine(std::string_view line, std::size_t next);
  void EndEvent(std::size_t next);

  std::string buffer_;
  std::deque<EventEnd> ends_;           // Of the whole events in the buffer.
  std::size_t line_start_ = 0;          // Of the line being read.
  std::size_t scanned_ = 0;             // At least `line_start_`.
  std::optional<std::string> id_;       // Of the event being read.
  std::optional<std::string> last_id_;  // Of the last whole event.
  bool has_fields_ = false;  // The event being read is more than comments.
  bool says_done_ = false;   // The event being read is `[DONE]`.
  bool done_ = false;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_EVENT_STREAM_H_
