// Stand-in for a plain service such as order-desk: bookings that must land
// once, stock lookups that may be repeated, and an echo for the rest.

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <exception>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tests/support/standin_record.h"
#include "tests/support/standin_server.h"

namespace mimosagauge::testing {
namespace {

using nlohmann::json;

constexpr std::string_view kStockPath = "/stock/";

class PlainService {
 public:
  PlainService(boost::asio::io_context& io, const Endpoint& listen,
               std::string name)
      : io_(io),
        name_(std::move(name)),
        server_(io, listen,
                [this](const StandinRequest& request,
                       const StandinConnectionPtr& connection) {
                  Handle(request, connection);
                }) {}

  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

 private:
  void Handle(const StandinRequest& request,
              const StandinConnectionPtr& connection) {
    if (record_.HandleControl(request, *connection, server_)) {
      return;
    }
    const StandinFaults faults = record_.TakeFaults();
    if (faults.refuse) {
      connection->Whole(503, "text/plain", "refused\n",
                        "Mimosagauge-Not-Run: true\r\n");
      return;
    }
    const StandinEntryPtr entry = record_.Add(request);
    connection->set_on_gone([entry] { entry->gone = !entry->completed; });
    // What the request does takes effect here; the answer follows.
    const auto [status, body] = Run(request);
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(faults.delay_ms));
    timer->async_wait([timer, faults, entry, connection, status = status,
                       body = body](const boost::system::error_code&) {
      Answer(*connection, faults, status, body);
      entry->completed = !entry->gone;
    });
  }

  static void Answer(StandinConnection& connection, const StandinFaults& faults,
                     unsigned status, const std::string& body) {
    if (faults.silent) {
      return;
    }
    if (faults.close_after_events) {
      connection.Close();
    } else if (faults.reset_after_events) {
      connection.Reset();
    } else if (faults.fail) {
      connection.Whole(500, "text/plain", "failed\n");
    } else {
      connection.Whole(status, "application/json", body);
    }
  }

  [[nodiscard]] std::pair<unsigned, std::string> Run(
      const StandinRequest& request) {
    const std::string target(request.target());
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/bookings" && request.method_string() == "POST") {
      bookings_.push_back(request.body());
      return {201, json{{"booking", bookings_.size()}, {"by", name_}}.dump()};
    }
    if (path == "/bookings") {
      return {200, json{{"bookings", bookings_}}.dump()};
    }
    if (path.rfind(kStockPath, 0) == 0) {
      return {200, json{{"item", path.substr(kStockPath.size())},
                        {"quantity", 12},
                        {"by", name_}}
                       .dump()};
    }
    return {200, json{{"method", request.method_string().to_string()},
                      {"target", target},
                      {"body_bytes", request.body().size()},
                      {"by", name_}}
                     .dump()};
  }

  boost::asio::io_context& io_;
  std::string name_;
  StandinRecord record_;
  std::vector<std::string> bookings_;
  StandinServer server_;
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Stand-in for a plain service");
  const TCLAP::ValueArg<std::string> listen("", "listen", "address and port",
                                            false, "127.0.0.1:0", "ENDPOINT",
                                            command);
  const TCLAP::ValueArg<std::string> name("", "name", "name in its answers",
                                          false, "plain", "NAME", command);
  command.parse(argc, argv);
  boost::asio::io_context io;
  PlainService service(io, ParseEndpoint(listen.getValue()).value(),
                       name.getValue());
  fmt::print("listening 127.0.0.1:{}\n", service.port());
  std::fflush(stdout);
  io.run();
  return 0;
}

}  // namespace
}  // namespace mimosagauge::testing

int main(int argc, char** argv) {
  try {
    return mimosagauge::testing::Main(argc, argv);
  } catch (const std::exception& error) {
    fmt::print(stderr, "plain_service: {}\n", error.what());
    return 1;
  }
}
