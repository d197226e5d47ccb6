// What one link carries on loopback, beside a plain Asio echo in the same run:
// requests a second, megabytes a second, and bytes a second of an idle link.
//
// usage: link [REQUESTS] [MEBIBYTES] [IDLE_SECONDS]

#include <fmt/format.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "mimosagauge/impl/duties/common/log.h"
#include "mimosagauge/impl/duties/links/duty.h"

namespace mimosagauge {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kInFlight = 64;
constexpr std::size_t kMailboxItems = 4096;
constexpr std::size_t kSmallBody = 256;
constexpr std::size_t kPieceBytes = 64UL * 1024;
constexpr double kMebibyte = 1024.0 * 1024.0;

[[nodiscard]] double SecondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

/// One io context with the thread that runs it.
class Loop {
 public:
  Loop() : work_(asio::make_work_guard(io_)), thread_([this] { io_.run(); }) {}
  ~Loop() {
    work_.reset();
    thread_.join();
  }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  [[nodiscard]] asio::io_context& io() noexcept { return io_; }
  void Call(const std::function<void()>& act) {
    std::promise<void> done;
    asio::post(io_, [&] {
      act();
      done.set_value();
    });
    done.get_future().wait();
  }

 private:
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

/// A link duty; its events are handled on the decisions' loop.
struct Node {
  explicit Node(Settings one)
      : settings(std::move(one)),
        events(link.io(), decisions.io(), kMailboxItems),
        effects(decisions.io(), link.io(), kMailboxItems),
        duty(link.io(), settings, events) {
    effects.set_handler(
        [this](LinkEffect&& effect) { duty.Handle(std::move(effect)); });
  }
  ~Node() {
    link.Call([this] { duty.Stop(); });
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void Start() {
    link.Call([this] {
      const auto started = duty.Start();
      if (!started) {
        fmt::print(stderr, "{}\n", ToString(started.error()));
        std::exit(1);
      }
    });
  }

  Settings settings;
  Loop link;
  Loop decisions;
  Mailbox<Event> events;
  Mailbox<LinkEffect> effects;
  LinkDuty duty;
};

[[nodiscard]] Settings NodeSettings(const char* name) {
  Settings settings;
  settings.instance = InstanceId{name};
  settings.region = RegionId{"region"};
  settings.peer = Endpoint{"127.0.0.1", 0};
  return settings;
}

/// Answers each request with `answer_bytes` bytes.
void Answer(Node& node, const RequestNumber& number, std::size_t answer_bytes) {
  node.effects.Post(SendAnswerHead{number, {200, {}, {}}});
  for (std::size_t sent = 0; sent < answer_bytes; sent += kPieceBytes) {
    const std::size_t size = std::min(kPieceBytes, answer_bytes - sent);
    node.effects.Post(
        SendAnswerBody{number, std::string(size, 'a'), std::nullopt});
  }
  node.effects.Post(SendAnswerEnd{number});
}

struct Pair {
  Pair() : far(NodeSettings("far")), near(NearSettings()) {
    far.events.set_handler([this](Event&& event) {
      if (const auto* request = std::get_if<RequestArrived>(&event)) {
        Answer(far, request->number, answer_bytes);
      }
    });
    far.Start();
    near.settings.peers[0].peer.port = far.duty.port();
    near.events.set_handler([this](Event&& event) { OnNear(event); });
    std::future<void> linked = up.get_future();
    near.Start();
    linked.wait();
  }

  static Settings NearSettings() {
    Settings settings = NodeSettings("near");
    settings.peers.push_back({InstanceId{"far"}, {}, {}, {"127.0.0.1", 0}, {}});
    return settings;
  }

  void OnNear(const Event& event) {
    if (const auto* change = std::get_if<LinkChanged>(&event)) {
      if (change->up) {
        up.set_value();
      }
    } else if (const auto* part = std::get_if<AttemptBodyReceived>(&event)) {
      received += part->data.size();
    } else if (std::holds_alternative<AttemptEnded>(event)) {
      ++ended;
      StartNext();
    } else if (const auto* failed = std::get_if<AttemptFailed>(&event)) {
      fmt::print(stderr, "{}\n", ToString(failed->error));
      std::exit(1);
    }
  }

  void StartNext() {
    if (ended == wanted) {
      done.set_value();
    }
    if (started == wanted) {
      return;
    }
    ++started;
    const Bytes credit{answer_bytes + kPieceBytes};
    near.effects.Post(StartLinkAttempt{AttemptNumber{++attempts},
                                       InstanceId{"far"}, head, body,
                                       std::chrono::seconds(60), credit});
  }

  /// Sends `count` requests, `kInFlight` at once; returns the seconds.
  double Run(std::uint64_t count, std::size_t request_bytes,
             std::size_t bytes_back) {
    wanted = count;
    started = ended = received = 0;
    answer_bytes = bytes_back;
    body = std::make_shared<const std::string>(request_bytes, 'q');
    RequestHead one;
    one.id = RequestId{"0123456789abcdef0123456789abcdef"};
    one.method = "POST";
    one.target = "/orders";
    one.headers = {{"Content-Type", "application/json"}};
    head = std::make_shared<const RequestHead>(std::move(one));
    done = {};
    const auto start = Clock::now();
    near.decisions.Call([this] {
      for (std::size_t i = 0; i < kInFlight && started < wanted; ++i) {
        StartNext();
      }
    });
    done.get_future().wait();
    return SecondsSince(start);
  }

  [[nodiscard]] std::uint64_t WrittenBytes() {
    std::uint64_t bytes = 0;
    near.link.Call([&] { bytes += near.duty.client().bytes_written(); });
    far.link.Call([&] { bytes += far.duty.server().bytes_written(); });
    return bytes;
  }

  Node far;
  Node near;
  std::promise<void> up;
  std::promise<void> done;
  std::size_t answer_bytes = 0;
  std::uint64_t attempts = 0;
  std::uint64_t started = 0;
  std::uint64_t ended = 0;
  std::uint64_t wanted = 0;
  std::uint64_t received = 0;
  RequestHeadPtr head;
  BodyPtr body;
};

/// A plain echo: `in_flight` pieces of `size` bytes circulate on one socket.
double RunEcho(std::uint64_t pieces, std::size_t size, std::size_t in_flight) {
  Loop server_loop;
  Loop client_loop;
  tcp::acceptor acceptor(server_loop.io(),
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  tcp::socket client(client_loop.io());
  client.connect(acceptor.local_endpoint());
  tcp::socket server = acceptor.accept();
  client.set_option(tcp::no_delay(true));
  server.set_option(tcp::no_delay(true));
  std::string server_buffer(size, '\0');
  std::string client_buffer(size, '\0');
  const std::string piece(size, 'q');
  std::uint64_t read = 0;
  std::uint64_t sent = 0;
  std::promise<void> done;
  std::function<void()> serve = [&] {
    asio::async_read(server, asio::buffer(server_buffer),
                     [&](const auto& error, std::size_t) {
                       if (error) {
                         return;
                       }
                       asio::async_write(server, asio::buffer(server_buffer),
                                         [&](const auto& failed, std::size_t) {
                                           if (!failed) {
                                             serve();
                                           }
                                         });
                     });
  };
  bool writing = false;
  std::function<void()> send = [&] {
    if (writing || sent == pieces || sent - read >= in_flight) {
      return;
    }
    writing = true;
    asio::async_write(client, asio::buffer(piece),
                      [&](const auto&, std::size_t) {
                        writing = false;
                        ++sent;
                        send();
                      });
  };
  std::function<void()> receive = [&] {
    asio::async_read(client, asio::buffer(client_buffer),
                     [&](const auto& error, std::size_t) {
                       if (error) {
                         return;
                       }
                       if (++read == pieces) {
                         done.set_value();
                         return;
                       }
                       send();
                       receive();
                     });
  };
  const auto start = Clock::now();
  server_loop.Call(serve);
  client_loop.Call([&] {
    receive();
    send();
  });
  done.get_future().wait();
  const double seconds = SecondsSince(start);
  client_loop.Call([&] { client.close(); });
  server_loop.Call([] {});
  return seconds;
}

void Measure(std::uint64_t requests, std::uint64_t mebibytes,
             std::uint64_t idle_seconds) {
  Pair pair;
  const double small = pair.Run(requests, kSmallBody, kSmallBody);
  const double echo_small = RunEcho(requests, kSmallBody, kInFlight);
  fmt::print("requests/s: link {:.0f}, echo {:.0f}, ratio {:.2f}\n",
             static_cast<double>(requests) / small,
             static_cast<double>(requests) / echo_small, echo_small / small);

  const std::uint64_t total = mebibytes * 1024 * 1024;
  const std::uint64_t pieces = total / kPieceBytes;
  const double large = pair.Run(pieces, 0, kPieceBytes);
  const double echo_large = RunEcho(pieces, kPieceBytes, kInFlight);
  const double size = static_cast<double>(total) / kMebibyte;
  fmt::print("answer MiB/s: link {:.0f}, echo {:.0f}, ratio {:.2f}\n",
             size / large, size / echo_large, echo_large / large);

  const std::uint64_t before = pair.WrittenBytes();
  const auto start = Clock::now();
  std::this_thread::sleep_for(std::chrono::seconds(idle_seconds));
  const double idle = SecondsSince(start);
  fmt::print("idle link: {:.1f} bytes/s of frames in both directions\n",
             static_cast<double>(pair.WrittenBytes() - before) / idle);
}

}  // namespace
}  // namespace mimosagauge

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  const auto number = [&](std::size_t at, std::uint64_t otherwise) {
    return at < words.size() ? std::stoull(words[at]) : otherwise;
  };
  mimosagauge::StartLog("error");
  mimosagauge::Measure(number(0, 100000), number(1, 1024), number(2, 10));
  mimosagauge::StopLog();
  return 0;
}
