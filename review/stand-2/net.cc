// Blocking sockets on loopback addresses, and the parts of HTTP/1.1 that the
// stand-ins need.

#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>

namespace review {
namespace {

sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

int RemainingMilliseconds(Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(until - Clock::now());
  return static_cast<int>(std::max<milliseconds::rep>(0, left.count()));
}

}  // namespace

int Listen(std::uint16_t& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = LoopbackAddress(port);
  socklen_t size = sizeof(address);
  constexpr int kBacklog = 512;
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(fd, kBacklog) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    close(fd);
    return -1;
  }
  port = ntohs(address.sin_port);
  return fd;
}

FreePorts::~FreePorts() { Release(); }

std::uint16_t FreePorts::Next() {
  constexpr std::uint16_t kFirst = 12000;
  constexpr std::uint16_t kCount = 18000;
  while (true) {
    std::uniform_int_distribution<std::uint16_t> draw(kFirst,
                                                      kFirst + kCount - 1);
    std::uint16_t port = draw(random_);
    const int fd = Listen(port);
    if (fd >= 0) {
      reserved_.push_back(fd);
      return port;
    }
  }
}

void FreePorts::Release() {
  for (const int fd : reserved_) {
    close(fd);
  }
  reserved_.clear();
}

int ConnectTo(std::uint16_t port, milliseconds timeout) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = LoopbackAddress(port);
  if (fd < 0) {
    return -1;
  }
  static_cast<void>(connect(fd, reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address)));
  pollfd wait{fd, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof(error);
  const bool connected =
      poll(&wait, 1, static_cast<int>(timeout.count())) == 1 &&
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
  if (!connected) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

void ResetAndClose(int fd) {
  const linger no_linger{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
  close(fd);
}

bool WriteAll(int fd, const std::string& text) {
  std::size_t written = 0;
  while (written < text.size()) {
    const ssize_t count =
        send(fd, text.data() + written, text.size() - written, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(count);
  }
  return true;
}

bool WaitReadable(int fd, milliseconds timeout) {
  pollfd wait{fd, POLLIN, 0};
  return poll(&wait, 1, static_cast<int>(timeout.count())) > 0;
}

std::string Message::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

std::string Message::Word(std::size_t position) const {
  std::istringstream words(first_line);
  std::string word;
  for (std::size_t i = 0; i <= position; ++i) {
    word.clear();
    words >> word;
  }
  return word;
}

bool Reader::Fill(Clock::time_point until) {
  if (!WaitReadable(fd_, milliseconds(RemainingMilliseconds(until)))) {
    return false;
  }
  std::array<char, 16384> part{};
  const ssize_t count = recv(fd_, part.data(), part.size(), 0);
  if (count <= 0) {
    return false;
  }
  buffer_.append(part.data(), static_cast<std::size_t>(count));
  return true;
}

std::optional<std::string> Reader::ReadLine(Clock::time_point until) {
  std::size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(until)) {
      return std::nullopt;
    }
    end = buffer_.find("\r\n");
  }
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

std::optional<Message> Reader::ReadHead(Clock::time_point until) {
  Message message;
  auto line = ReadLine(until);
  if (!line) {
    return std::nullopt;
  }
  message.first_line = *line;
  while ((line = ReadLine(until)) && !line->empty()) {
    const std::size_t colon = line->find(':');
    if (colon == std::string::npos) {
      return std::nullopt;
    }
    const std::size_t begin = line->find_first_not_of(' ', colon + 1);
    message.fields[LowerCase(line->substr(0, colon))] =
        begin == std::string::npos ? "" : line->substr(begin);
  }
  return line ? std::optional(std::move(message)) : std::nullopt;
}

std::optional<Message> Reader::ReadMessage(Clock::time_point until) {
  auto message = ReadHead(until);
  if (!message) {
    return std::nullopt;
  }
  const std::string length = message->Field("content-length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (buffer_.size() < size) {
    if (!Fill(until)) {
      return std::nullopt;
    }
  }
  message->body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return message;
}

std::optional<std::string> Reader::ReadChunk(Clock::time_point until) {
  const auto line = ReadLine(until);
  if (!line) {
    return std::nullopt;
  }
  const std::size_t size = std::stoul(*line, nullptr, 16);
  while (buffer_.size() < size + 2) {
    if (!Fill(until)) {
      return std::nullopt;
    }
  }
  std::string chunk = buffer_.substr(0, size);
  buffer_.erase(0, size + 2);
  return chunk;
}

}  // namespace review
