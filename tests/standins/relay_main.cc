// The loopback relay as a program: `relay TARGET_PORT` prints `port N`, then
// carries out each line of its standard input (tests/support/relay.h) and
// prints one line for it. It ends with its input.

#include <charconv>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <string>

#include "tests/support/relay.h"

int main(int argc, char** argv) {
  const std::string word = argc == 2 ? argv[1] : "";
  std::uint16_t target = 0;
  const auto parsed =
      std::from_chars(word.data(), word.data() + word.size(), target);
  if (word.empty() || parsed.ec != std::errc{}) {
    std::cerr << "usage: relay TARGET_PORT\n";
    return 2;
  }
  mimosagauge::testing::Relay relay(target);
  std::cout << "port " << relay.port() << std::endl;
  std::string line;
  while (std::getline(std::cin, line)) {
    const auto reply = relay.Command(line);
    std::cout << (reply ? reply.value() : "error " + ToString(reply.error()))
              << std::endl;
  }
  return 0;
}
