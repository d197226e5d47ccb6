// The accepting side of links: the answers to its requests.

#include <algorithm>
#include <utility>

#include "mimosagauge/impl/duties/links/server.h"

namespace mimosagauge {
namespace {

/// Answer bodies are split into frames of this many body bytes, except a part
/// that names its last event, because it must hold whole events.
constexpr std::size_t kAnswerChunkBytes = 64UL * 1024;
/// Maximum size of a part that names its last event.
constexpr std::size_t kMaxEventChunkBytes = 224UL * 1024;
constexpr std::size_t kMaxEventIdBytes = 4UL * 1024;
/// When a problem does not fit into a frame, each of its texts is truncated to
/// this size.
constexpr std::size_t kMaxProblemTextBytes = 512;

[[nodiscard]] Problem AnswerHeadTooLargeProblem() {
  Problem problem;
  problem.status = 502;
  problem.type = "answer-too-large";
  problem.title = "The answer's header fields are too large";
  problem.detail = "they do not fit into one link frame";
  problem.remedy = "configure the upstream to send smaller header fields";
  problem.run = RunState::kRan;
  return problem;
}

[[nodiscard]] bool FitsOneFrame(const SendAnswerBody& body) {
  return body.data.size() <= kMaxEventChunkBytes &&
         body.last_event_id->size() <= kMaxEventIdBytes;
}

[[nodiscard]] Problem WithTruncatedTexts(Problem problem) {
  for (std::string* text :
       {&problem.type, &problem.title, &problem.detail, &problem.remedy}) {
    text->resize(std::min(text->size(), kMaxProblemTextBytes));
  }
  return problem;
}

}  // namespace

LinkServer::ActiveRequest* LinkServer::FindActiveRequest(RequestNumber number) {
  const auto found = active_requests_.find(number);
  return found == active_requests_.end() ? nullptr : &found->second;
}

void LinkServer::FinishRequest(RequestNumber number) {
  const auto found = active_requests_.find(number);
  const LinkPtr link = found->second.link;
  const StreamNumber stream = found->second.stream;
  link->unwritten_answers.insert_or_assign(stream, number);
  link->connection->queue().FinishStream(stream);
  link->request_numbers.erase(stream);
  active_requests_.erase(found);
}

void LinkServer::OnStreamsWritten(const LinkPtr& link,
                                  const std::vector<StreamNumber>& streams) {
  AnswersWritten written;
  for (const StreamNumber stream : streams) {
    const auto found = link->unwritten_answers.find(stream);
    if (found != link->unwritten_answers.end()) {
      written.answers.push_back({found->second, true});
      link->unwritten_answers.erase(found);
    }
  }
  if (!written.answers.empty()) {
    decisions_.Post(std::move(written));
  }
}

Message LinkServer::MakeProblemMessage(const ActiveRequest& active_request,
                                       const Problem& problem) {
  if (active_request.head_sent) {
    return AnswerAbortedMessage{active_request.stream, problem};
  }
  return ProblemMessage{active_request.stream, problem};
}

void LinkServer::AbortRequest(RequestNumber number,
                              ActiveRequest& active_request, Problem problem) {
  const StreamNumber stream = active_request.stream;
  LinkConnection& connection = *active_request.link->connection;
  if (!connection.SendOnStream(stream,
                               MakeProblemMessage(active_request, problem))) {
    const Problem truncated = WithTruncatedTexts(std::move(problem));
    static_cast<void>(connection.SendOnStream(
        stream, MakeProblemMessage(active_request, truncated)));
  }
  FinishRequest(number);
}

void LinkServer::Handle(SendAnswerHead&& answer) {
  ActiveRequest* active_request = FindActiveRequest(answer.number);
  if (active_request == nullptr) {
    return;
  }
  const bool sent = active_request->link->connection->SendOnStream(
      active_request->stream,
      AnswerHeadMessage{active_request->stream, std::move(answer.head)});
  if (!sent) {
    AbortRequest(answer.number, *active_request, AnswerHeadTooLargeProblem());
    decisions_.Post(RequestAbandoned{answer.number});
    return;
  }
  active_request->head_sent = true;
}

void LinkServer::Handle(SendAnswerBody&& body) {
  ActiveRequest* active_request = FindActiveRequest(body.number);
  if (active_request == nullptr || body.data.empty()) {
    return;
  }
  if (body.last_event_id && !FitsOneFrame(body)) {
    // The parts of a split body need not hold whole events, so they carry no
    // event id.
    body.last_event_id = std::nullopt;
  }
  const std::size_t max_chunk_bytes =
      body.last_event_id ? kMaxEventChunkBytes : kAnswerChunkBytes;
  for (std::size_t offset = 0; offset < body.data.size();
       offset += max_chunk_bytes) {
    AnswerBodyMessage chunk;
    chunk.stream = active_request->stream;
    chunk.sequence = active_request->body_frames++;
    chunk.data = body.data.substr(offset, max_chunk_bytes);
    chunk.last_event_id = body.last_event_id;
    const Bytes size{chunk.data.size()};
    active_request->sent_bytes += size;
    // The message always fits into a frame: `FitsOneFrame` and the chunk size
    // leave room for the other fields.
    static_cast<void>(active_request->link->connection->SendOnStream(
        active_request->stream, std::move(chunk), size));
  }
}

void LinkServer::Handle(const SendAnswerEnd& end) {
  ActiveRequest* active_request = FindActiveRequest(end.number);
  if (active_request == nullptr) {
    return;
  }
  static_cast<void>(active_request->link->connection->SendOnStream(
      active_request->stream,
      AnswerEndMessage{active_request->stream, active_request->sent_bytes,
                       active_request->body_frames}));
  FinishRequest(end.number);
}

void LinkServer::Handle(AbortAnswer&& abort) {
  ActiveRequest* active_request = FindActiveRequest(abort.number);
  if (active_request != nullptr) {
    AbortRequest(abort.number, *active_request, std::move(abort.problem));
  }
}

void LinkServer::Handle(SendProblem&& answer) {
  ActiveRequest* active_request = FindActiveRequest(answer.number);
  if (active_request != nullptr) {
    AbortRequest(answer.number, *active_request, std::move(answer.problem));
  }
}

}  // namespace mimosagauge
