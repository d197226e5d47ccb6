// Send queue of one link.

#include "mimosagauge/impl/duties/links/queue.h"

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/wire/codec.h"

namespace mimosagauge {
namespace {

/// Request bodies are split into frames of this many body bytes.
constexpr std::size_t kRequestChunkBytes = 16UL * 1024;

}  // namespace

void LinkQueue::PushControl(std::string frame) {
  size_ += Bytes{frame.size()};
  control_frames_.push_back(std::move(frame));
}

void LinkQueue::Push(StreamNumber stream, std::string frame, Bytes body_bytes) {
  Stream& state = streams_[stream];
  size_ += Bytes{frame.size()};
  state.entries.push_back({std::move(frame), body_bytes});
  ScheduleStream(stream, state);
}

void LinkQueue::PushRequestBody(StreamNumber stream, BodyPtr body,
                                std::uint8_t version) {
  if (body->empty()) {
    return;
  }
  Stream& state = streams_[stream];
  state.body = std::move(body);
  state.version = version;
  ScheduleStream(stream, state);
}

void LinkQueue::AddCredit(StreamNumber stream, Bytes bytes) {
  constexpr std::int64_t kMaxCreditBytes = std::int64_t{1} << 40;
  Stream& state = streams_[stream];
  const auto added = std::min(bytes, Bytes{kMaxCreditBytes});
  state.credit = std::min(
      kMaxCreditBytes, state.credit + static_cast<std::int64_t>(added.count()));
  ScheduleStream(stream, state);
}

void LinkQueue::AddCreditIfKnown(StreamNumber stream, Bytes bytes) {
  if (streams_.count(stream) > 0) {
    AddCredit(stream, bytes);
  }
}

void LinkQueue::FinishStream(StreamNumber stream) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return;
  }
  found->second.is_complete = true;
  if (found->second.entries.empty() && found->second.body == nullptr) {
    streams_.erase(found);
    finished_streams_.push_back(stream);
  }
}

std::vector<StreamNumber> LinkQueue::TakeFinishedStreams() {
  return std::exchange(finished_streams_, {});
}

bool LinkQueue::DropStream(StreamNumber stream) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return false;
  }
  const bool not_started = !found->second.started;
  for (const Entry& entry : found->second.entries) {
    size_ -= Bytes{entry.frame.size()};
  }
  streams_.erase(found);
  return not_started;
}

bool LinkQueue::HasStarted(StreamNumber stream) const {
  const auto found = streams_.find(stream);
  return found == streams_.end() || found->second.started;
}

bool LinkQueue::IsSendable(const Stream& stream) noexcept {
  if (stream.entries.empty()) {
    return stream.body != nullptr;
  }
  return stream.entries.front().body_bytes == Bytes{} || stream.credit > 0;
}

void LinkQueue::ScheduleStream(StreamNumber number, Stream& stream) {
  if (!stream.in_ready_streams && IsSendable(stream)) {
    stream.in_ready_streams = true;
    ready_streams_.push_back(number);
  }
}

void LinkQueue::TakeNextFrame(StreamNumber number, Stream& stream,
                              std::string& out) {
  stream.started = true;
  if (!stream.entries.empty()) {
    const Entry& entry = stream.entries.front();
    out += entry.frame;
    size_ -= Bytes{entry.frame.size()};
    stream.credit -= static_cast<std::int64_t>(entry.body_bytes.count());
    stream.entries.pop_front();
    return;
  }
  RequestBodyMessage chunk;
  chunk.stream = number;
  chunk.sequence = stream.body_sequence++;
  chunk.data = stream.body->substr(stream.body_offset, kRequestChunkBytes);
  stream.body_offset += chunk.data.size();
  if (stream.body_offset == stream.body->size()) {
    stream.body = nullptr;
  }
  out += EncodeMessage(chunk, stream.version);
}

void LinkQueue::TakeFrames(std::string& out, Bytes target) {
  while (!control_frames_.empty()) {
    size_ -= Bytes{control_frames_.front().size()};
    out += control_frames_.front();
    control_frames_.pop_front();
  }
  while (!ready_streams_.empty() && out.size() < target.count()) {
    const StreamNumber number = ready_streams_.front();
    ready_streams_.pop_front();
    const auto found = streams_.find(number);
    if (found == streams_.end()) {
      continue;
    }
    Stream& stream = found->second;
    stream.in_ready_streams = false;
    if (!IsSendable(stream)) {
      continue;
    }
    TakeNextFrame(number, stream, out);
    if (stream.is_complete && stream.entries.empty() &&
        stream.body == nullptr) {
      streams_.erase(found);
      finished_streams_.push_back(number);
      continue;
    }
    ScheduleStream(number, stream);
  }
}

}  // namespace mimosagauge
