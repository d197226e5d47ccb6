// Machines that run the deploy file's command, and clients of their streams.

#ifndef REVIEW_STAND_2_FLEET_H_
#define REVIEW_STAND_2_FLEET_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "platform.h"

namespace review {

/// \brief A machine of the system, with one process.
struct Machine {
  std::string name;
  std::string region;
  std::string settings;
  std::uint16_t front = 0;
  std::uint16_t ready = 0;
  pid_t process = -1;
};

/// \brief The machines of a small deployment with one machine class and one
/// zone a region. Their settings are the deploy file's template, filled in.
class Fleet {
 public:
  /// \param regions The region of each machine.
  Fleet(const std::string& folder, const std::vector<std::string>& regions,
        Store& store, Record& record);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// \returns Whether all machines became ready.
  bool Start();
  void Kill(std::size_t machine);
  [[nodiscard]] const std::vector<Machine>& machines() const noexcept {
    return machines_;
  }

 private:
  void WriteSettings(Machine& machine, std::uint16_t store,
                     const std::set<std::string>& regions);

  std::string folder_;
  Record& record_;
  FreePorts ports_;
  std::vector<std::string> command_;
  std::vector<Machine> machines_;
};

/// \brief What became of one stream over all of its client's attempts.
struct StreamResult {
  Clock::time_point begun{};
  bool has_begun = false;  ///< The first request brought an event.
  bool taken_up = false;   ///< The client sent it again after an event.
  bool went_on = false;    ///< An event was received after that.
  Clock::time_point taken_up_at{};
  bool complete = false;
  std::vector<std::string> workers;  ///< That wrote its events, in order.
  std::set<std::string> versions;    ///< Of their software.
};

/// \brief Sends streams at a steady rate, and takes them up at another machine
/// when their channel breaks.
class Clients {
 public:
  struct Options {
    std::string name = "r";             ///< Begins the ids of requests.
    std::vector<std::size_t> machines;  ///< That new streams are sent to.
    std::vector<std::size_t> further;   ///< Also tried after a failure.
    milliseconds interval{20};          ///< Between two new streams.
    std::size_t events = 20;
    milliseconds gap{50};
    milliseconds budget{5000};
    int retries = 3;
  };

  Clients(const Fleet& fleet, Options options, Record& record);
  ~Clients();
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  /// \brief Sends no more streams, and waits for those in progress.
  /// \returns All streams.
  std::vector<StreamResult> Stop();

 private:
  // A stream in progress.
  struct Progress {
    StreamResult result;
    Clock::time_point until{};
    int attempts = 0;
    std::string last_event;     // Id of the last event received.
    std::string first_request;  // The one that brought the first event.
    std::set<std::size_t> failed;
  };

  void Send();
  StreamResult Ask(std::uint64_t number);
  bool Try(std::uint64_t number, std::size_t machine, Progress& progress);
  std::string RequestText(std::uint64_t number, const std::string& id,
                          const Progress& progress) const;
  void ReadStream(Reader& reader, const std::string& id, Progress& progress);
  static void Pause(const std::string& retry_after, const Progress& progress);
  std::size_t ChooseMachine(const std::set<std::size_t>& failed,
                            std::minstd_rand& random, bool first) const;

  const Fleet& fleet_;
  Options options_;
  Record& record_;
  std::atomic<bool> stopped_ = false;
  std::thread sending_;
  std::mutex mutex_;
  std::vector<std::thread> asking_;
  std::vector<StreamResult> results_;
};

}  // namespace review

#endif  // REVIEW_STAND_2_FLEET_H_
