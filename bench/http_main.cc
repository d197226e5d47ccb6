// Cost of the two HTTP duties with a trivial relay between them, against the
// same requests sent straight to the upstream: requests per second, latency at
// a fixed rate, and memory for each open stream.
//
// Start the stand-ins first:
//   build/release/tests/plain_service --listen 127.0.0.1:7001
//   build/release/tests/engine --listen 127.0.0.1:7002 --tokens 1000
//     --token-interval 1000 --concurrency 10000
//   build/release/bench/http --plain 127.0.0.1:7001 --engine 127.0.0.1:7002

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <exception>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../tests/support/pass_through.h"

namespace mimosagauge::bench {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;
using Microseconds = std::chrono::duration<double, std::micro>;

constexpr std::size_t kClients = 16;
constexpr std::chrono::seconds kClosedLoopTime{4};
constexpr std::size_t kRate = 1000;  // Requests per second, all clients.
constexpr std::chrono::seconds kPacedTime{8};
constexpr std::size_t kStreams = 1000;
constexpr std::size_t kPageBytes = 4096;

struct Latencies {
  std::vector<double> microseconds;
  Clock::duration elapsed{};
};

// A connection that sends the same request again and again.
class Client {
 public:
  Client(asio::io_context& io, const Endpoint& server, std::string request)
      : socket_(io), request_(std::move(request)) {
    socket_.connect({asio::ip::make_address(server.address), server.port});
    socket_.set_option(asio::ip::tcp::no_delay(true));
  }

  void Exchange() {
    asio::write(socket_, asio::buffer(request_));
    http::response<http::string_body> answer;
    http::read(socket_, buffer_, answer);
    if (answer.result() != http::status::ok) {
      throw std::runtime_error("an answer was not 200");
    }
  }

  // Sends the request and reads up to the first event.
  void OpenStream() {
    asio::write(socket_, asio::buffer(request_));
    asio::read_until(socket_, asio::dynamic_buffer(text_), "data: ");
  }

 private:
  asio::ip::tcp::socket socket_;
  std::string request_;
  std::string text_;
  boost::beast::flat_buffer buffer_;
};

[[nodiscard]] std::string Lookup(const std::string& prefix) {
  return "GET " + prefix +
         "/stock/net HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "
         "secret\r\n\r\n";
}

[[nodiscard]] std::string Stream() {
  const std::string body = R"({"model":"m","stream":true,"messages":[]})";
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: "
         "Bearer secret\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// All clients at once, each waiting `pause` from send to send.
[[nodiscard]] Latencies Load(const Endpoint& server, const std::string& request,
                             Clock::duration pause, Clock::duration length) {
  std::vector<std::vector<double>> parts(kClients);
  std::vector<std::thread> threads;
  const auto start = Clock::now();
  for (std::size_t i = 0; i < kClients; ++i) {
    threads.emplace_back([&, i] {
      asio::io_context io;
      Client client(io, server, request);
      auto next =
          start + pause * static_cast<int>(i) / static_cast<int>(kClients);
      while (Clock::now() - start < length) {
        std::this_thread::sleep_until(next);
        next += pause;
        const auto sent = Clock::now();
        client.Exchange();
        parts[i].push_back(Microseconds(Clock::now() - sent).count());
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  Latencies all;
  all.elapsed = Clock::now() - start;
  for (const auto& part : parts) {
    all.microseconds.insert(all.microseconds.end(), part.begin(), part.end());
  }
  std::sort(all.microseconds.begin(), all.microseconds.end());
  return all;
}

[[nodiscard]] double Percentile(const Latencies& all, double share) {
  const auto last = static_cast<double>(all.microseconds.size() - 1);
  return all.microseconds[static_cast<std::size_t>(share * last)];
}

void Print(const char* name, const Latencies& all) {
  constexpr double kMedian = 0.5;
  constexpr double kTail = 0.99;
  const double seconds = std::chrono::duration<double>(all.elapsed).count();
  fmt::print("{:<28} {:>9.0f} requests/s  p50 {:>7.0f} us  p99 {:>7.0f} us\n",
             name, static_cast<double>(all.microseconds.size()) / seconds,
             Percentile(all, kMedian), Percentile(all, kTail));
}

[[nodiscard]] std::size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t size = 0;
  std::size_t resident = 0;
  file >> size >> resident;
  return resident * kPageBytes;
}

void MeasureStreams(const Endpoint& gateway) {
  asio::io_context io;
  std::vector<std::unique_ptr<Client>> clients;
  // The clients are of this process too, and count.
  const std::size_t before = ResidentBytes();
  for (std::size_t i = 0; i < kStreams; ++i) {
    clients.push_back(std::make_unique<Client>(io, gateway, Stream()));
    clients.back()->OpenStream();
  }
  const std::size_t after = ResidentBytes();
  fmt::print("{} open streams: {} KiB resident for each\n", kStreams,
             (after - before) / kStreams / 1024);
}

[[nodiscard]] Settings MakeSettings(const Endpoint& plain,
                                    const Endpoint& engine) {
  Settings settings;
  settings.region = RegionId{"nairobi-a"};
  settings.entry = {"127.0.0.1", 0};
  settings.accounts = {{AccountId{"club"}, "secret", RegionId{}}};
  UpstreamSettings desk;
  desk.id = UpstreamId{"desk-1"};
  desk.service = ServiceId{"order-desk"};
  desk.endpoint = plain;
  UpstreamSettings quote;
  quote.id = UpstreamId{"quote-1"};
  quote.kind = UpstreamKind::kEngine;
  quote.endpoint = engine;
  settings.upstreams = {desk, quote};
  return settings;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Cost of the HTTP duties");
  const TCLAP::ValueArg<std::string> plain("", "plain", "plain service", true,
                                           "", "ENDPOINT", command);
  const TCLAP::ValueArg<std::string> engine("", "engine", "model engine", true,
                                            "", "ENDPOINT", command);
  command.parse(argc, argv);
  const Endpoint desk = ParseEndpoint(plain.getValue()).value();
  const testing::PassThrough relay(
      MakeSettings(desk, ParseEndpoint(engine.getValue()).value()));
  const Endpoint gateway{"127.0.0.1", relay.port()};
  const Clock::duration pause =
      Clock::duration(std::chrono::seconds(kClients)) / kRate;
  const std::string straight = Lookup("");
  const std::string through = Lookup("/order-desk");
  Print("straight, closed loop", Load(desk, straight, {}, kClosedLoopTime));
  Print("through, closed loop", Load(gateway, through, {}, kClosedLoopTime));
  Print("straight, 1000 requests/s", Load(desk, straight, pause, kPacedTime));
  Print("through, 1000 requests/s", Load(gateway, through, pause, kPacedTime));
  MeasureStreams(gateway);
  return 0;
}

}  // namespace
}  // namespace mimosagauge::bench

int main(int argc, char** argv) {
  try {
    return mimosagauge::bench::Main(argc, argv);
  } catch (const std::exception& error) {
    fmt::print(stderr, "http: {}\n", error.what());
    return 1;
  }
}
