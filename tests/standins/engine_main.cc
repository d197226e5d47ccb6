// Stand-in for a model engine: chat completions, whole or as a stream of
// server-sent events, batched up to a bound, resumed and cancelled.

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "tests/support/standin_record.h"
#include "tests/support/standin_server.h"

namespace mimosagauge::testing {
namespace {

using nlohmann::json;

constexpr int kCrashCode = 70;
constexpr unsigned kDefaultPriority = 5;

struct EngineOptions {
  std::string name;
  std::uint64_t tokens = 0;
  std::chrono::milliseconds token_interval{};
  std::chrono::milliseconds first_token{};
  std::size_t concurrency = 0;
  bool resume = false;
  std::string crash_on;
};

[[nodiscard]] std::uint64_t ParseNumber(const std::string& text,
                                        std::uint64_t fallback) {
  std::uint64_t number = fallback;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

[[nodiscard]] std::string TokenText(std::uint64_t token) {
  return fmt::format("token{} ", token);
}

// One request that runs or waits for its turn.
struct Generation {
  explicit Generation(boost::asio::io_context& io) : timer(io) {}

  StandinConnectionPtr connection;
  StandinEntryPtr entry;
  StandinFaults faults;
  boost::asio::steady_timer timer;
  std::string model;
  bool stream = false;
  bool running = false;
  std::uint64_t priority = kDefaultPriority;
  std::uint64_t tokens = 0;
  std::uint64_t sent = 0;    // Of the tokens, by this and earlier attempts.
  std::uint64_t events = 0;  // Sent on this connection.
};
using GenerationPtr = std::shared_ptr<Generation>;

class Engine {
 public:
  Engine(boost::asio::io_context& io, const Endpoint& listen,
         EngineOptions options)
      : io_(io),
        options_(std::move(options)),
        server_(io, listen,
                [this](const StandinRequest& request,
                       StandinConnectionPtr connection) {
                  Handle(request, std::move(connection));
                }) {}

  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

 private:
  void Handle(const StandinRequest& request, StandinConnectionPtr connection) {
    if (record_.HandleControl(request, *connection, server_)) {
      return;
    }
    if (request.target() == "/standin/load") {
      connection->Whole(200, "application/json", FormatLoad());
      return;
    }
    const json body = json::parse(request.body(), nullptr, false);
    if (request.target() != "/v1/chat/completions" || !body.is_object()) {
      connection->Whole(404, "text/plain", "no such path or no JSON\n");
      return;
    }
    const StandinFaults faults = record_.TakeFaults();
    if (faults.refuse) {
      connection->Whole(503, "text/plain", "refused\n",
                        "Mimosagauge-Not-Run: true\r\n");
      return;
    }
    if (!options_.crash_on.empty() &&
        request.body().find(options_.crash_on) != std::string::npos) {
      std::_Exit(kCrashCode);
    }
    Enqueue(request, body, faults, std::move(connection));
  }

  void Enqueue(const StandinRequest& request, const json& body,
               const StandinFaults& faults, StandinConnectionPtr connection) {
    auto generation = std::make_shared<Generation>(io_);
    generation->connection = std::move(connection);
    generation->entry = record_.Add(request);
    generation->faults = faults;
    generation->model = body.value("model", "");
    generation->stream = body.value("stream", false);
    generation->tokens = body.value("max_tokens", options_.tokens);
    generation->priority =
        ParseNumber(generation->entry->priority, kDefaultPriority);
    if (options_.resume) {
      generation->sent = ParseNumber(generation->entry->last_event_id, 0);
    }
    generation->connection->set_on_gone(
        [this, weak = std::weak_ptr<Generation>(generation)] {
          if (const auto gone = weak.lock()) {
            gone->entry->gone = !gone->entry->completed;
            Leave(gone);
          }
        });
    generations_.push_back(generation);
    StartNext();
  }

  [[nodiscard]] std::size_t Running() const {
    return static_cast<std::size_t>(
        std::count_if(generations_.begin(), generations_.end(),
                      [](const auto& item) { return item->running; }));
  }

  // The first in line among those of the smallest priority number.
  void StartNext() {
    while (Running() < options_.concurrency) {
      GenerationPtr next;
      for (const GenerationPtr& item : generations_) {
        if (!item->running && (!next || item->priority < next->priority)) {
          next = item;
        }
      }
      if (!next) {
        return;
      }
      next->running = true;
      Begin(next);
    }
  }

  void Leave(const GenerationPtr& generation) {
    generation->timer.cancel();
    generations_.remove(generation);
    StartNext();
  }

  void Begin(const GenerationPtr& generation) {
    auto wait = options_.first_token +
                std::chrono::milliseconds(generation->faults.delay_ms);
    if (!generation->stream) {
      wait += options_.token_interval *
              static_cast<std::int64_t>(generation->tokens);
    }
    After(generation, wait, [this, generation] {
      if (generation->faults.silent) {
        return;
      }
      if (generation->faults.fail) {
        generation->connection->Whole(500, "text/plain", "failed\n");
        Leave(generation);
        return;
      }
      if (generation->stream) {
        generation->connection->Begin(200, "text/event-stream");
        NextToken(generation);
      } else {
        AnswerWhole(generation);
      }
    });
  }

  template <typename Action>
  void After(const GenerationPtr& generation, std::chrono::milliseconds wait,
             Action action) {
    generation->timer.expires_after(wait);
    generation->timer.async_wait(
        [action](const boost::system::error_code& error) {
          if (!error) {
            action();
          }
        });
  }

  void NextToken(const GenerationPtr& generation) {
    if (MeetsFault(*generation)) {
      return;
    }
    if (generation->sent >= generation->tokens) {
      generation->entry->completed = true;
      generation->connection->Chunk("data: [DONE]\n\n");
      generation->connection->End();
      Leave(generation);
      return;
    }
    const std::uint64_t token = ++generation->sent;
    ++generation->events;
    generation->connection->Chunk(
        fmt::format("id: {}\ndata: {}\n\n", token,
                    Completion(*generation, "chat.completion.chunk", "delta",
                               TokenText(token))));
    After(generation, options_.token_interval,
          [this, generation] { NextToken(generation); });
  }

  [[nodiscard]] static bool MeetsFault(Generation& generation) {
    const StandinFaults& faults = generation.faults;
    if (faults.close_after_events == generation.events) {
      generation.connection->Close();
      return true;
    }
    if (faults.reset_after_events == generation.events) {
      generation.connection->Reset();
      return true;
    }
    return faults.silent_after_events == generation.events;
  }

  void AnswerWhole(const GenerationPtr& generation) {
    if (MeetsFault(*generation)) {
      return;
    }
    std::string content;
    for (std::uint64_t token = 1; token <= generation->tokens; ++token) {
      content += TokenText(token);
    }
    generation->entry->completed = true;
    generation->connection->Whole(
        200, "application/json",
        Completion(*generation, "chat.completion", "message", content));
    Leave(generation);
  }

  [[nodiscard]] std::string Completion(const Generation& generation,
                                       const char* object, const char* part,
                                       const std::string& content) const {
    const json message{{"role", "assistant"}, {"content", content}};
    json choice{{"index", 0}, {"finish_reason", nullptr}};
    choice[part] = message;
    return json{{"id", "chatcmpl-" + generation.entry->request_id},
                {"object", object},
                {"model", generation.model},
                {"system_fingerprint", options_.name},
                {"choices", json::array({choice})}}
        .dump();
  }

  [[nodiscard]] std::string FormatLoad() const {
    return json{{"running", Running()},
                {"queued", generations_.size() - Running()},
                {"concurrency", options_.concurrency}}
        .dump();
  }

  boost::asio::io_context& io_;
  EngineOptions options_;
  StandinRecord record_;
  std::list<GenerationPtr> generations_;  // Running or waiting, oldest first.
  StandinServer server_;
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Stand-in for a model engine");
  const TCLAP::ValueArg<std::string> listen("", "listen", "address and port",
                                            false, "127.0.0.1:0", "ENDPOINT",
                                            command);
  const TCLAP::ValueArg<std::string> name("", "name", "name in its answers",
                                          false, "engine", "NAME", command);
  const TCLAP::ValueArg<std::uint64_t> tokens(
      "", "tokens", "tokens of an answer without max_tokens", false, 16, "N",
      command);
  const TCLAP::ValueArg<std::int64_t> interval(
      "", "token-interval", "time between tokens", false, 5, "MS", command);
  const TCLAP::ValueArg<std::int64_t> first("", "first-token",
                                            "time before the first token",
                                            false, 5, "MS", command);
  const TCLAP::ValueArg<std::size_t> concurrency("", "concurrency",
                                                 "requests that run at once",
                                                 false, 1024, "N", command);
  const TCLAP::SwitchArg resume(
      "", "resume", "continue streams after Last-Event-ID", command);
  const TCLAP::ValueArg<std::string> crash_on(
      "", "crash-on", "exit at once on a request with this text", false, "",
      "TEXT", command);
  command.parse(argc, argv);
  boost::asio::io_context io;
  Engine engine(
      io, ParseEndpoint(listen.getValue()).value(),
      {name.getValue(), tokens.getValue(),
       std::chrono::milliseconds(interval.getValue()),
       std::chrono::milliseconds(first.getValue()), concurrency.getValue(),
       resume.getValue(), crash_on.getValue()});
  fmt::print("listening 127.0.0.1:{}\n", engine.port());
  std::fflush(stdout);
  io.run();
  return 0;
}

}  // namespace
}  // namespace mimosagauge::testing

int main(int argc, char** argv) {
  try {
    return mimosagauge::testing::Main(argc, argv);
  } catch (const std::exception& error) {
    fmt::print(stderr, "engine: {}\n", error.what());
    return 1;
  }
}
