// Implementation of a connection between two instances.

#include "mimosagauge/impl/duties/links/connection.h"

#include <fmt/format.h>

#include <utility>

#include "mimosagauge/impl/wire/codec.h"

namespace mimosagauge {
namespace {

/// A write collects frames until it holds at least this many bytes.
constexpr Bytes kWriteBatchBytes = Kibibytes(64);
/// Maximum length of a goodbye's text, in bytes.
constexpr std::size_t kMaxGoodbyeTextBytes = 512;

[[nodiscard]] Error IdentityError(const InstanceId& claimed) {
  return Error{ErrorKind::kUnauthenticated,
               fmt::format("the other side claims to be instance '{}' but its "
                           "certificate does not match, or another instance "
                           "was expected",
                           claimed.value()),
               "give each instance a certificate whose subject alternative "
               "name is its instance name, and check the addresses of peers"};
}

[[nodiscard]] Error NoCommonVersionError(const HelloMessage& ours,
                                         const HelloMessage& theirs) {
  return Error{
      ErrorKind::kUnsupported,
      fmt::format("no common protocol version: this instance supports "
                  "{} to {}, instance '{}' supports {} to {}",
                  ours.min_version, ours.max_version, theirs.instance.value(),
                  theirs.min_version, theirs.max_version),
      "upgrade in steps of one release"};
}

[[nodiscard]] Error SilenceError() {
  return Error{ErrorKind::kTimeout,
               "nothing was received from the other instance within the "
               "silence timeout, or a write to it stalled for as long",
               "check the network between the instances and whether the other "
               "process is paused"};
}

[[nodiscard]] Error GreetingTimeoutError() {
  return Error{ErrorKind::kTimeout,
               "TLS handshake and greeting did not finish within the deadline",
               "let only instances of this system connect to the peer port"};
}

[[nodiscard]] Error ConnectionLostError(
    const boost::system::error_code& error) {
  return Error{ErrorKind::kUnavailable,
               fmt::format("the connection was lost: {}", error.message()),
               "check the other instance and the network"};
}

[[nodiscard]] Error HandshakeError(const boost::system::error_code& error) {
  return Error{ErrorKind::kUnauthenticated,
               fmt::format("the TLS handshake failed: {}", error.message()),
               "check that both instances have certificates signed by the same "
               "authority and that the certificates have not expired"};
}

[[nodiscard]] Error GoodbyeError(const GoodbyeMessage& goodbye) {
  const bool version_mismatch = goodbye.reason == GoodbyeReason::kVersion;
  return Error{
      version_mismatch ? ErrorKind::kUnsupported : ErrorKind::kUnauthenticated,
      fmt::format("the other instance closed the link: {}", goodbye.text),
      version_mismatch ? "upgrade in steps of one release"
                       : "read the other instance's log"};
}

[[nodiscard]] LinkCloseReason CloseReasonFor(GoodbyeReason reason) {
  switch (reason) {
    case GoodbyeReason::kVersion:
      return LinkCloseReason::kNoCommonVersion;
    case GoodbyeReason::kIdentity:
      return LinkCloseReason::kNotAuthenticated;
    case GoodbyeReason::kLeaving:
    case GoodbyeReason::kProtocol:
      break;
  }
  return LinkCloseReason::kConnectionLost;
}

}  // namespace

LinkConnection::LinkConnection(boost::asio::io_context& io,
                               LinkTransport transport, LinkRole role,
                               const LinkTimings& timings,
                               HelloMessage own_hello,
                               std::optional<InstanceId> expected_peer)
    : transport_(std::move(transport)),
      role_(role),
      timings_(timings),
      own_hello_(std::move(own_hello)),
      expected_peer_(std::move(expected_peer)),
      io_(io),
      timer_(io) {}

void LinkConnection::Start(Callbacks callbacks) {
  callbacks_ = std::move(callbacks);
  ArmGreetingDeadline();
  transport_.AsyncHandshake(role_, [self =
                                        shared_from_this()](const auto& error) {
    if (self->state_ == State::kClosed) {
      return;
    }
    if (error) {
      self->Close(LinkCloseReason::kNotAuthenticated, HandshakeError(error));
      return;
    }
    self->BeginGreeting();
  });
}

void LinkConnection::BeginGreeting() {
  if (role_ == LinkRole::kDialing) {
    SendControl(own_hello_);
  }
  Read();
}

void LinkConnection::Read() {
  transport_.AsyncRead(
      boost::asio::buffer(read_buffer_),
      [self = shared_from_this()](const auto& error, std::size_t count) {
        if (self->state_ == State::kClosed) {
          return;
        }
        if (error) {
          self->Close(LinkCloseReason::kConnectionLost,
                      ConnectionLostError(error));
          return;
        }
        self->HandleBytes(count);
        if (self->state_ != State::kClosed) {
          self->Read();
        }
      });
}

void LinkConnection::HandleBytes(std::size_t count) {
  last_read_at_ = Clock::now();
  if (state_ == State::kClosing) {
    return;
  }
  decoder_.Feed({read_buffer_.data(), count});
  while (state_ == State::kGreeting || state_ == State::kOpen) {
    const auto frame = decoder_.Next();
    if (!frame) {
      CloseOnProtocolError(frame.error());
      return;
    }
    if (!frame.value()) {
      return;
    }
    HandleFrame(*frame.value());
  }
}

void LinkConnection::HandleFrame(const Frame& frame) {
  auto message = DecodeMessage(frame);
  if (!message) {
    CloseOnProtocolError(message.error());
    return;
  }
  if (!message.value()) {
    ++unknown_frames_;
    return;
  }
  HandleMessage(std::move(*message.value()));
}

void LinkConnection::HandleMessage(Message&& message) {
  const bool is_hello = std::holds_alternative<HelloMessage>(message);
  if (state_ == State::kGreeting) {
    if (is_hello) {
      HandleHello(std::get<HelloMessage>(message));
      return;
    }
    const auto& goodbye = std::get<GoodbyeMessage>(message);
    Close(CloseReasonFor(goodbye.reason), GoodbyeError(goodbye));
    return;
  }
  if (is_hello) {
    CloseOnProtocolError({ErrorKind::kInvalidInput,
                          "received a second greeting",
                          "run the same release on both sides"});
    return;
  }
  if (const auto* ping = std::get_if<PingMessage>(&message)) {
    SendControl(PongMessage{ping->nonce});
    return;
  }
  if (!std::holds_alternative<PongMessage>(message)) {
    callbacks_.on_message(std::move(message));
  }
}

void LinkConnection::HandleHello(const HelloMessage& hello) {
  const bool is_expected =
      !hello.instance.empty() && hello.instance != own_hello_.instance &&
      (!expected_peer_ || *expected_peer_ == hello.instance);
  if (!is_expected || !transport_.IsAuthenticatedAs(hello.instance)) {
    CloseWithGoodbye(GoodbyeReason::kIdentity,
                     LinkCloseReason::kNotAuthenticated,
                     IdentityError(hello.instance));
    return;
  }
  const auto version = CommonVersion(own_hello_, hello);
  if (!version) {
    CloseWithGoodbye(GoodbyeReason::kVersion, LinkCloseReason::kNoCommonVersion,
                     NoCommonVersionError(own_hello_, hello));
    return;
  }
  if (role_ == LinkRole::kAccepting) {
    SendControl(own_hello_);
  }
  peer_ = hello.instance;
  version_ = *version;
  decoder_.EndGreeting(version_);
  state_ = State::kOpen;
  ArmHeartbeat();
  callbacks_.on_open(hello);
}

void LinkConnection::ArmGreetingDeadline() {
  timer_.expires_after(timings_.greeting);
  timer_.async_wait([self = shared_from_this()](const auto& error) {
    if (!error && self->state_ != State::kOpen &&
        self->state_ != State::kClosed) {
      self->Close(LinkCloseReason::kGreetingTimeout, GreetingTimeoutError());
    }
  });
}

void LinkConnection::ArmHeartbeat() {
  heartbeat_armed_at_ = Clock::now();
  timer_.expires_after(timings_.heartbeat / 2);
  timer_.async_wait([self = shared_from_this()](const auto& error) {
    if (!error &&
        (self->state_ == State::kOpen || self->state_ == State::kClosing)) {
      self->CheckHeartbeat();
    }
  });
}

void LinkConnection::CheckHeartbeat() {
  const auto now = Clock::now();
  if (now - heartbeat_armed_at_ > timings_.silence / 2) {
    // The timer fired late, so this process was paused. Frames that arrived
    // meanwhile are still unread, so the silence deadlines start again.
    last_read_at_ = now;
    write_started_at_ = now;
  }
  const auto since_last_read = now - last_read_at_;
  const bool write_stalled =
      !write_buffer_.empty() && now - write_started_at_ > timings_.silence;
  if (since_last_read > timings_.silence || write_stalled) {
    Close(LinkCloseReason::kSilenceTimeout, SilenceError());
    return;
  }
  // The dialing side pings earlier, so that one ping and its pong serve both
  // sides.
  const auto ping_after = role_ == LinkRole::kDialing
                              ? timings_.heartbeat
                              : timings_.heartbeat * 3 / 2;
  if (since_last_read >= ping_after) {
    SendControl(PingMessage{next_nonce_++});
  }
  ArmHeartbeat();
}

void LinkConnection::CloseOnProtocolError(const Error& error) {
  CloseWithGoodbye(GoodbyeReason::kProtocol, LinkCloseReason::kInvalidFrames,
                   error);
}

void LinkConnection::CloseWithGoodbye(GoodbyeReason reason,
                                      LinkCloseReason close_reason,
                                      Error error) {
  if (state_ == State::kClosed || state_ == State::kClosing) {
    return;
  }
  SendControl(
      GoodbyeMessage{reason, error.message.substr(0, kMaxGoodbyeTextBytes)});
  state_ = State::kClosing;
  close_reason_ = close_reason;
  close_error_ = std::move(error);
}

void LinkConnection::Close(LinkCloseReason close_reason, Error error) {
  if (state_ == State::kClosed) {
    return;
  }
  if (state_ == State::kClosing) {
    close_reason = close_reason_;
    error = close_error_;
  }
  state_ = State::kClosed;
  timer_.cancel();
  transport_.Close();
  callbacks_.on_closed(close_reason, error);
}

bool LinkConnection::SendControl(const Message& message) {
  std::string frame = EncodeMessage(message, version_);
  if (!FitsFrame(frame)) {
    return false;
  }
  queue_.PushControl(std::move(frame));
  Flush();
  return true;
}

bool LinkConnection::SendOnStream(StreamNumber stream, const Message& message,
                                  Bytes body_bytes) {
  std::string frame = EncodeMessage(message, version_);
  if (!FitsFrame(frame)) {
    return false;
  }
  queue_.Push(stream, std::move(frame), body_bytes);
  Flush();
  return true;
}

void LinkConnection::Flush() {
  if (flush_scheduled_ || !write_buffer_.empty() || state_ == State::kClosed) {
    return;
  }
  // The write is posted, so that frames queued by the current handler share one
  // write.
  flush_scheduled_ = true;
  boost::asio::post(io_, [self = shared_from_this()] {
    self->flush_scheduled_ = false;
    self->Write();
  });
}

void LinkConnection::Write() {
  if (!write_buffer_.empty() || state_ == State::kClosed) {
    return;
  }
  queue_.TakeFrames(write_buffer_, kWriteBatchBytes);
  if (write_buffer_.empty()) {
    return;
  }
  // A goodbye is a control frame, and all queued control frames are in this
  // batch.
  goodbye_in_write_ = state_ == State::kClosing;
  write_started_at_ = Clock::now();
  transport_.AsyncWrite(
      boost::asio::buffer(write_buffer_),
      [self = shared_from_this()](const auto& error, std::size_t count) {
        self->bytes_written_ += count;
        self->write_buffer_.clear();
        if (self->state_ == State::kClosed) {
          return;
        }
        if (error) {
          self->Close(LinkCloseReason::kConnectionLost,
                      ConnectionLostError(error));
          return;
        }
        if (self->goodbye_in_write_) {
          self->Close(self->close_reason_, self->close_error_);
          return;
        }
        self->ReportWrittenStreams();
        self->Write();
      });
}

// Frames are taken from the queue only while no write is in progress, so at the
// end of a write all frames taken have been written.
void LinkConnection::ReportWrittenStreams() {
  const std::vector<StreamNumber> finished = queue_.TakeFinishedStreams();
  if (!finished.empty() && callbacks_.on_streams_written) {
    callbacks_.on_streams_written(finished);
  }
}

}  // namespace mimosagauge
