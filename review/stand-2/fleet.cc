// Machines that run the deploy file's command, and clients of their streams.

#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

namespace review {
namespace {

constexpr milliseconds kConnectTimeout{1000};
constexpr milliseconds kReadyTimeout{15000};
constexpr std::size_t kMostProcesses = 16;

// The processes to end when this one is told to stop.
std::array<std::atomic<pid_t>, kMostProcesses> g_processes{};

void EndProcesses(int /*signal*/) {
  for (const std::atomic<pid_t>& process : g_processes) {
    if (process > 0) {
      kill(process, SIGKILL);
    }
  }
  constexpr int kNotRun = 2;
  _exit(kNotRun);
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// The words of `run` in the deploy file.
std::vector<std::string> DeployCommand() {
  const std::string deploy = ReadFile("deploy/system.toml");
  const std::string key = "run = \"";
  const std::size_t begin = deploy.find(key) + key.size();
  std::istringstream run(deploy.substr(begin, deploy.find('"', begin) - begin));
  std::vector<std::string> words;
  std::string word;
  while (run >> word) {
    words.push_back(word);
  }
  return words;
}

void ReplaceAll(std::string& text, const std::string& from,
                const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

// Replaces a section of the template, with its marks, by `content(inner)`.
template <typename Content>
void ReplaceSection(std::string& text, const std::string& name,
                    Content&& content) {
  const std::string begin = "{{#" + name + "}}\n";
  const std::string end = "{{/" + name + "}}\n";
  const std::size_t first = text.find(begin);
  const std::size_t last = text.find(end);
  if (first == std::string::npos || last == std::string::npos) {
    return;
  }
  const std::string inner =
      text.substr(first + begin.size(), last - first - begin.size());
  text.replace(first, last + end.size() - first, content(inner));
}

bool IsReady(const Machine& machine) {
  const int fd = ConnectTo(machine.ready, kConnectTimeout);
  if (fd < 0) {
    return false;
  }
  WriteAll(fd, "GET /mimosagauge/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
  Reader reader(fd);
  const auto answer = reader.ReadHead(Clock::now() + kConnectTimeout);
  close(fd);
  return answer && answer->Word(1) == "200";
}

template <typename... Parts>
std::string Text(const Parts&... parts) {
  std::ostringstream text;
  (text << ... << parts);
  return text.str();
}

// An event of a stream: its id, and the worker and version in its data.
struct Event {
  std::string id;
  std::string worker;
  std::string version;
};

// Removes the first whole event from `bytes`.
std::optional<Event> TakeEvent(std::string& bytes) {
  const std::size_t end = bytes.find("\n\n");
  if (end == std::string::npos) {
    return std::nullopt;
  }
  std::istringstream lines(bytes.substr(0, end));
  bytes.erase(0, end + 2);
  Event event;
  std::string line;
  while (std::getline(lines, line)) {
    std::istringstream words(line);
    std::string name;
    words >> name;
    if (name == "id:") {
      words >> event.id;
    } else if (name == "data:") {
      words >> event.worker >> event.version;
    }
  }
  return event;
}

}  // namespace

Fleet::Fleet(const std::string& folder, const std::vector<std::string>& regions,
             Store& store, Record& record)
    : folder_(folder), record_(record), command_(DeployCommand()) {
  const std::set<std::string> all(regions.begin(), regions.end());
  for (std::size_t i = 0; i < regions.size(); ++i) {
    Machine& machine = machines_.emplace_back();
    machine.name = "front-" + regions[i] + "-" + std::to_string(i + 1);
    machine.region = regions[i];
    WriteSettings(machine, store.port(i), all);
  }
}

Fleet::~Fleet() {
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (machines_[i].process > 0) {
      kill(machines_[i].process, SIGKILL);
      waitpid(machines_[i].process, nullptr, 0);
      g_processes.at(i) = 0;
    }
  }
}

void Fleet::WriteSettings(Machine& machine, std::uint16_t store,
                          const std::set<std::string>& regions) {
  machine.front = ports_.Next();
  machine.ready = ports_.Next();
  std::string text = ReadFile("deploy/fleet.yaml");
  ReplaceSection(text, "zones", [&regions](const std::string& inner) {
    std::string zones;
    for (const std::string& region : regions) {
      std::string zone = inner;
      ReplaceAll(zone, "{{@}}", region + "-a");
      ReplaceAll(zone, "{{.}}", region);
      zones += zone;
    }
    return zones;
  });
  for (const char* absent : {"bounds.strictRevoke", "bounds.quotaWindowS"}) {
    ReplaceSection(text, absent, [](const std::string&) { return ""; });
  }
  const auto address = [](std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  const std::map<std::string, std::string> values{
      {"node", machine.name},
      {"region", machine.region},
      {"zone", machine.region + "-a"},
      {"listen.front", address(machine.front)},
      {"listen.ready", address(machine.ready)},
      {"listen.directory", address(ports_.Next())},
      {"ip", "127.0.0.1"},
      {"portRange.0", std::to_string(ports_.Next())},
      {"portRange.1", std::to_string(ports_.Next())},
      {"platform.addr", address(store)},
      {"bounds.configMs", "3000"},
      {"bounds.retryRatio", "0.2"},
      {"bounds.retrySlack", "52"},
      {"limits.memoryMb", "260"}};
  for (const auto& [name, value] : values) {
    ReplaceAll(text, "{{" + name + "}}", value);
  }
  machine.settings = folder_ + "/" + machine.name + ".yaml";
  std::ofstream(machine.settings) << text;
}

bool Fleet::Start() {
  ports_.Release();
  signal(SIGTERM, &EndProcesses);
  signal(SIGINT, &EndProcesses);
  for (Machine& machine : machines_) {
    std::vector<char*> words;
    for (std::string& word : command_) {
      words.push_back(word.data());
    }
    words.push_back(nullptr);
    std::string variable = "MIMOSAGAUGE_SETTINGS=" + machine.settings;
    std::vector<char*> environment{variable.data(), nullptr};
    const std::string log = folder_ + "/" + machine.name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&machine.process, words.front(), &actions, nullptr,
                    words.data(), environment.data()) != 0) {
      machine.process = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    g_processes.at(static_cast<std::size_t>(&machine - machines_.data())) =
        machine.process;
  }
  const auto until = Clock::now() + kReadyTimeout;
  return std::all_of(machines_.begin(), machines_.end(),
                     [&](const Machine& machine) {
                       while (!IsReady(machine)) {
                         if (Clock::now() > until) {
                           return false;
                         }
                         std::this_thread::sleep_for(milliseconds(100));
                       }
                       return true;
                     });
}

void Fleet::Kill(std::size_t machine) {
  record_.Add("machine " + machines_[machine].name + " is killed");
  kill(machines_[machine].process, SIGKILL);
  waitpid(machines_[machine].process, nullptr, 0);
  g_processes.at(machine) = 0;
  machines_[machine].process = -1;
}

Clients::Clients(const Fleet& fleet, Options options, Record& record)
    : fleet_(fleet), options_(std::move(options)), record_(record) {
  sending_ = std::thread([this] { Send(); });
}

Clients::~Clients() { static_cast<void>(Stop()); }

std::vector<StreamResult> Clients::Stop() {
  stopped_ = true;
  if (sending_.joinable()) {
    sending_.join();
  }
  for (std::thread& thread : asking_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
  return results_;
}

void Clients::Send() {
  auto next = Clock::now();
  for (std::uint64_t number = 1; !stopped_; ++number) {
    asking_.emplace_back([this, number] {
      StreamResult result = Ask(number);
      const std::lock_guard lock(mutex_);
      results_.push_back(std::move(result));
    });
    next += options_.interval;
    std::this_thread::sleep_until(next);
  }
}

// Clients pick one of the addresses at random, without those that failed them.
std::size_t Clients::ChooseMachine(const std::set<std::size_t>& failed,
                                   std::minstd_rand& random, bool first) const {
  std::vector<std::size_t> candidates;
  for (const auto* list : {&options_.machines, &options_.further}) {
    for (const std::size_t machine : *list) {
      if (!failed.contains(machine)) {
        candidates.push_back(machine);
      }
    }
    if (first || !candidates.empty()) {
      break;
    }
  }
  if (candidates.empty()) {
    candidates =
        options_.further.empty() ? options_.machines : options_.further;
  }
  return candidates[random() % candidates.size()];
}

StreamResult Clients::Ask(std::uint64_t number) {
  std::minstd_rand random(static_cast<unsigned>(number * 7919 + 1));
  constexpr std::size_t kMostFailures = 8;
  Progress progress;
  progress.result.begun = Clock::now();
  progress.until = progress.result.begun + options_.budget;
  while (progress.attempts <= options_.retries &&
         progress.failed.size() < kMostFailures && !progress.result.complete &&
         Clock::now() < progress.until) {
    const std::size_t machine =
        ChooseMachine(progress.failed, random, progress.attempts == 0);
    if (!Try(number, machine, progress)) {
      progress.failed.insert(machine);
    }
  }
  return progress.result;
}

// \returns Whether the stream is complete.
bool Clients::Try(std::uint64_t number, std::size_t machine,
                  Progress& progress) {
  const Machine& target = fleet_.machines()[machine];
  const std::string id =
      Text(options_.name, number, "-", progress.attempts + 1);
  const int fd = ConnectTo(target.front, kConnectTimeout);
  if (fd < 0 || !WriteAll(fd, RequestText(number, id, progress))) {
    record_.Add(Text("client: ", id, " cannot be sent to ", target.name));
    close(fd);
    return false;  // No machine has read it.
  }
  ++progress.attempts;
  const bool taken_up = !progress.last_event.empty();
  if (taken_up && !std::exchange(progress.result.taken_up, true)) {
    progress.result.taken_up_at = Clock::now();
  }
  record_.Add(taken_up ? Text("client: ", id, " is sent to ", target.name,
                              ", resumes ", progress.first_request,
                              " after event ", progress.last_event)
                       : Text("client: ", id, " is sent to ", target.name));
  Reader reader(fd);
  const auto head = reader.ReadHead(progress.until);
  const std::string status = head ? head->Word(1) : "no answer";
  if (status == "200") {
    ReadStream(reader, id, progress);
    if (!progress.result.complete) {
      record_.Add(Text("client: ", id, " breaks off after event ",
                       progress.last_event));
    }
  } else {
    record_.Add(Text("client: ", id, " gets ", status));
  }
  close(fd);
  if (status != "200") {
    Pause(head ? head->Field("retry-after") : "", progress);
  }
  return progress.result.complete;
}

std::string Clients::RequestText(std::uint64_t number, const std::string& id,
                                 const Progress& progress) const {
  const auto left =
      std::chrono::duration_cast<milliseconds>(progress.until - Clock::now());
  const std::string resumption =
      progress.last_event.empty()
          ? ""
          : Text("Last-Event-Id: ", progress.last_event,
                 "\r\nResumes: ", progress.first_request, "\r\n");
  return Text("POST /ask/", options_.events, "/", options_.gap.count(), "/",
              number,
              " HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 2\r\n"
              "X-Mimosagauge-Request-Id: ",
              id, "\r\nX-Mimosagauge-Deadline-Ms: ", left.count(), "\r\n",
              resumption, "\r\n{}");
}

void Clients::ReadStream(Reader& reader, const std::string& id,
                         Progress& progress) {
  StreamResult& result = progress.result;
  std::string bytes;
  while (const auto chunk = reader.ReadChunk(progress.until)) {
    if (chunk->empty()) {
      result.complete = progress.last_event == Text(options_.events);
      return;
    }
    bytes += *chunk;
    while (const auto event = TakeEvent(bytes)) {
      if (progress.first_request.empty()) {
        progress.first_request = id;
        result.has_begun = progress.attempts == 1;
      }
      result.went_on = result.went_on || result.taken_up;
      progress.last_event = event->id;
      if (result.workers.empty() || result.workers.back() != event->worker) {
        result.workers.push_back(event->worker);
        record_.Add(Text("client: ", id, " gets event ", event->id, " of ",
                         event->worker, ", version ", event->version));
      }
      result.versions.insert(event->version);
    }
  }
}

// Clients honour Retry-After up to one third of the time that they have left.
void Clients::Pause(const std::string& retry_after, const Progress& progress) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(progress.until - Clock::now());
  const auto wanted =
      std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(
          retry_after.empty() ? 0.0 : std::stod(retry_after)));
  std::this_thread::sleep_for(std::min(wanted, left / 3));
}

}  // namespace review
