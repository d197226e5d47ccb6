// One connection between two instances.

#include "mimosagauge/impl/duties/links/connection.h"

#include <fmt/format.h>

#include <utility>

#include "mimosagauge/impl/wire/codec.h"

namespace mimosagauge {
namespace {

/// A write takes frames until it holds this much.
constexpr Bytes kWriteBatch = Kibibytes(64);
/// Most characters of a goodbye's text.
constexpr std::size_t kMaxReason = 512;

[[nodiscard]] Error NotProved(const InstanceId& said) {
  return Error{ErrorKind::kUnauthenticated,
               fmt::format("the other side says it is '{}' but does not prove "
                           "it, or another instance was meant",
                           said.value()),
               "give each instance a certificate whose subject alternative "
               "name is its instance name, and check the addresses of peers"};
}

[[nodiscard]] Error NoVersion(const HelloMessage& ours,
                              const HelloMessage& theirs) {
  return Error{
      ErrorKind::kUnsupported,
      fmt::format("no common protocol version: this side speaks {} to "
                  "{}, '{}' speaks {} to {}",
                  ours.min_version, ours.max_version, theirs.instance.value(),
                  theirs.min_version, theirs.max_version),
      "upgrade in steps of one release"};
}

[[nodiscard]] Error Silent() {
  return Error{ErrorKind::kTimeout,
               "the other side was not heard of within the deadline",
               "check the network between the instances and whether the other "
               "process is paused"};
}

[[nodiscard]] Error NoGreeting() {
  return Error{ErrorKind::kTimeout, "no greeting came within the deadline",
               "let only instances of this system connect to the peer port"};
}

[[nodiscard]] Error Lost(const boost::system::error_code& error) {
  return Error{ErrorKind::kUnavailable,
               fmt::format("the connection was lost: {}", error.message()),
               "check the other instance and the network"};
}

[[nodiscard]] Error HandshakeFailed(const boost::system::error_code& error) {
  return Error{ErrorKind::kUnauthenticated,
               fmt::format("the TLS handshake failed: {}", error.message()),
               "check that both sides have certificates of the same authority "
               "and that these have not expired"};
}

[[nodiscard]] Error GoodbyeError(const GoodbyeMessage& goodbye) {
  const bool version = goodbye.reason == GoodbyeReason::kVersion;
  return Error{version ? ErrorKind::kUnsupported : ErrorKind::kUnauthenticated,
               fmt::format("the other side refused: {}", goodbye.text),
               version ? "upgrade in steps of one release"
                       : "read the other side's log"};
}

[[nodiscard]] LinkEnd EndFor(GoodbyeReason reason) {
  switch (reason) {
    case GoodbyeReason::kVersion:
      return LinkEnd::kNoVersion;
    case GoodbyeReason::kIdentity:
      return LinkEnd::kNotProved;
    case GoodbyeReason::kLeaving:
    case GoodbyeReason::kProtocol:
      break;
  }
  return LinkEnd::kLost;
}

}  // namespace

LinkConnection::LinkConnection(boost::asio::io_context& io,
                               LinkTransport transport, LinkRole role,
                               const LinkTimings& timings, HelloMessage own,
                               std::optional<InstanceId> expected)
    : transport_(std::move(transport)),
      role_(role),
      timings_(timings),
      own_(std::move(own)),
      expected_(std::move(expected)),
      io_(io),
      timer_(io) {}

void LinkConnection::Start(Callbacks callbacks) {
  callbacks_ = std::move(callbacks);
  ArmGreetingDeadline();
  transport_.AsyncHandshake(
      role_, [self = shared_from_this()](const auto& error) {
        if (self->state_ == State::kClosed) {
          return;
        }
        if (error) {
          self->Close(LinkEnd::kNotProved, HandshakeFailed(error));
          return;
        }
        self->Greet();
      });
}

void LinkConnection::Greet() {
  if (role_ == LinkRole::kDialing) {
    SendControl(own_);
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
          self->Close(LinkEnd::kLost, Lost(error));
          return;
        }
        self->HandleBytes(count);
        if (self->state_ != State::kClosed) {
          self->Read();
        }
      });
}

void LinkConnection::HandleBytes(std::size_t count) {
  heard_at_ = Clock::now();
  if (state_ == State::kClosing) {
    return;
  }
  decoder_.Feed({read_buffer_.data(), count});
  while (state_ == State::kGreeting || state_ == State::kOpen) {
    const auto frame = decoder_.Next();
    if (!frame) {
      CloseInvalid(frame.error());
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
    CloseInvalid(message.error());
    return;
  }
  if (!message.value()) {
    ++unknown_frames_;
    return;
  }
  HandleMessage(std::move(*message.value()));
}

void LinkConnection::HandleMessage(Message&& message) {
  const bool hello = std::holds_alternative<HelloMessage>(message);
  if (state_ == State::kGreeting) {
    if (hello) {
      HandleHello(std::get<HelloMessage>(message));
      return;
    }
    const auto& goodbye = std::get<GoodbyeMessage>(message);
    Close(EndFor(goodbye.reason), GoodbyeError(goodbye));
    return;
  }
  if (hello) {
    CloseInvalid({ErrorKind::kInvalidInput, "a second greeting came",
                  "run the same release on both sides"});
    return;
  }
  if (const auto* ping = std::get_if<PingMessage>(&message)) {
    SendControl(PongMessage{ping->nonce});
    return;
  }
  if (!std::holds_alternative<PongMessage>(message)) {
    callbacks_.message(std::move(message));
  }
}

void LinkConnection::HandleHello(const HelloMessage& hello) {
  const bool meant = !hello.instance.empty() &&
                     hello.instance != own_.instance &&
                     (!expected_ || *expected_ == hello.instance);
  if (!meant || !transport_.ProvedToBe(hello.instance)) {
    CloseWith(GoodbyeReason::kIdentity, LinkEnd::kNotProved,
              NotProved(hello.instance));
    return;
  }
  const auto version = CommonVersion(own_, hello);
  if (!version) {
    CloseWith(GoodbyeReason::kVersion, LinkEnd::kNoVersion,
              NoVersion(own_, hello));
    return;
  }
  if (role_ == LinkRole::kAccepting) {
    SendControl(own_);
  }
  peer_ = hello.instance;
  version_ = *version;
  decoder_.EndGreeting(version_);
  state_ = State::kOpen;
  ArmHeartbeat();
  callbacks_.open(hello);
}

void LinkConnection::ArmGreetingDeadline() {
  timer_.expires_after(timings_.greeting);
  timer_.async_wait([self = shared_from_this()](const auto& error) {
    if (!error && self->state_ != State::kOpen &&
        self->state_ != State::kClosed) {
      self->Close(LinkEnd::kNoGreeting, NoGreeting());
    }
  });
}

void LinkConnection::ArmHeartbeat() {
  beat_at_ = Clock::now();
  timer_.expires_after(timings_.heartbeat / 2);
  timer_.async_wait([self = shared_from_this()](const auto& error) {
    if (!error &&
        (self->state_ == State::kOpen || self->state_ == State::kClosing)) {
      self->Beat();
    }
  });
}

void LinkConnection::Beat() {
  const auto now = Clock::now();
  if (now - beat_at_ > timings_.silence / 2) {
    // This process itself was paused: what was sent meanwhile is still unread.
    heard_at_ = now;
    write_began_ = now;
  }
  const auto unheard = now - heard_at_;
  const bool write_stalled =
      !writing_.empty() && now - write_began_ > timings_.silence;
  if (unheard > timings_.silence || write_stalled) {
    Close(LinkEnd::kSilent, Silent());
    return;
  }
  // The dialing side asks first, so that one ping serves both.
  const auto patience = role_ == LinkRole::kDialing
                            ? timings_.heartbeat
                            : timings_.heartbeat * 3 / 2;
  if (unheard >= patience) {
    SendControl(PingMessage{next_nonce_++});
  }
  ArmHeartbeat();
}

void LinkConnection::CloseInvalid(const Error& error) {
  CloseWith(GoodbyeReason::kProtocol, LinkEnd::kInvalidFrames, error);
}

void LinkConnection::CloseWith(GoodbyeReason reason, LinkEnd why, Error error) {
  if (state_ == State::kClosed || state_ == State::kClosing) {
    return;
  }
  SendControl(GoodbyeMessage{reason, error.message.substr(0, kMaxReason)});
  state_ = State::kClosing;
  closing_why_ = why;
  closing_error_ = std::move(error);
}

void LinkConnection::Close(LinkEnd why, Error error) {
  if (state_ == State::kClosed) {
    return;
  }
  if (state_ == State::kClosing) {
    why = closing_why_;
    error = closing_error_;
  }
  state_ = State::kClosed;
  timer_.cancel();
  transport_.Close();
  callbacks_.closed(why, error);
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
  if (flush_scheduled_ || !writing_.empty() || state_ == State::kClosed) {
    return;
  }
  // Posted, so that frames queued in the same turn share a write.
  flush_scheduled_ = true;
  boost::asio::post(io_, [self = shared_from_this()] {
    self->flush_scheduled_ = false;
    self->Write();
  });
}

void LinkConnection::Write() {
  if (!writing_.empty() || state_ == State::kClosed) {
    return;
  }
  queue_.Take(writing_, kWriteBatch);
  if (writing_.empty()) {
    return;
  }
  // The goodbye is a control frame, so it is in this batch if it was queued.
  goodbye_taken_ = state_ == State::kClosing;
  write_began_ = Clock::now();
  transport_.AsyncWrite(
      boost::asio::buffer(writing_),
      [self = shared_from_this()](const auto& error, std::size_t count) {
        self->bytes_written_ += count;
        self->writing_.clear();
        if (self->state_ == State::kClosed) {
          return;
        }
        if (error) {
          self->Close(LinkEnd::kLost, Lost(error));
          return;
        }
        if (self->goodbye_taken_) {
          self->Close(self->closing_why_, self->closing_error_);
          return;
        }
        self->Write();
      });
}

}  // namespace mimosagauge
