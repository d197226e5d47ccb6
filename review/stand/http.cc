#include "http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <mutex>

namespace review {
namespace {

[[nodiscard]] sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Listens at `port`, or at any port if that is zero. Returns -1 if it is taken.
[[nodiscard]] int Listen(std::uint16_t& port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(port);
  socklen_t size = sizeof(address);
  if (bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(socket);
    return -1;
  }
  listen(socket, 512);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return socket;
}

[[nodiscard]] std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::FILE* record_file = nullptr;
std::mutex record_mutex;

}  // namespace

std::string HttpMessage::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

Channel::~Channel() { close(socket_); }

std::int64_t Channel::ReadSome(std::size_t size) {
  std::string part(size, '\0');
  const std::int64_t count = recv(socket_, part.data(), size, 0);
  if (count > 0) {
    buffer_.append(part, 0, static_cast<std::size_t>(count));
  }
  return count;
}

std::optional<HttpMessage> Channel::ReadHead() {
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (ReadSome() <= 0) {
      return std::nullopt;
    }
  }
  HttpMessage message;
  std::size_t start = 0;
  while (start < end) {
    const std::size_t line_end = std::min(buffer_.find("\r\n", start), end);
    const std::string line = buffer_.substr(start, line_end - start);
    const std::size_t colon = line.find(':');
    if (start == 0) {
      message.first_line = line;
    } else if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.fields[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    start = line_end + 2;
  }
  buffer_.erase(0, end + 4);
  return message;
}

std::optional<HttpMessage> Channel::ReadMessage() {
  auto message = ReadHead();
  if (!message) {
    return std::nullopt;
  }
  const std::string length = message->Field("content-length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (buffer_.size() < size) {
    if (ReadSome() <= 0) {
      return std::nullopt;
    }
  }
  message->body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return message;
}

bool Channel::Write(const std::string& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const std::int64_t count = send(socket_, bytes.data() + written,
                                    bytes.size() - written, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(count);
  }
  return true;
}

std::uint16_t FreePort() {
  // Below the ports that the kernel gives to outgoing connections.
  constexpr int kFirst = 12000;
  constexpr int kCount = 18000;
  static int next = static_cast<int>(getpid()) * 61 % kCount;
  while (true) {
    auto port = static_cast<std::uint16_t>(kFirst + next++ % kCount);
    const int socket = Listen(port);
    if (socket >= 0) {
      close(socket);
      return port;
    }
  }
}

int Connect(std::uint16_t port, const ConnectOptions& options) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (options.receive_buffer > 0) {
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer,
               sizeof(options.receive_buffer));
  }
  if (options.segment > 0) {
    setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &options.segment,
               sizeof(options.segment));
  }
  if (options.receive_timeout > 0) {
    const timeval timeout{options.receive_timeout, 0};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  }
  sockaddr_in address = Loopback(port);
  if (connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(socket);
    return -1;
  }
  return socket;
}

Server::Server(Handler handler) : handler_(std::move(handler)) {
  listener_ = Listen(port_);
  std::thread([this] {
    while (true) {
      const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, socket] {
        Channel channel(socket);
        handler_(channel);
      }).detach();
    }
  }).detach();
}

double Now() {
  static const auto kStart = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       kStart)
      .count();
}

void OpenRecord(const std::string& file) {
  record_file = std::fopen(file.c_str(), "we");
}

void Record(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  if (record_file != nullptr) {
    std::fprintf(record_file, "%8.3f %s\n", Now(), line.c_str());
    std::fflush(record_file);
  }
}

}  // namespace review
