// Items come out of a mailbox in the order in which they were posted, also
// when the ring is full.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include "mimosagauge/impl/duties/common/mailbox.h"

namespace mimosagauge {
namespace {

TEST_CASE("a mailbox keeps the order of its items") {
  const std::size_t capacity = GENERATE(1u, 2u, 64u, 4096u);
  const std::size_t count = 2000;
  CAPTURE(capacity);
  boost::asio::io_context producer;
  boost::asio::io_context consumer;
  auto consumer_work = boost::asio::make_work_guard(consumer);
  auto producer_work = boost::asio::make_work_guard(producer);
  Mailbox<std::string> mailbox(producer, consumer, capacity);
  std::vector<std::string> seen;
  mailbox.set_handler([&](std::string&& item) {
    seen.push_back(std::move(item));
    if (seen.size() == count) {
      producer_work.reset();
      consumer_work.reset();
    }
  });
  std::thread consuming([&] { consumer.run(); });
  boost::asio::post(producer, [&] {
    for (std::size_t i = 0; i < count; ++i) {
      mailbox.Post(std::to_string(i));
    }
  });
  producer.run();
  consuming.join();
  REQUIRE(seen.size() == count);
  for (std::size_t i = 0; i < count; ++i) {
    REQUIRE(seen[i] == std::to_string(i));
  }
  CHECK(mailbox.backlog() == 0);
}

}  // namespace
}  // namespace mimosagauge
