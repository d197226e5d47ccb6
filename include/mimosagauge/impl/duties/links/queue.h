// Send queue of one link, which schedules its streams fairly.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_LINKS_QUEUE_H_
#define MIMOSAGAUGE_IMPL_DUTIES_LINKS_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "mimosagauge/impl/core/units.h"
#include "mimosagauge/impl/wire/messages.h"

namespace mimosagauge {

/// A link with more queued bytes than this accepts no more requests or gossip.
inline constexpr Bytes kMaxQueuedBytes = Kibibytes(32UL * 1024);

/// \brief Queues the frames to be sent on one link and decides their order.
///
/// Frames of one stream keep their order. Control frames are sent first. Then
/// the streams are served round-robin, one frame each, so that a small frame
/// waits for at most one frame of each other stream. A frame with answer bytes
/// waits until its stream has credit.
class LinkQueue {
 public:
  /// \brief Adds a control frame, which is sent before all stream frames.
  void PushControl(std::string frame);

  /// \brief Adds a frame of a stream.
  /// \param body_bytes Credit that the frame uses; zero when it needs none.
  void Push(StreamNumber stream, std::string frame, Bytes body_bytes = {});

  /// \brief Adds a request body, which is split into frames as they are sent.
  /// \param version Protocol version of the frames.
  void PushRequestBody(StreamNumber stream, BodyPtr body, std::uint8_t version);

  /// \brief Allows a stream to send this many more answer bytes.
  void AddCredit(StreamNumber stream, Bytes bytes);

  /// \brief Like `AddCredit`, but does nothing when the queue holds no such
  /// stream because it has finished or never began.
  void AddCreditIfKnown(StreamNumber stream, Bytes bytes);

  /// \brief Marks a stream as complete: it is removed, with its credit, once
  /// its last frame has been taken.
  void FinishStream(StreamNumber stream);

  /// \returns The streams that `FinishStream` was called for and whose last
  /// frame has been taken, since the last call.
  [[nodiscard]] std::vector<StreamNumber> TakeFinishedStreams();

  /// \brief Removes a stream and its unsent frames.
  /// \returns Whether the queue held the stream and none of its frames had been
  /// taken.
  bool DropStream(StreamNumber stream);

  /// \returns Whether a frame of the stream has been taken; also true when the
  /// queue holds no such stream.
  [[nodiscard]] bool HasStarted(StreamNumber stream) const;

  /// \brief Appends all control frames to `out`, then stream frames until it
  /// holds at least `target` bytes or no more frames may be sent now.
  void TakeFrames(std::string& out, Bytes target);

  /// \returns The total size of the queued frames, excluding request bodies.
  [[nodiscard]] Bytes size() const noexcept { return size_; }

 private:
  struct Entry {
    std::string frame;
    Bytes body_bytes;
  };
  struct Stream {
    std::deque<Entry> entries;
    BodyPtr body;  // Request body still to be split into frames, or null.
    std::size_t body_offset = 0;
    std::uint32_t body_sequence = 0;
    std::uint8_t version = 0;
    std::int64_t credit = 0;   // In bytes; may fall below zero by one frame.
    bool started = false;      // A frame has been taken.
    bool is_complete = false;  // No more frames will be added.
    bool in_ready_streams = false;  // Listed in `ready_streams_`.
  };

  [[nodiscard]] static bool IsSendable(const Stream& stream) noexcept;
  void ScheduleStream(StreamNumber number, Stream& stream);
  void TakeNextFrame(StreamNumber number, Stream& stream, std::string& out);

  std::deque<std::string> control_frames_;
  std::unordered_map<StreamNumber, Stream> streams_;
  std::deque<StreamNumber> ready_streams_;
  std::vector<StreamNumber> finished_streams_;
  Bytes size_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_LINKS_QUEUE_H_
