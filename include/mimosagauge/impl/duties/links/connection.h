// One connection between two instances, in either role: handshake, greeting,
// heartbeat, reading and writing of frames.

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

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/duties/links/queue.h"
#include "mimosagauge/impl/duties/links/transport.h"
#include "mimosagauge/impl/wire/frame.h"
#include "mimosagauge/impl/wire/messages.h"

namespace mimosagauge {

/// \brief Times and versions of links; tests shorten the times.
struct LinkTimings {
  Duration connect = std::chrono::seconds(2);
  /// TLS handshake and greeting together.
  Duration greeting = std::chrono::seconds(3);
  /// A side that heard nothing this long asks for a sign of life.
  Duration heartbeat = std::chrono::seconds(1);
  /// A connection that brought nothing this long is closed.
  Duration silence = std::chrono::seconds(3);
  /// Pause before connecting again: from the first, doubled to the second.
  Duration first_backoff = std::chrono::milliseconds(50);
  Duration longest_backoff = std::chrono::seconds(2);
  std::uint8_t min_version = kMinProtocolVersion;
  std::uint8_t max_version = kMaxProtocolVersion;
};

/// \brief Why a connection ended.
enum class LinkEnd : std::uint8_t {
  kStopped,        ///< By this process.
  kLost,           ///< The other side or the network ended it.
  kSilent,         ///< Nothing was heard within the deadline.
  kNoGreeting,     ///< The greeting did not come within the deadline.
  kNotProved,      ///< The other side did not prove who it is.
  kNoVersion,      ///< No common protocol version.
  kInvalidFrames,  ///< The bytes do not follow the protocol.
};

/// \brief A connection; all calls and calls back on its io thread.
class LinkConnection : public std::enable_shared_from_this<LinkConnection> {
 public:
  /// \brief What the owner is told. `closed` comes once and last.
  struct Callbacks {
    std::function<void(const HelloMessage&)> open;
    std::function<void(Message&&)> message;
    std::function<void(LinkEnd, const Error&)> closed;
  };

  /// \param own What this side says of itself.
  /// \param expected The instance meant; nothing: any that proves itself.
  LinkConnection(boost::asio::io_context& io, LinkTransport transport,
                 LinkRole role, const LinkTimings& timings, HelloMessage own,
                 std::optional<InstanceId> expected);

  /// \brief Begins the handshake; once.
  void Start(Callbacks callbacks);

  /// \brief Ends the connection; `closed` is called before this returns.
  void Close(LinkEnd why, Error error);

  /// \brief Says goodbye, and closes when that has been written or failed.
  void CloseWith(GoodbyeReason reason, LinkEnd why, Error error);

  /// \brief Queues a message that belongs to no stream, or that a stream
  /// needs at once (cancel).
  /// \returns Whether it fits a frame; all but gossip always do.
  bool SendControl(const Message& message);

  /// \brief Queues a message of a stream, in order.
  /// \param body_bytes Credit that it uses up.
  /// \returns Whether it fits a frame; otherwise nothing was queued.
  [[nodiscard]] bool SendOnStream(StreamNumber stream, const Message& message,
                                  Bytes body_bytes = {});

  /// \brief Writes what may be written now.
  void Flush();

  [[nodiscard]] LinkQueue& queue() noexcept { return queue_; }
  /// \returns The agreed version, once open.
  [[nodiscard]] std::uint8_t version() const noexcept { return version_; }
  /// \returns The other side, once open.
  [[nodiscard]] const InstanceId& peer() const noexcept { return peer_; }
  [[nodiscard]] bool open() const noexcept { return state_ == State::kOpen; }
  /// \returns Bytes written to and read from the socket, framing included.
  [[nodiscard]] std::uint64_t bytes_written() const noexcept {
    return bytes_written_;
  }
  /// \returns Frames of types that this program does not know.
  [[nodiscard]] std::uint64_t unknown_frames() const noexcept {
    return unknown_frames_;
  }

 private:
  enum class State : std::uint8_t { kGreeting, kOpen, kClosing, kClosed };
  using Clock = std::chrono::steady_clock;
  static constexpr std::size_t kReadBufferBytes = 32UL * 1024;

  void Greet();
  void Read();
  void HandleBytes(std::size_t count);
  void HandleFrame(const Frame& frame);
  void HandleMessage(Message&& message);
  void HandleHello(const HelloMessage& hello);
  void ArmGreetingDeadline();
  void ArmHeartbeat();
  void Beat();
  void CloseInvalid(const Error& error);
  void Write();

  LinkTransport transport_;
  LinkRole role_;
  LinkTimings timings_;
  HelloMessage own_;
  std::optional<InstanceId> expected_;
  Callbacks callbacks_;
  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;  // Greeting deadline, then heartbeat.
  State state_ = State::kGreeting;
  LinkEnd closing_why_ = LinkEnd::kStopped;  // While `kClosing`.
  Error closing_error_;
  bool goodbye_taken_ = false;  // The write in progress ends with a goodbye.
  InstanceId peer_;
  std::uint8_t version_ = kHelloVersion;
  FrameDecoder decoder_;
  LinkQueue queue_;
  std::array<char, kReadBufferBytes> read_buffer_{};
  std::string writing_;  // Not empty while a write is in progress.
  Clock::time_point heard_at_;
  Clock::time_point write_began_;
  Clock::time_point beat_at_;  // Last turn of the heartbeat.
  bool flush_scheduled_ = false;
  std::uint64_t next_nonce_ = 0;
  std::uint64_t bytes_written_ = 0;
  std::uint64_t unknown_frames_ = 0;
};

using LinkConnectionPtr = std::shared_ptr<LinkConnection>;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_LINKS_CONNECTION_H_
