// A request that crashes each worker of a plain service that begins to run it,
// and comes again.

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../stand/gateway.h"
#include "../stand/http.h"
#include "../stand/store.h"

namespace {

using review::Channel;
using review::Now;
using review::Record;

constexpr int kWorkers = 3;
constexpr std::chrono::milliseconds kDown{2000};
constexpr std::chrono::milliseconds kWork{30};
constexpr std::chrono::milliseconds kUntilCrash{20};
constexpr std::chrono::milliseconds kSoundPause{50};
constexpr std::chrono::milliseconds kComesAgainAfter{700};
constexpr double kPlaySeconds = 30;
constexpr double kStableWindowSeconds = 5;
constexpr int kAllowedRetries = 3;
constexpr const char* kDeadlyPath = "/read/order-4711";

// The worker's process. Tells its parent its port and what it runs.
[[noreturn]] void ServeAsWorker(const std::string& id, bool deadly) {
  const review::Server server([&](Channel& channel) {
    while (const auto request = channel.ReadMessage()) {
      const std::string request_id = request->Field("x-mimosagauge-request-id");
      const std::string answer_id =
          request_id.empty()
              ? std::string()
              : "X-Mimosagauge-Request-Id: " + request_id + "\r\n";
      if (request->Field("x-mimosagauge-expect-instance") != id) {
        channel.Write("HTTP/1.1 421 Misdirected Request\r\n" + answer_id +
                      "X-Mimosagauge-Instance: " + id +
                      "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      const bool is_deadly =
          request->first_line.find(kDeadlyPath) != std::string::npos;
      std::printf("%s %s\n", is_deadly ? "deadly" : "sound",
                  request_id.c_str());
      std::fflush(stdout);
      if (is_deadly && deadly) {
        std::this_thread::sleep_for(kUntilCrash);
        _exit(1);
      }
      std::this_thread::sleep_for(kWork);
      channel.Write("HTTP/1.1 200 OK\r\n" + answer_id +
                    "X-Mimosagauge-Stamp: s-" + id +
                    "\r\nContent-Length: 2\r\n\r\nok");
    }
  });
  std::printf("port %d\n", server.port());
  std::fflush(stdout);
  while (true) {
    pause();
  }
}

// What the workers of all boots have told.
struct Tally {
  std::mutex mutex;
  std::map<int, pid_t> processes;  // The running boot of each worker.
  std::vector<double> crashes;
  std::vector<double> deadly_arrivals;
  std::atomic<int> sound = 0;
  std::atomic<bool> stopping = false;
};

// Starts a worker's process again and again, with a new id for each boot.
void Supervise(const char* program, int number, bool deadly,
               review::Store& store, Tally& tally) {
  for (int boot = 1; !tally.stopping; ++boot) {
    const std::string id =
        "i-desk-" + std::to_string(number) + "-" + std::to_string(boot);
    int ends[2] = {-1, -1};
    if (pipe2(ends, O_CLOEXEC) != 0) {
      return;
    }
    const pid_t process = fork();
    if (process == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(ends[1], STDOUT_FILENO);
      execl(program, program, "worker", id.c_str(), deadly ? "1" : "0",
            static_cast<char*>(nullptr));
      _exit(127);
    }
    close(ends[1]);
    {
      const std::lock_guard lock(tally.mutex);
      tally.processes[number] = process;
    }
    std::FILE* told = fdopen(ends[0], "r");
    char line[256];
    while (std::fgets(line, sizeof(line), told) != nullptr) {
      std::string text(line);
      text.pop_back();
      if (text.starts_with("port ")) {
        store.Put("servers/" + id, R"({"service":"order-desk","addr":)"
                                   R"("127.0.0.1:)" +
                                       text.substr(5) +
                                       R"(","zone":"nairobi-a","version":"v1",)"
                                       R"("slots":6,"state":"ready",)"
                                       R"("coldLeftMs":0,"seq":1})");
        Record("worker " + id + " is ready");
      } else if (text.starts_with("deadly ")) {
        Record("worker " + id + " begins to run " + text.substr(7));
        const std::lock_guard lock(tally.mutex);
        tally.deadly_arrivals.push_back(Now());
      } else {
        ++tally.sound;
      }
    }
    std::fclose(told);
    waitpid(process, nullptr, 0);
    if (tally.stopping) {
      return;
    }
    Record("worker " + id + " has crashed");
    {
      const std::lock_guard lock(tally.mutex);
      tally.crashes.push_back(Now());
    }
    std::this_thread::sleep_for(kDown);
    store.Remove("servers/" + id);
  }
}

std::string Call(std::uint16_t port, const std::string& path,
                 const std::string& id) {
  const int socket = review::Connect(port, {.receive_timeout = 5});
  if (socket < 0) {
    return "no connection";
  }
  Channel channel(socket);
  channel.Write("GET " + path +
                " HTTP/1.1\r\nHost: desk.example\r\n"
                "X-Mimosagauge-Request-Id: " +
                id + "\r\nX-Mimosagauge-Deadline-Ms: 4000\r\n\r\n");
  const auto answer = channel.ReadMessage();
  return answer ? answer->first_line : "no answer";
}

int Judge(Tally& tally) {
  const std::lock_guard lock(tally.mutex);
  int late = 0;
  if (tally.crashes.size() >= 3) {
    const double bound_from = tally.crashes[2] + kStableWindowSeconds;
    for (const double arrival : tally.deadly_arrivals) {
      late += arrival > bound_from ? 1 : 0;
    }
    Record("the third crash was at " + std::to_string(tally.crashes[2]));
  }
  Record("crashes: " + std::to_string(tally.crashes.size()) +
         ", sound requests run: " + std::to_string(tally.sound) +
         ", retries of the deadly request that reached workers later than the "
         "stable window after its third crash: " +
         std::to_string(late) + " (allowed " + std::to_string(kAllowedRetries) +
         ")");
  if (tally.sound == 0) {
    return 2;
  }
  return late > kAllowedRetries ? 1 : 0;
}

int Run(const char* program, const std::string& folder, bool trouble) {
  // Their threads run until the process ends.
  static review::Store store;
  static Tally tally;
  store.Put("op/config", R"({"version":1,"routes":[{"name":"r-read",
    "host":"desk.example","prefix":"/read/","kind":"idempotent",
    "timeoutMs":2000,"sloMs":400,"priority":2,"service":"order-desk",
    "attempts":2}],"services":[{"name":"order-desk","healthPath":"/healthz",
    "maxConns":96,"coldS":0,"coldPerS":0}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
    "headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
  std::vector<std::thread> supervisors;
  for (int i = 1; i <= kWorkers; ++i) {
    supervisors.emplace_back(
        [=] { Supervise(program, i, trouble, store, tally); });
  }
  review::Gateway gateway({"front-1", "nairobi-a", store.port(), folder});
  if (!gateway.WaitReady(10)) {
    Record("the gateway isn't ready");
    return 2;
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const double end = Now() + kPlaySeconds;
  std::thread sound([&] {
    for (int i = 0; Now() < end; ++i) {
      Call(gateway.front(), "/read/sound-" + std::to_string(i),
           "sound" + std::to_string(i));
      std::this_thread::sleep_for(kSoundPause);
    }
  });
  for (int i = 0; Now() < end; ++i) {
    const std::string id = "deadly" + std::to_string(i);
    Record("caller sends " + id);
    Record("caller of " + id + " gets " +
           Call(gateway.front(), kDeadlyPath, id));
    std::this_thread::sleep_for(kComesAgainAfter);
  }
  sound.join();
  tally.stopping = true;
  {
    const std::lock_guard lock(tally.mutex);
    for (const auto& [worker, process] : tally.processes) {
      kill(process, SIGKILL);
    }
  }
  for (std::thread& supervisor : supervisors) {
    supervisor.join();
  }
  return Judge(tally);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) {
    return 2;
  }
  if (std::string(argv[1]) == "worker") {
    ServeAsWorker(argv[2], std::string(argv[3]) == "1");
  }
  review::OpenRecord(argv[1]);
  const char* trouble = std::getenv("TROUBLE");
  const int result =
      Run(argv[0], argv[2], trouble == nullptr || std::string(trouble) != "0");
  std::_Exit(result);
}
