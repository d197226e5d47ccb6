// The stand-in's thread.

#include "tests/support/running_store.h"

#include <boost/asio/post.hpp>

namespace mimosagauge::testing {

RunningStore::RunningStore(std::uint16_t port)
    : standin_(std::make_unique<StoreStandin>(io_context_,
                                              Endpoint{"127.0.0.1", port})),
      endpoint_(standin_->endpoint()),
      thread_([this] { io_context_.run(); }) {}

RunningStore::~RunningStore() {
  io_context_.stop();
  thread_.join();
}

void RunningStore::SetFaults(const nlohmann::json& faults) {
  OnThread([this, &faults] { standin_->SetFaults(faults); });
}

std::uint64_t RunningStore::Count(const std::string& name) {
  return OnThread([this, &name] {
    return standin_->Counts().value(name, std::uint64_t{0});
  });
}

nlohmann::json RunningStore::Call(const std::string& target,
                                  const nlohmann::json& body) {
  return OnThread([this, &target, &body] {
    return standin_->Answer(target, body.dump()).body;
  });
}

Endpoint UnusedEndpoint() {
  boost::asio::io_context io_context;
  boost::asio::ip::tcp::acceptor acceptor(
      io_context,
      {boost::asio::ip::make_address("127.0.0.1"), std::uint16_t{0}});
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

}  // namespace mimosagauge::testing
