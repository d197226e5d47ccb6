// Splitting of a stream of server-sent events at event boundaries.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_EVENT_STREAM_H_
#define MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_EVENT_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace mimosagauge {

/// \brief One or more complete events of a stream, byte for byte as received.
struct EventBatch {
  std::string data;
  /// The `id` of the last event in `data`; none if that event has no id.
  std::optional<std::string> last_event_id;
};

/// \brief Splits a stream of server-sent events into complete events.
class EventSplitter {
 public:
  /// \brief Appends received bytes, which may end anywhere within an event.
  void Append(std::string_view bytes);

  /// \brief Removes complete events from the buffer.
  /// \param max_bytes Limit on the bytes returned. A first event that is larger
  /// is returned nevertheless, alone and whole.
  /// \returns The events, or nothing when no event is complete.
  [[nodiscard]] std::optional<EventBatch> TakeEvents(std::uint64_t max_bytes);

  /// \returns The number of buffered bytes of the incomplete last event.
  [[nodiscard]] std::size_t partial_bytes() const noexcept;
  /// \returns The number of buffered bytes, of complete and incomplete events.
  [[nodiscard]] std::size_t buffered_bytes() const noexcept {
    return buffer_.size();
  }
  /// \returns The number of complete events appended so far that have at least
  /// one field of the event stream format. Blocks of comments, of empty lines
  /// or of lines that are no such field do not count.
  [[nodiscard]] std::uint64_t events_with_fields() const noexcept {
    return events_with_fields_;
  }
  /// \returns Whether the last complete event was `data: [DONE]`.
  [[nodiscard]] bool last_event_was_done() const noexcept {
    return last_event_was_done_;
  }

 private:
  // The end of a complete event in the buffer, and the event's id.
  struct EventEnd {
    std::size_t position = 0;
    std::optional<std::string> id;
  };

  void ScanLines();
  void ProcessLine(std::string_view line, std::size_t next_line);
  void EndEvent(std::size_t next_line);

  std::string buffer_;
  std::deque<EventEnd> event_ends_;  // One per complete event in the buffer.
  std::size_t line_start_ = 0;       // Position of the line being read.
  std::size_t scanned_bytes_ = 0;    // Scanned for line ends; >= `line_start_`.
  std::optional<std::string> current_id_;     // Id of the event being read.
  std::optional<std::string> last_event_id_;  // Id of the last complete event.
  std::uint64_t events_with_fields_ = 0;
  // The event being read has at least one field, not only comments.
  bool current_has_fields_ = false;
  bool current_event_is_done_ = false;  // The event being read is `[DONE]`.
  bool last_event_was_done_ = false;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_EVENT_STREAM_H_
