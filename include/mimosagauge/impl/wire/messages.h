// The messages between instances as plain structs.

#ifndef MIMOSAGAUGE_IMPL_WIRE_MESSAGES_H_
#define MIMOSAGAUGE_IMPL_WIRE_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/units.h"
#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

/// One request and its answer on a link; chosen by the side that sends the
/// request and never reused on the same link.
using StreamNumber = StrongNumber<struct StreamNumberTag>;

/// \brief The first message in each direction.
struct HelloMessage {
  std::uint8_t min_version = 0;  ///< Oldest protocol version spoken.
  std::uint8_t max_version = 0;  ///< Newest protocol version spoken.
  InstanceId instance;
  RegionId region;
  ZoneId zone;
};

/// \brief Asks the other side to show that it is alive.
struct PingMessage {
  std::uint64_t nonce = 0;
};

/// \brief Answers a ping with its nonce.
struct PongMessage {
  std::uint64_t nonce = 0;
};

/// \brief Opens a stream with a request.
struct RequestMessage {
  StreamNumber stream;
  RequestHead head;
  Bytes body_size;  ///< Follows in RequestBodyMessages.
  Bytes credit;     ///< Answer bytes that may be sent before more credit.
};

/// \brief Part of a request's body.
struct RequestBodyMessage {
  StreamNumber stream;
  std::uint32_t sequence = 0;  ///< From 0, without gaps.
  std::string data;
};

/// \brief The answer is no longer wanted.
struct CancelMessage {
  StreamNumber stream;
};

/// \brief More bytes of the answer's body may be sent.
struct CreditMessage {
  StreamNumber stream;
  Bytes bytes;
};

/// \brief Status and fields of an answer.
struct AnswerHeadMessage {
  StreamNumber stream;
  AnswerHead head;
};

/// \brief Part of an answer's body.
struct AnswerBodyMessage {
  StreamNumber stream;
  std::uint32_t sequence = 0;  ///< From 0, without gaps.
  std::string data;
  std::optional<std::string> last_event_id;  ///< Since version 2.
};

/// \brief The answer is complete.
struct AnswerEndMessage {
  StreamNumber stream;
  Bytes total;               ///< Of all AnswerBodyMessages.
  std::uint32_t frames = 0;  ///< Count of AnswerBodyMessages.
};

/// \brief The answer broke off after its head.
struct AnswerAbortedMessage {
  StreamNumber stream;
  Problem problem;
};

/// \brief There is a problem in place of an answer.
struct ProblemMessage {
  StreamNumber stream;
  Problem problem;
};

/// \brief Control state of an instance, opaque to the link.
struct GossipMessage {
  std::string data;
};

/// \brief Why a side will take no more requests on a link.
enum class GoodbyeReason : std::uint8_t {
  kLeaving = 0,   ///< It finishes what it has and then stops.
  kVersion = 1,   ///< No common protocol version.
  kIdentity = 2,  ///< The other side is not who it says, or not the one meant.
  kProtocol = 3,  ///< The other side broke the protocol.
};

/// \brief No more requests are taken on this link.
struct GoodbyeMessage {
  GoodbyeReason reason = GoodbyeReason::kLeaving;
  std::string text;
};

using Message =
    std::variant<HelloMessage, PingMessage, PongMessage, RequestMessage,
                 RequestBodyMessage, CancelMessage, CreditMessage,
                 AnswerHeadMessage, AnswerBodyMessage, AnswerEndMessage,
                 AnswerAbortedMessage, ProblemMessage, GossipMessage,
                 GoodbyeMessage>;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_WIRE_MESSAGES_H_
