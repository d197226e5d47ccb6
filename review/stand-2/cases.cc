// The cases of the review that are scripts. Exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.

#include <cstdlib>
#include <iostream>
#include <string>

#include "fleet.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

void Sleep(milliseconds time) { std::this_thread::sleep_for(time); }

void WriteManifest(Store& store, milliseconds timeout, int version = 3) {
  const nlohmann::json route{{"name", "r-ask"},
                             {"host", "desk.example"},
                             {"prefix", "/ask/"},
                             {"kind", "stream"},
                             {"canResume", true},
                             {"gapTargetMs", 600},
                             {"timeoutMs", timeout.count()},
                             {"sloMs", 800},
                             {"priority", 1},
                             {"service", "assistant"},
                             {"attempts", 2}};
  const nlohmann::json service{{"name", "assistant"},
                               {"healthPath", "/healthz"},
                               {"maxConns", 400},
                               {"coldS", 0},
                               {"coldPerS", 0}};
  const nlohmann::json limits{{"maxHeaderBytes", 16384},
                              {"maxBodyBytes", 4194304},
                              {"headerTimeoutMs", 3000},
                              {"idleTimeoutMs", 15000}};
  store.Put("op/config", nlohmann::json{{"version", version},
                                        {"routes", {route}},
                                        {"services", {service}},
                                        {"limits", limits}}
                             .dump());
}

// ORDER: more than two streams hold events from workers of two versions.
int JudgeVersions(const std::vector<StreamResult>& results, Record& record) {
  std::size_t begun = 0;
  std::size_t complete = 0;
  std::size_t of_newer = 0;
  std::size_t taken_up = 0;
  std::size_t joined = 0;
  for (const StreamResult& result : results) {
    begun += result.has_begun ? 1 : 0;
    complete += result.complete ? 1 : 0;
    of_newer += result.versions.contains("v2") ? 1 : 0;
    taken_up += result.taken_up ? 1 : 0;
    joined += result.versions.size() > 1 ? 1 : 0;
  }
  record.Add(std::to_string(begun) + " streams began, " +
             std::to_string(complete) + " were complete, " +
             std::to_string(of_newer) + " hold events of version v2, " +
             std::to_string(taken_up) + " were taken up, " +
             std::to_string(joined) + " hold events of both versions (2 may)");
  if (of_newer == 0 || begun == 0) {
    return kNotRun;
  }
  constexpr std::size_t kAllowed = 2;
  return joined > kAllowed ? kBroken : kHeld;
}

// LOST: of 12 or more streams that were taken up, the share that goes on is
// under half of the share of new streams that begin.
int JudgeResumption(const std::vector<StreamResult>& all,
                    const std::vector<StreamResult>& new_streams,
                    Record& record) {
  std::size_t begun = 0;
  std::size_t taken_up = 0;
  std::size_t went_on = 0;
  for (const StreamResult& result : new_streams) {
    begun += result.has_begun ? 1 : 0;
  }
  for (const StreamResult& result : all) {
    taken_up += result.taken_up ? 1 : 0;
    went_on += result.went_on ? 1 : 0;
  }
  record.Add("of " + std::to_string(new_streams.size()) + " new streams " +
             std::to_string(begun) + " began; of " + std::to_string(taken_up) +
             " streams that were taken up " + std::to_string(went_on) +
             " went on");
  if (begun == 0) {
    return kNotRun;
  }
  constexpr std::size_t kFewest = 12;
  const double share_begun =
      static_cast<double>(begun) / static_cast<double>(new_streams.size());
  const bool broken = taken_up >= kFewest &&
                      static_cast<double>(went_on) <
                          share_begun / 2 * static_cast<double>(taken_up);
  return broken ? kBroken : kHeld;
}

// A release ends: the last workers of the old version leave. Streams that they
// began, and that reached the time-out of their route, go on at the new one.
int FinishedRelease(const std::string& folder, Record& record) {
  Store store(3);
  WriteManifest(store, milliseconds(2000));
  Worker first({"i-11", "north-a", "v1"}, store, record);
  Worker second({"i-12", "north-a", "v1"}, store, record);
  Worker third({"i-21", "north-a", "v2"}, store, record);
  Worker fourth({"i-22", "north-a", "v2"}, store, record);
  Fleet fleet(folder, {"north", "north", "north"}, store, record);
  if (!fleet.Start()) {
    return kNotRun;
  }
  Sleep(milliseconds(12000));
  Clients::Options options;
  options.interval = milliseconds(50);
  options.events = 60;
  options.gap = milliseconds(50);
  options.budget = milliseconds(8000);
  options.machines = {0, 1, 2};
  Clients clients(fleet, options, record);
  Sleep(milliseconds(5000));
  if (HasTrouble()) {
    first.Leave();
    Sleep(milliseconds(1000));
    second.Leave();
  }
  Sleep(milliseconds(7000));
  return JudgeVersions(clients.Stop(), record);
}

// A machine does not learn of a new version while the store gives it no
// response. It lets streams of that version go on at workers of another.
int JoinedVersions(const std::string& folder, Record& record) {
  Store store(4);
  WriteManifest(store, milliseconds(5000));
  Worker first({"i-11", "north-a", "v1"}, store, record);
  Worker second({"i-12", "north-a", "v1"}, store, record);
  Worker third({"i-13", "north-a", "v1"}, store, record);
  Fleet fleet(folder, {"north", "north", "north", "north"}, store, record);
  if (!fleet.Start()) {
    return kNotRun;
  }
  Sleep(milliseconds(8000));
  Clients::Options options;
  options.machines = {0, 1, 2, 3};
  options.interval = milliseconds(10);
  Clients clients(fleet, options, record);
  Sleep(milliseconds(3000));
  if (HasTrouble()) {
    record.Add("the store gives " + fleet.machines()[3].name +
               " no response from now on");
    store.SetSilent(3, true);
    Sleep(milliseconds(100));
  }
  Worker newer({"i-21", "north-a", "v2"}, store, record);
  Sleep(milliseconds(1300));
  if (HasTrouble()) {
    newer.Crash();
  }
  Sleep(milliseconds(3000));
  if (HasTrouble()) {
    record.Add("the store answers all machines again");
    store.SetSilent(3, false);
  }
  Sleep(milliseconds(1000));
  return JudgeVersions(clients.Stop(), record);
}

// Lets all workers of a zone crash at the same moment.
void CrashZone(const std::vector<std::unique_ptr<Worker>>& workers,
               const std::string& zone) {
  std::vector<std::thread> crashes;
  for (const auto& worker : workers) {
    if (worker->options().zone == zone) {
      crashes.emplace_back([&worker] { worker->Crash(); });
    }
  }
  for (std::thread& crash : crashes) {
    crash.join();
  }
}

// Streams of a lost region are taken up in another one, where nobody knows
// which version began them.
int LostRegion(const std::string& folder, Record& record) {
  Store store(6);
  WriteManifest(store, milliseconds(10000));
  std::vector<std::unique_ptr<Worker>> workers;
  for (const char* region : {"north", "south"}) {
    const std::string zone = std::string(region) + "-a";
    for (const char* version : {"v1", "v2"}) {
      for (int i = 1; i <= 2; ++i) {
        workers.push_back(std::make_unique<Worker>(
            Worker::Options{"i-" + std::string(region) + "-" + version + "-" +
                                std::to_string(i),
                            zone, version},
            store, record));
      }
    }
  }
  Fleet fleet(folder, {"north", "north", "north", "south", "south", "south"},
              store, record);
  if (!fleet.Start()) {
    return kNotRun;
  }
  Sleep(milliseconds(14000));
  Clients::Options options;
  options.interval = milliseconds(100);
  options.events = 60;
  options.gap = milliseconds(100);
  options.budget = milliseconds(10000);
  options.machines = {0, 1, 2};
  options.further = {3, 4, 5};
  options.name = "north-";
  Clients north(fleet, options, record);
  options.name = "south-";
  std::swap(options.machines, options.further);
  Clients south(fleet, options, record);
  Sleep(milliseconds(5000));
  if (HasTrouble()) {
    record.Add("region north loses power");
    for (const std::size_t machine : {0, 1, 2}) {
      fleet.Kill(machine);
    }
    CrashZone(workers, "north-a");
  }
  Sleep(milliseconds(3000));
  const std::vector<StreamResult> of_north = north.Stop();
  const std::vector<StreamResult> of_south = south.Stop();
  std::vector<StreamResult> all = of_north;
  all.insert(all.end(), of_south.begin(), of_south.end());
  return JudgeResumption(all, of_south, record);
}

// A machine is lost soon after the first worker of a new version has started.
// Nobody else knows which version began its streams.
int LostMachine(const std::string& folder, Record& record) {
  Store store(3);
  WriteManifest(store, milliseconds(10000));
  Worker first({"i-11", "north-a", "v1"}, store, record);
  Worker second({"i-12", "north-a", "v1"}, store, record);
  Worker third({"i-13", "north-a", "v1"}, store, record);
  Fleet fleet(folder, {"north", "north", "north"}, store, record);
  if (!fleet.Start()) {
    return kNotRun;
  }
  Sleep(milliseconds(12000));
  Clients::Options options;
  options.interval = milliseconds(60);
  options.events = 70;
  options.gap = milliseconds(100);
  options.budget = milliseconds(10000);
  options.machines = {0, 1, 2};
  Clients clients(fleet, options, record);
  Sleep(milliseconds(7000));
  Worker newer({"i-21", "north-a", "v2"}, store, record);
  Sleep(milliseconds(1000));
  if (HasTrouble()) {
    fleet.Kill(0);
  }
  Sleep(milliseconds(2000));
  const std::vector<StreamResult> results = clients.Stop();
  return JudgeResumption(results, results, record);
}

// A worker is upgraded in place while the store is down, and the new version
// crashes. Its streams go on at workers of the version that it had before.
int UpgradedInPlace(const std::string& folder, Record& record) {
  Store store(3);
  WriteManifest(store, milliseconds(5000));
  Worker first({"i-11", "north-a", "v1"}, store, record);
  Worker second({"i-12", "north-a", "v1"}, store, record);
  Worker third({"i-13", "north-a", "v1"}, store, record);
  Fleet fleet(folder, {"north", "north", "north"}, store, record);
  if (!fleet.Start()) {
    return kNotRun;
  }
  Sleep(milliseconds(8000));
  Clients::Options options;
  options.machines = {0, 1, 2};
  options.interval = milliseconds(15);
  Clients clients(fleet, options, record);
  Sleep(milliseconds(1000));
  if (HasTrouble()) {
    record.Add("the store is down from now on");
    store.SetDown(true);
  }
  Sleep(milliseconds(500));
  third.RestartAs("v2");
  Sleep(milliseconds(2500));
  if (HasTrouble()) {
    third.Crash();
  }
  Sleep(milliseconds(1500));
  if (HasTrouble()) {
    record.Add("the store answers again");
    store.SetDown(false);
  }
  Sleep(milliseconds(2000));
  return JudgeVersions(clients.Stop(), record);
}

// The operator shortens the time-out of a route while two versions serve.
// Streams that reach it are taken up within their clients' time budget.
int Timeout(const std::string& folder, Record& record) {
  Store store(3);
  WriteManifest(store, milliseconds(10000));
  Worker first({"i-11", "north-a", "v1"}, store, record);
  Worker second({"i-12", "north-a", "v1"}, store, record);
  Worker third({"i-21", "north-a", "v2"}, store, record);
  Worker fourth({"i-22", "north-a", "v2"}, store, record);
  Fleet fleet(folder, {"north", "north", "north"}, store, record);
  if (!fleet.Start()) {
    return kNotRun;
  }
  Sleep(milliseconds(14000));
  if (HasTrouble()) {
    record.Add("the operator shortens the time-out of the route to 2000 ms");
    WriteManifest(store, milliseconds(2000), 7);
  }
  Sleep(milliseconds(4000));
  Clients::Options options;
  options.interval = milliseconds(100);
  options.events = 60;
  options.gap = milliseconds(50);
  options.budget = milliseconds(8000);
  options.machines = {0, 1, 2};
  Clients clients(fleet, options, record);
  Sleep(milliseconds(8000));
  const std::vector<StreamResult> results = clients.Stop();
  return JudgeResumption(results, results, record);
}

int Play(const std::string& name, const std::string& folder, Record& record) {
  if (name == "joined-versions") {
    return JoinedVersions(folder, record);
  }
  if (name == "lost-region") {
    return LostRegion(folder, record);
  }
  if (name == "finished-release") {
    return FinishedRelease(folder, record);
  }
  if (name == "timeout") {
    return Timeout(folder, record);
  }
  if (name == "lost-machine") {
    return LostMachine(folder, record);
  }
  if (name == "upgraded-in-place") {
    return UpgradedInPlace(folder, record);
  }
  return kNotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: cases NAME FOLDER RECORD\n";
    return 2;
  }
  review::Record record(argv[3]);
  const int result = review::Play(argv[1], argv[2], record);
  record.Add(result == 0   ? "the rule held"
             : result == 1 ? "the rule was broken"
                           : "the case could not run");
  return result;
}
