// What waits to be written on one link.

#include "mimosagauge/impl/duties/links/queue.h"

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/wire/codec.h"

namespace mimosagauge {
namespace {

/// Request bodies are sent in pieces of this size.
constexpr std::size_t kRequestPieceBytes = 16UL * 1024;

}  // namespace

void LinkQueue::PushControl(std::string frame) {
  size_ += Bytes{frame.size()};
  control_.push_back(std::move(frame));
}

void LinkQueue::Push(StreamNumber stream, std::string frame, Bytes body_bytes) {
  Stream& state = streams_[stream];
  size_ += Bytes{frame.size()};
  state.entries.push_back({std::move(frame), body_bytes});
  Schedule(stream, state);
}

void LinkQueue::PushRequestBody(StreamNumber stream, BodyPtr body,
                                std::uint8_t version) {
  if (body->empty()) {
    return;
  }
  Stream& state = streams_[stream];
  state.body = std::move(body);
  state.version = version;
  Schedule(stream, state);
}

void LinkQueue::AddCredit(StreamNumber stream, Bytes bytes) {
  constexpr std::int64_t kMostCredit = std::int64_t{1} << 40;
  Stream& state = streams_[stream];
  const auto more = std::min(bytes, Bytes{kMostCredit});
  state.credit = std::min(
      kMostCredit, state.credit + static_cast<std::int64_t>(more.count()));
  Schedule(stream, state);
}

void LinkQueue::AddCreditIfKnown(StreamNumber stream, Bytes bytes) {
  if (streams_.count(stream) > 0) {
    AddCredit(stream, bytes);
  }
}

void LinkQueue::Finish(StreamNumber stream) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return;
  }
  found->second.finished = true;
  if (found->second.entries.empty() && found->second.body == nullptr) {
    streams_.erase(found);
  }
}

bool LinkQueue::Drop(StreamNumber stream) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return false;
  }
  const bool untouched = !found->second.started;
  for (const Entry& entry : found->second.entries) {
    size_ -= Bytes{entry.frame.size()};
  }
  streams_.erase(found);
  return untouched;
}

bool LinkQueue::Started(StreamNumber stream) const {
  const auto found = streams_.find(stream);
  return found == streams_.end() || found->second.started;
}

bool LinkQueue::Sendable(const Stream& stream) noexcept {
  if (stream.entries.empty()) {
    return stream.body != nullptr;
  }
  return stream.entries.front().body_bytes == Bytes{} || stream.credit > 0;
}

void LinkQueue::Schedule(StreamNumber number, Stream& stream) {
  if (!stream.scheduled && Sendable(stream)) {
    stream.scheduled = true;
    turns_.push_back(number);
  }
}

void LinkQueue::TakeOne(StreamNumber number, Stream& stream, std::string& out) {
  stream.started = true;
  if (!stream.entries.empty()) {
    const Entry& entry = stream.entries.front();
    out += entry.frame;
    size_ -= Bytes{entry.frame.size()};
    stream.credit -= static_cast<std::int64_t>(entry.body_bytes.count());
    stream.entries.pop_front();
    return;
  }
  RequestBodyMessage piece;
  piece.stream = number;
  piece.sequence = stream.body_sequence++;
  piece.data = stream.body->substr(stream.body_offset, kRequestPieceBytes);
  stream.body_offset += piece.data.size();
  if (stream.body_offset == stream.body->size()) {
    stream.body = nullptr;
  }
  out += EncodeMessage(piece, stream.version);
}

void LinkQueue::Take(std::string& out, Bytes target) {
  while (!control_.empty()) {
    size_ -= Bytes{control_.front().size()};
    out += control_.front();
    control_.pop_front();
  }
  while (!turns_.empty() && out.size() < target.count()) {
    const StreamNumber number = turns_.front();
    turns_.pop_front();
    const auto found = streams_.find(number);
    if (found == streams_.end()) {
      continue;
    }
    Stream& stream = found->second;
    stream.scheduled = false;
    if (!Sendable(stream)) {
      continue;
    }
    TakeOne(number, stream, out);
    if (stream.finished && stream.entries.empty() && stream.body == nullptr) {
      streams_.erase(found);
      continue;
    }
    Schedule(number, stream);
  }
}

}  // namespace mimosagauge
