// A connection between two instances, for both roles: TLS handshake, greeting,
// heartbeat, and reading and writing of frames.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_LINKS_CONNECTION_H_
#define MIMOSAGAUGE_IMPL_DUTIES_LINKS_CONNECTION_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/duties/links/queue.h"
#include "mimosagauge/impl/duties/links/transport.h"
#include "mimosagauge/impl/wire/frame.h"
#include "mimosagauge/impl/wire/messages.h"

namespace mimosagauge {

/// \brief Timeouts, intervals and protocol versions of links. Tests use shorter
/// times.
struct LinkTimings {
  /// Time limit for the TCP connection.
  Duration connect_timeout = std::chrono::seconds(2);
  /// Time limit for TLS handshake and greeting together.
  Duration greeting = std::chrono::seconds(3);
  /// After receiving nothing for this long, the dialing side sends a ping; the
  /// accepting side waits half as long again.
  Duration heartbeat = std::chrono::seconds(1);
  /// A connection is closed when nothing was received, or one write has not
  /// finished, for this long.
  Duration silence = std::chrono::seconds(3);
  /// Delay before reconnecting: it starts at `first_backoff` and doubles with
  /// each failure up to `longest_backoff`.
  Duration first_backoff = std::chrono::milliseconds(50);
  Duration longest_backoff = std::chrono::seconds(2);
  std::uint8_t min_version = kMinProtocolVersion;
  std::uint8_t max_version = kMaxProtocolVersion;
};

/// \brief Why a connection was closed.
enum class LinkCloseReason : std::uint8_t {
  kClosedLocally,     ///< This process closed it.
  kConnectionLost,    ///< The other side or the network closed it.
  kSilenceTimeout,    ///< Nothing was received, or a write stalled.
  kGreetingTimeout,   ///< Handshake or greeting exceeded the deadline.
  kNotAuthenticated,  ///< The other side did not prove its identity.
  kNoCommonVersion,   ///< There is no common protocol version.
  kInvalidFrames,     ///< A side reported bytes that violate the protocol.
};

/// \brief A connection. All functions and callbacks are called on the thread of
/// its event loop.
class LinkConnection : public std::enable_shared_from_this<LinkConnection> {
 public:
  /// \brief Callbacks to the owner. `on_closed` is called exactly once, after
  /// all others.
  struct Callbacks {
    std::function<void(const HelloMessage&)> on_open;
    std::function<void(Message&&)> on_message;
    std::function<void(LinkCloseReason, const Error&)> on_closed;
    /// Called with finished streams whose last frame was written; may be empty.
    std::function<void(const std::vector<StreamNumber>&)> on_streams_written{};
  };

  /// \param own_hello The greeting that this side sends.
  /// \param expected_peer The instance that the other side must be; empty to
  /// accept any instance that proves its identity.
  LinkConnection(boost::asio::io_context& io, LinkTransport transport,
                 LinkRole role, const LinkTimings& timings,
                 HelloMessage own_hello,
                 std::optional<InstanceId> expected_peer);

  /// \brief Begins the handshake. Call this once.
  void Start(Callbacks callbacks);

  /// \brief Closes the connection. `on_closed` is called before this returns.
  void Close(LinkCloseReason close_reason, Error error);

  /// \brief Sends a goodbye, and closes the connection when it has been written
  /// or the write has failed.
  void CloseWithGoodbye(GoodbyeReason reason, LinkCloseReason close_reason,
                        Error error);

  /// \brief Queues a message that is sent before all stream messages: one that
  /// belongs to no stream, or a cancel.
  /// \returns Whether the message fits into a frame; otherwise nothing is
  /// queued. Only gossip can be too large.
  bool SendControl(const Message& message);

  /// \brief Queues a message of a stream, behind the earlier ones of the
  /// stream.
  /// \param body_bytes Credit that the message uses.
  /// \returns Whether the message fits into a frame; otherwise nothing is
  /// queued.
  [[nodiscard]] bool SendOnStream(StreamNumber stream, const Message& message,
                                  Bytes body_bytes = {});

  /// \brief Schedules the writing of the queued frames that may be sent now.
  void Flush();

  [[nodiscard]] LinkQueue& queue() noexcept { return queue_; }
  /// \returns The negotiated protocol version, once the connection is open.
  [[nodiscard]] std::uint8_t version() const noexcept { return version_; }
  /// \returns The other instance, once the connection is open; empty before.
  [[nodiscard]] const InstanceId& peer() const noexcept { return peer_; }
  [[nodiscard]] bool is_open() const noexcept { return state_ == State::kOpen; }
  /// \returns Bytes written to the transport, including framing.
  [[nodiscard]] std::uint64_t bytes_written() const noexcept {
    return bytes_written_;
  }
  /// \returns The number of ignored frames whose type is unknown.
  [[nodiscard]] std::uint64_t unknown_frames() const noexcept {
    return unknown_frames_;
  }

 private:
  enum class State : std::uint8_t { kGreeting, kOpen, kClosing, kClosed };
  using Clock = std::chrono::steady_clock;
  static constexpr std::size_t kReadBufferBytes = 32UL * 1024;

  void BeginGreeting();
  void Read();
  void HandleBytes(std::size_t count);
  void HandleFrame(const Frame& frame);
  void HandleMessage(Message&& message);
  void HandleHello(const HelloMessage& hello);
  void ArmGreetingDeadline();
  void ArmHeartbeat();
  void CheckHeartbeat();
  void CloseOnProtocolError(const Error& error);
  void Write();
  void ReportWrittenStreams();

  LinkTransport transport_;
  LinkRole role_;
  LinkTimings timings_;
  HelloMessage own_hello_;
  std::optional<InstanceId> expected_peer_;
  Callbacks callbacks_;
  boost::asio::io_context& io_;
  boost::asio::steady_timer
      timer_;  // Timer of the greeting deadline, then of the heartbeat.
  State state_ = State::kGreeting;
  LinkCloseReason close_reason_ =
      LinkCloseReason::kClosedLocally;  // Valid in `kClosing`.
  Error close_error_;
  bool goodbye_in_write_ = false;  // The write in progress contains a goodbye.
  InstanceId peer_;
  std::uint8_t version_ = kHelloVersion;
  FrameDecoder decoder_;
  LinkQueue queue_;
  std::array<char, kReadBufferBytes> read_buffer_{};
  std::string write_buffer_;  // Bytes of the write in progress; empty when
                              // there is none.
  Clock::time_point last_read_at_;
  Clock::time_point write_started_at_;
  Clock::time_point
      heartbeat_armed_at_;  // When the heartbeat timer was last armed.
  bool flush_scheduled_ = false;
  std::uint64_t next_nonce_ = 0;
  std::uint64_t bytes_written_ = 0;
  std::uint64_t unknown_frames_ = 0;
};

using LinkConnectionPtr = std::shared_ptr<LinkConnection>;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_LINKS_CONNECTION_H_
