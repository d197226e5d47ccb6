#include "gateway.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>

#include "http.h"

namespace review {
namespace {

constexpr const char* kTemplate = "deploy/settings.yaml";
constexpr const char* kProgram = "target/mimosagauge";

void ReplaceAll(std::string& text, const std::string& from,
                const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

[[nodiscard]] std::string Address(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

void Pause() { std::this_thread::sleep_for(std::chrono::milliseconds(20)); }

}  // namespace

Gateway::Gateway(const GatewayPlace& place)
    : front_(FreePort()), ready_(FreePort()) {
  std::stringstream file;
  file << std::ifstream(kTemplate).rdbuf();
  std::string text = file.str();
  const std::string begin = "{{#zones}}";
  const std::string end = "{{/zones}}";
  const std::size_t section = text.find(begin);
  text.replace(section, text.find(end) + end.size() - section,
               "  - id: \"nairobi-a\"\n    region: \"nairobi\"");
  const std::map<std::string, std::string> values{
      {"{{node}}", place.node},
      {"{{region}}", "nairobi"},
      {"{{zone}}", place.zone},
      {"{{listen.front}}", Address(front_)},
      {"{{listen.ready}}", Address(ready_)},
      {"{{listen.directory}}", Address(FreePort())},
      {"{{ip}}:{{portRange.0}}", Address(FreePort())},
      {"{{ip}}:{{portRange.1}}", Address(FreePort())},
      {"{{platform.addr}}", Address(place.store)},
      {"{{limits.memoryMb}}", "260"},
      {"{{bounds.retryRatio}}", "0.2"},
      {"{{bounds.retrySlack}}", "52"}};
  for (const auto& [name, value] : values) {
    ReplaceAll(text, name, value);
  }
  const std::string settings = place.folder + "/" + place.node + ".yaml";
  std::ofstream(settings) << text;
  const std::string log = place.folder + "/" + place.node + ".log";
  process_ = fork();
  if (process_ == 0) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    setenv("MIMOSAGAUGE_SETTINGS", settings.c_str(), 1);
    execl(kProgram, kProgram, "serve", static_cast<char*>(nullptr));
    _exit(127);
  }
}

Gateway::~Gateway() {
  if (process_ > 0) {
    Signal(SIGKILL);
    waitpid(process_, nullptr, 0);
  }
}

bool Gateway::WaitReady(double seconds) const {
  const double end = Now() + seconds;
  while (Now() < end) {
    const int socket = Connect(ready_, {.receive_timeout = 1});
    if (socket >= 0) {
      Channel channel(socket);
      channel.Write(
          "GET /mimosagauge/readyz HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n");
      const auto answer = channel.ReadMessage();
      if (answer && answer->first_line.find(" 200 ") != std::string::npos) {
        return true;
      }
    }
    Pause();
  }
  return false;
}

void Gateway::Signal(int signal) const {
  if (process_ > 0) {
    kill(process_, signal);
  }
}

bool Gateway::WaitEnd(double seconds) {
  const double end = Now() + seconds;
  while (Now() < end) {
    if (waitpid(process_, nullptr, WNOHANG) == process_) {
      process_ = -1;
      return true;
    }
    Pause();
  }
  return false;
}

}  // namespace review
