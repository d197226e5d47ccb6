// A loopback TCP relay that cuts, delays or silences what passes through it.

#include "tests/support/relay.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <future>
#include <sstream>
#include <utility>
#include <vector>

namespace mimosagauge::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kReadBytes = 16UL * 1024;
/// A direction that has this much to deliver reads no more.
constexpr std::size_t kMaxUndelivered = 4UL * 1024 * 1024;

/// The settings of one direction.
struct Rule {
  RelayMode mode = RelayMode::kPass;
  std::chrono::milliseconds delay{0};
};

[[nodiscard]] std::size_t Index(RelayDirection direction) {
  return static_cast<std::size_t>(direction);
}

}  // namespace

/// One direction of one connection.
struct Relay::Direction {
  struct Piece {
    Clock::time_point due;
    std::string data;
  };
  explicit Direction(asio::io_context& io) : timer(io) {}

  tcp::socket* from = nullptr;
  tcp::socket* to = nullptr;
  Rule rule;
  std::array<char, kReadBytes> buffer{};
  std::deque<Piece> pieces;
  std::size_t undelivered = 0;
  bool reading = false;
  bool delivering = false;
  bool ended = false;  // The sender closed its side.
  asio::steady_timer timer;
};

/// One connection through the relay.
struct Relay::Pipe : std::enable_shared_from_this<Relay::Pipe> {
  Pipe(asio::io_context& io, tcp::socket accepted, State& owner)
      : state(owner),
        near(std::move(accepted)),
        far(io),
        directions{Direction(io), Direction(io)} {
    directions[0].from = &near;
    directions[0].to = &far;
    directions[1].from = &far;
    directions[1].to = &near;
  }

  void Connect(const tcp::endpoint& target);
  void Read(std::size_t index);
  void Deliver(std::size_t index);
  void Apply(std::size_t index, const Rule& rule);
  void Close(bool reset);

  State& state;
  tcp::socket near;
  tcp::socket far;
  std::array<Direction, 2> directions;
  bool open = true;
};

struct Relay::State {
  State(asio::io_context& context, const tcp::endpoint& to)
      : io(context),
        target(to),
        acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}

  void Accept();

  asio::io_context& io;
  tcp::endpoint target;
  tcp::acceptor acceptor;
  std::unordered_set<std::shared_ptr<Pipe>> pipes;
  std::array<Rule, 2> rules;
  std::array<std::uint64_t, 2> bytes{};
  std::uint64_t connections = 0;
  bool refuse = false;
};

void Relay::State::Accept() {
  acceptor.async_accept([this](const auto& error, tcp::socket socket) {
    if (error) {
      return;
    }
    Accept();
    ++connections;
    if (refuse) {
      return;
    }
    const auto pipe = std::make_shared<Pipe>(io, std::move(socket), *this);
    pipes.insert(pipe);
    pipe->Connect(target);
  });
}

void Relay::Pipe::Connect(const tcp::endpoint& target) {
  for (std::size_t i = 0; i < directions.size(); ++i) {
    directions[i].rule = state.rules[i];
  }
  far.async_connect(target, [self = shared_from_this()](const auto& error) {
    if (error || !self->open) {
      self->Close(false);
      return;
    }
    boost::system::error_code ignored;
    self->near.set_option(tcp::no_delay(true), ignored);
    self->far.set_option(tcp::no_delay(true), ignored);
    self->Read(0);
    self->Read(1);
  });
}

void Relay::Pipe::Read(std::size_t index) {
  Direction& direction = directions[index];
  const bool may_read = open && !direction.reading && !direction.ended &&
                        direction.rule.mode != RelayMode::kHold &&
                        direction.undelivered < kMaxUndelivered;
  if (!may_read) {
    return;
  }
  direction.reading = true;
  direction.from->async_read_some(
      asio::buffer(direction.buffer),
      [self = shared_from_this(), index](const auto& error, std::size_t size) {
        Direction& one = self->directions[index];
        one.reading = false;
        if (!self->open) {
          return;
        }
        const bool silent = one.rule.mode == RelayMode::kSilent;
        if (error) {
          one.ended = true;
          // A silenced connection tells the other end nothing.
          if (!silent) {
            self->Deliver(index);
          }
          return;
        }
        self->state.bytes[index] += size;
        if (!silent) {
          one.pieces.push_back(
              {Clock::now() + one.rule.delay, {one.buffer.data(), size}});
          one.undelivered += size;
          self->Deliver(index);
        }
        self->Read(index);
      });
}

void Relay::Pipe::Deliver(std::size_t index) {
  Direction& direction = directions[index];
  if (direction.delivering || !open) {
    return;
  }
  if (direction.pieces.empty()) {
    if (direction.ended) {
      Close(false);
    }
    return;
  }
  direction.delivering = true;
  direction.timer.expires_at(direction.pieces.front().due);
  direction.timer.async_wait(
      [self = shared_from_this(), index](const auto& cancelled) {
        Direction& one = self->directions[index];
        if (cancelled || !self->open) {
          return;
        }
        asio::async_write(*one.to, asio::buffer(one.pieces.front().data),
                          [self, index](const auto& error, std::size_t size) {
                            Direction& written = self->directions[index];
                            if (!self->open) {
                              return;
                            }
                            if (error) {
                              self->Close(false);
                              return;
                            }
                            written.delivering = false;
                            written.undelivered -= size;
                            written.pieces.pop_front();
                            self->Deliver(index);
                            self->Read(index);
                          });
      });
}

void Relay::Pipe::Apply(std::size_t index, const Rule& rule) {
  Direction& direction = directions[index];
  if (direction.rule.mode == RelayMode::kSilent) {
    return;  // For good.
  }
  direction.rule = rule;
  Read(index);
}

void Relay::Pipe::Close(bool reset) {
  if (!open) {
    return;
  }
  open = false;
  for (tcp::socket* socket : {&near, &far}) {
    boost::system::error_code ignored;
    if (reset) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket->close(ignored);
  }
  for (Direction& direction : directions) {
    direction.timer.cancel();
  }
  state.pipes.erase(shared_from_this());
}

Relay::Relay(std::uint16_t target) : Relay(Endpoint{"127.0.0.1", target}) {}

Relay::Relay(const Endpoint& target)
    : work_(asio::make_work_guard(io_)),
      state_(std::make_unique<State>(
          io_,
          tcp::endpoint(asio::ip::make_address(target.address), target.port))),
      port_(state_->acceptor.local_endpoint().port()) {
  state_->Accept();
  thread_ = std::thread([this] { io_.run(); });
}

Relay::~Relay() {
  Cut();
  Run([](State& state) {
    boost::system::error_code ignored;
    state.acceptor.close(ignored);
  });
  work_.reset();
  thread_.join();
}

template <typename Act>
void Relay::Run(Act&& act) {
  std::promise<void> done;
  asio::post(io_, [&] {
    act(*state_);
    done.set_value();
  });
  done.get_future().wait();
}

void Relay::Set(RelayDirection direction, RelayMode mode) {
  Run([&](State& state) {
    Rule& rule = state.rules[Index(direction)];
    rule.mode = mode;
    for (const auto& pipe : state.pipes) {
      pipe->Apply(Index(direction), rule);
    }
  });
}

void Relay::Delay(RelayDirection direction, std::chrono::milliseconds delay) {
  Run([&](State& state) {
    Rule& rule = state.rules[Index(direction)];
    rule.delay = delay;
    for (const auto& pipe : state.pipes) {
      pipe->Apply(Index(direction), rule);
    }
  });
}

void Relay::Cut() {
  Run([](State& state) {
    const std::vector<std::shared_ptr<Pipe>> pipes(state.pipes.begin(),
                                                   state.pipes.end());
    for (const auto& pipe : pipes) {
      pipe->Close(true);
    }
  });
}

void Relay::Refuse(bool refuse) {
  Run([&](State& state) { state.refuse = refuse; });
}

void Relay::Heal() {
  Run([](State& state) {
    state.refuse = false;
    state.rules = {};
    for (const auto& pipe : state.pipes) {
      pipe->Apply(0, Rule{});
      pipe->Apply(1, Rule{});
    }
  });
}

std::uint64_t Relay::bytes_to_target() {
  std::uint64_t bytes = 0;
  Run([&](State& state) { bytes = state.bytes[0]; });
  return bytes;
}

std::uint64_t Relay::bytes_from_target() {
  std::uint64_t bytes = 0;
  Run([&](State& state) { bytes = state.bytes[1]; });
  return bytes;
}

std::uint64_t Relay::connections() {
  std::uint64_t count = 0;
  Run([&](State& state) { count = state.connections; });
  return count;
}

Result<std::string> Relay::Command(const std::string& line) {
  std::istringstream words(line);
  std::string verb;
  std::string where;
  words >> verb >> where;
  const Error unknown{ErrorKind::kInvalidInput,
                      "the line '" + line + "' is not a command of the relay",
                      "write pass, silent, hold, delay, cut, refuse, heal or "
                      "count with its words"};
  if (verb == "cut") {
    Cut();
    return std::string("ok");
  }
  if (verb == "heal") {
    Heal();
    return std::string("ok");
  }
  if (verb == "count") {
    return std::to_string(bytes_to_target()) + " " +
           std::to_string(bytes_from_target()) + " " +
           std::to_string(connections());
  }
  if (verb == "refuse" && (where == "on" || where == "off")) {
    Refuse(where == "on");
    return std::string("ok");
  }
  std::vector<RelayDirection> directions;
  if (where == "to" || where == "both") {
    directions.push_back(RelayDirection::kToTarget);
  }
  if (where == "from" || where == "both") {
    directions.push_back(RelayDirection::kFromTarget);
  }
  std::int64_t milliseconds = 0;
  const bool delay = verb == "delay" && (words >> milliseconds);
  const bool mode = verb == "pass" || verb == "silent" || verb == "hold";
  if (directions.empty() || (!delay && !mode)) {
    return unknown;
  }
  for (const RelayDirection direction : directions) {
    if (delay) {
      Delay(direction, std::chrono::milliseconds(milliseconds));
    } else {
      Set(direction, verb == "pass"     ? RelayMode::kPass
                     : verb == "silent" ? RelayMode::kSilent
                                        : RelayMode::kHold);
    }
  }
  return std::string("ok");
}

}  // namespace mimosagauge::testing
