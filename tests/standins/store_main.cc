// Program: a key-value service for demonstrations and process tests.

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <string>

#include "mimosagauge/impl/core/endpoint.h"
#include "tests/support/store_standin.h"

namespace {

int Run(int argc, char** argv) {
  TCLAP::CmdLine command_line("Stand-in for the platform's key-value service.",
                              ' ', "1");
  TCLAP::ValueArg<std::string> listen("", "listen", "Where to listen.", false,
                                      "127.0.0.1:0", "ADDRESS:PORT",
                                      command_line);
  command_line.parse(argc, argv);
  const auto endpoint = mimosagauge::ParseEndpoint(listen.getValue());
  if (!endpoint) {
    fmt::print(stderr, "{}\n", mimosagauge::ToString(endpoint.error()));
    return 2;
  }
  boost::asio::io_context io_context;
  mimosagauge::testing::StoreStandin standin(io_context, endpoint.value());
  boost::asio::signal_set signals(io_context, SIGTERM, SIGINT);
  signals.async_wait([&io_context](const auto&, int) { io_context.stop(); });
  fmt::print("listening {}\n", mimosagauge::ToString(standin.endpoint()));
  std::fflush(stdout);
  io_context.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return 1;
  }
}
