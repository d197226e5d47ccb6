// Stand-ins for the platform's store and for workers of a stream service.

#ifndef REVIEW_STAND_2_PLATFORM_H_
#define REVIEW_STAND_2_PLATFORM_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "net.h"

namespace review {

/// \brief The lines of the record: what was sent, answered and run, and when.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Add(const std::string& line);

 private:
  struct File;
  std::unique_ptr<File> file_;
  Clock::time_point start_ = Clock::now();
};

/// \brief Accepts connections, and serves each on a thread of its own.
class Server {
 public:
  using Handler = std::function<void(int fd)>;

  /// \param port The port to listen on; zero: a free one.
  explicit Server(Handler handler, std::uint16_t port = 0);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
  /// \brief Accepts no more connections, and waits for those that are open.
  void Stop();

 private:
  void Accept();

  Handler handler_;
  std::uint16_t port_ = 0;
  int listener_ = -1;
  std::atomic<bool> stopped_ = false;
  std::thread accepting_;
  std::mutex mutex_;
  std::list<std::thread> serving_;
};

/// \brief The platform's store. Each machine reaches it by a port of its own,
/// so that the store can turn single machines away.
class Store {
 public:
  explicit Store(std::size_t machines);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  [[nodiscard]] std::uint16_t port(std::size_t machine) const;
  /// \brief Writes an entry, as the operator and the workers do.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// \brief Lets the store give this machine no response, or serve it again.
  void SetSilent(std::size_t machine, bool silent);
  /// \brief Lets the store give nobody a response.
  void SetDown(bool down);
  [[nodiscard]] bool is_down() const noexcept { return down_; }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::uint64_t revision;
    nlohmann::json event;
    std::string key;
  };
  struct Lease {
    milliseconds lifetime;
    Clock::time_point end;
  };
  struct Answer {
    int status = 200;
    nlohmann::json body = nlohmann::json::object();
  };

  void Serve(std::size_t machine, int fd);
  Answer Handle(std::size_t machine, const Message& request);
  Answer Range(const std::map<std::string, std::string>& query);
  Answer Watch(std::size_t machine,
               const std::map<std::string, std::string>& query);
  Answer Transact(const nlohmann::json& request);
  void Write(const std::string& key, const std::string& value,
             std::uint64_t lease);
  void Erase(const std::string& key);
  void EndLease(std::uint64_t lease);
  void ExpireLeases();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 1;
  std::vector<bool> silent_;
  std::atomic<bool> down_ = false;
  std::atomic<bool> stopped_ = false;
  std::thread expiring_;
  std::vector<std::unique_ptr<Server>> servers_;
};

/// \brief A worker of a service whose answers are streams that may be resumed.
///
/// The path `/ask/EVENTS/GAP/...` asks for that many events, GAP ms apart. The
/// data of each event names the worker and the version of its software.
class Worker {
 public:
  struct Options {
    std::string id;
    std::string zone;
    std::string version;
    std::size_t slots = 64;
    std::uint16_t port = 0;  ///< Zero: a free one.
  };

  Worker(Options options, Store& store, Record& record);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /// \brief Ends the process: its channels are reset, and its entry is removed
  /// after three heartbeat intervals.
  void Crash();
  /// \brief Leaves without having reported that it is draining: its entry is
  /// removed, and it goes on to serve.
  void Leave();
  /// \brief Ends the process, and starts it again at once at the same address
  /// under the same id, with another version of the software.
  void RestartAs(const std::string& version);
  [[nodiscard]] const Options& options() const noexcept { return options_; }

 private:
  void StartProcess();
  void EndProcess();
  void Register();
  void Serve(int fd);
  bool Answer(int fd, const Message& request);
  bool AnswerStream(int fd, const Message& request);

  Options options_;
  Store& store_;
  Record& record_;
  std::int64_t born_ = 0;
  std::atomic<bool> ended_ = false;
  std::atomic<bool> left_ = false;
  std::atomic<std::uint64_t> seq_ = 0;
  std::atomic<std::size_t> running_ = 0;
  std::unique_ptr<Server> server_;
  std::thread beating_;
  std::thread removing_;
};

}  // namespace review

#endif  // REVIEW_STAND_2_PLATFORM_H_
