// What waits to be written on one link, fair between its streams.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_LINKS_QUEUE_H_
#define MIMOSAGAUGE_IMPL_DUTIES_LINKS_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "mimosagauge/impl/core/units.h"
#include "mimosagauge/impl/wire/messages.h"

namespace mimosagauge {

/// \brief Orders the frames of one link.
///
/// Frames of one stream keep their order. Control frames go first; then the
/// streams take turns, one frame each, so that a small frame waits for one
/// frame of each other stream at most. A frame with answer bytes waits until
/// its stream has credit.
class LinkQueue {
 public:
  /// \brief Adds a frame that belongs to no stream.
  void PushControl(std::string frame);

  /// \brief Adds a frame of a stream.
  /// \param body_bytes Credit that the frame uses up; zero: it needs none.
  void Push(StreamNumber stream, std::string frame, Bytes body_bytes = {});

  /// \brief Adds a request body, from which frames are made as they are sent.
  /// \param version Protocol version of the frames.
  void PushRequestBody(StreamNumber stream, BodyPtr body, std::uint8_t version);

  /// \brief Lets a stream send more answer bytes.
  void AddCredit(StreamNumber stream, Bytes bytes);

  /// \brief The same, unless the stream has finished or never began.
  void AddCreditIfKnown(StreamNumber stream, Bytes bytes);

  /// \brief Forgets a stream's credit once its last frame has been taken.
  void Finish(StreamNumber stream);

  /// \brief Drops what a stream still has to send.
  /// \returns Whether nothing of the stream had been taken.
  bool Drop(StreamNumber stream);

  /// \returns Whether a frame of the stream has been taken.
  [[nodiscard]] bool Started(StreamNumber stream) const;

  /// \brief Moves frames into `out` until it holds at least `target` bytes or
  /// nothing more may be sent now.
  void Take(std::string& out, Bytes target);

  /// \returns Bytes held in memory of this queue, request bodies excluded.
  [[nodiscard]] Bytes size() const noexcept { return size_; }

 private:
  struct Entry {
    std::string frame;
    Bytes body_bytes;
  };
  struct Stream {
    std::deque<Entry> entries;
    BodyPtr body;  // Request body still being cut into frames, or null.
    std::size_t body_offset = 0;
    std::uint32_t body_sequence = 0;
    std::uint8_t version = 0;
    std::int64_t credit = 0;  // May fall below zero by one frame.
    bool started = false;     // A frame has been taken.
    bool finished = false;    // Nothing more will be pushed.
    bool scheduled = false;   // In `turns_`.
  };

  [[nodiscard]] static bool Sendable(const Stream& stream) noexcept;
  void Schedule(StreamNumber number, Stream& stream);
  void TakeOne(StreamNumber number, Stream& stream, std::string& out);

  std::deque<std::string> control_;
  std::unordered_map<StreamNumber, Stream> streams_;
  std::deque<StreamNumber> turns_;
  Bytes size_;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_LINKS_QUEUE_H_
