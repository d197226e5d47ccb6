// The operators' address: who may come in, what is answered, and the
// subcommands that call it.

#include <fmt/format.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "mimosagauge/impl/app/operator_commands.h"
#include "mimosagauge/impl/app/subcommands.h"
#include "mimosagauge/impl/duties/operators/duty.h"
#include "mimosagauge/impl/duties/store/duty.h"
#include "mimosagauge/impl/queries/live.h"
#include "mimosagauge/impl/queries/operators_client.h"
#include "tests/support/running_store.h"
#include "tests/support/wait.h"

namespace mimosagauge {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using testing::RunningStore;

constexpr const char* kToken = "operator-token";
const std::string kA = "route a path=/a/*  # Ann\n";
const std::string kB = "route b path=/b/*  # Ben\n";

/// \brief Operators and platform duties on a thread, with a view that follows
/// the rules.
class Instance {
 public:
  explicit Instance(const Endpoint& store) {
    setenv("MIMOSAGAUGE_TOKEN", kToken, 1);
    Settings settings;
    settings.instance = InstanceId{"one"};
    settings.region = RegionId{"nairobi-a"};
    settings.operators = {"127.0.0.1", 0};
    settings.operator_token = kToken;
    settings.store = {store};
    settings.peers.push_back({InstanceId{"two"}, RegionId{"mombasa-a"},
                              ZoneId{"z"}, Endpoint{}, Endpoint{}});
    OperatorsDutyOptions options;
    options.body_bytes = 4096;
    operators_ = std::make_unique<OperatorsDuty>(io_context_, settings,
                                                 decisions_, edits_, options);
    platform_ = std::make_unique<PlatformDuty>(io_context_, settings,
                                               decisions_, outcomes_);
    Connect();
    const auto listening = operators_->Start();
    REQUIRE(listening);
    target_ = {listening.value(), kToken};
    platform_->Start();
    thread_ = std::thread([this] { io_context_.run(); });
  }
  ~Instance() {
    boost::asio::post(io_context_, [this] {
      operators_->Stop();
      platform_->Stop();
      work_.reset();
    });
    thread_.join();
  }
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  [[nodiscard]] OperatorTarget& target() { return target_; }
  [[nodiscard]] std::vector<std::string> Words(
      std::vector<std::string> words) const {
    words.insert(words.begin(), {"--instance", ToString(target_.instance)});
    return words;
  }
  [[nodiscard]] OperatorReply Call(const OperatorCall& call) {
    const auto reply = CallInstance(target_, call);
    REQUIRE(reply);
    return reply.value();
  }
  [[nodiscard]] json Get(const std::string& path) {
    return json::parse(Call({"GET", path, ""}).body);
  }
  [[nodiscard]] std::string Text() {
    return Get("/v1/rules").value("text", std::string{});
  }
  [[nodiscard]] bool draining() const { return draining_.load(); }

 private:
  void Connect() {
    edits_.set_handler([this](RulesEditCommand&& command) {
      platform_->Handle(std::move(command));
    });
    outcomes_.set_handler([this](RulesEditReply&& reply) {
      operators_->Handle(std::move(reply));
    });
    decisions_.set_handler([this](Event&& event) {
      if (std::holds_alternative<DrainRequested>(event)) {
        draining_.store(true);
        return;
      }
      auto view = std::make_shared<InstanceView>();
      view->rules = std::get<RulesReceived>(event).rules;
      view->metrics = "metric 1\n";
      operators_->Handle(PublishView{std::move(view)});
    });
  }

  boost::asio::io_context io_context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{io_context_.get_executor()};
  Mailbox<Event> decisions_{io_context_, io_context_, 16};
  Mailbox<RulesEditCommand> edits_{io_context_, io_context_, 16};
  Mailbox<RulesEditReply> outcomes_{io_context_, io_context_, 16};
  std::unique_ptr<OperatorsDuty> operators_;
  std::unique_ptr<PlatformDuty> platform_;
  OperatorTarget target_;
  std::atomic<bool> draining_{false};
  std::thread thread_;
};

// A name that no other file has, in this process or another one.
[[nodiscard]] std::string FreshFileName() {
  static int number = 0;
  return fmt::format("{}/operators_api_test-{}-{}.txt", MIMOSAGAUGE_BINARY_DIR,
                     getpid(), ++number);
}

/// \brief A file in the build folder, removed at the end.
class File {
 public:
  explicit File(const std::string& text) : name_(FreshFileName()) {
    std::ofstream(name_) << text;
  }
  ~File() { std::remove(name_.c_str()); }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  [[nodiscard]] const std::string& name() const { return name_; }

 private:
  std::string name_;
};

/// \returns All that is answered to raw bytes until the connection ends.
[[nodiscard]] std::string AnswerTo(const Endpoint& endpoint,
                                   const std::string& bytes) {
  boost::asio::io_context io_context;
  boost::asio::ip::tcp::socket socket(io_context);
  socket.connect(
      {boost::asio::ip::make_address(endpoint.address), endpoint.port});
  boost::system::error_code ignored;
  boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  std::string answer;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ignored);
  return answer;
}

TEST_CASE("only the operators' token lets a request in") {
  RunningStore store;
  Instance instance(store.endpoint());
  instance.target().token = GENERATE("", "operator-toke", "operator-tokem",
                                     "operator-token2", "OPERATOR-TOKEN");
  const OperatorReply reply =
      instance.Call(GENERATE(values<OperatorCall>({{"GET", "/v1/rules", ""},
                                                   {"POST", "/v1/drain", ""},
                                                   {"GET", "/metrics", ""}})));
  CHECK(reply.status == 401);
  CHECK(json::parse(reply.body).at("type") ==
        "urn:mimosagauge:problem:unauthenticated");
  CHECK_FALSE(instance.draining());
}

TEST_CASE("each path answers its methods") {
  struct Row {
    OperatorCall call;
    unsigned status;
  };
  RunningStore store;
  Instance instance(store.endpoint());
  const auto row = GENERATE(values<Row>({
      {{"GET", "/v1/rules", ""}, 404},
      {{"GET", "/v1/rules/status", ""}, 200},
      {{"GET", "/v1/instances", ""}, 200},
      {{"GET", "/v1/upstreams?x=y", ""}, 200},
      {{"GET", "/metrics", ""}, 200},
      {{"GET", "/v1/drain", ""}, 405},
      {{"DELETE", "/v1/rules", ""}, 405},
      {{"POST", "/v1/rules/status", ""}, 405},
      {{"GET", "/v1/nothing", ""}, 404},
      {{"POST", "/v1/rules", "nonsense"}, 400},
      {{"POST", "/v1/rules", R"({"change":"1"})"}, 400},
      {{"POST", "/v1/rules", R"({"change":"1","text":7})"}, 400},
      {{"POST", "/v1/rules", R"({"change":"1","text":"","add":""})"}, 400},
      {{"POST", "/v1/rules", R"({"change":"1","text":"","surplus":1})"}, 400},
      {{"POST", "/v1/rules", R"({"change":"1","text":"nonsense"})"}, 422},
      {{"POST", "/v1/rules", std::string(5000, 'x')}, 413},
  }));
  CAPTURE(row.call.method, row.call.path, row.call.body);
  CHECK(instance.Call(row.call).status == row.status);
}

TEST_CASE("malformed requests are refused and the next one is answered") {
  RunningStore store;
  Instance instance(store.endpoint());
  const std::string bytes =
      GENERATE(as<std::string>{}, "GARBAGE\r\n\r\n", "GET / HTTP/9.9\r\n\r\n",
               "GET / HTTP/1.1\r\nNo colon\r\n\r\n",
               "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
               "GET / HTTP/1.1\r\nA: " + std::string(20000, 'a') + "\r\n\r\n");
  const std::string answer = AnswerTo(instance.target().instance, bytes);
  const bool refused =
      answer.starts_with("HTTP/1.1 400") || answer.starts_with("HTTP/1.1 413");
  CAPTURE(answer);
  CHECK(refused);
  CHECK(instance.Call({"GET", "/v1/instances", ""}).status == 200);
}

TEST_CASE("the status says for whom the revision is not known") {
  RunningStore store;
  Instance instance(store.endpoint());
  const File file(kA);
  REQUIRE(RulesApply(instance.Words({file.name()})) == kExitOk);
  REQUIRE(testing::WaitUntil([&] { return instance.Text() == kA; }));
  const json status = instance.Get("/v1/rules/status");
  REQUIRE(status.at("instances").size() == 2);
  CHECK(status.at("instances")[0].at("instance") == "one");
  CHECK(status.at("instances")[0].at("revision").is_number());
  CHECK(status.at("instances")[1].at("instance") == "two");
  CHECK(status.at("instances")[1].at("revision").is_null());
  CHECK(RulesStatus(instance.Words({})) == kExitOk);
}

TEST_CASE("the subcommands edit the rules") {
  RunningStore store;
  Instance instance(store.endpoint());
  const File file(kA);
  CHECK(RulesShow(instance.Words({})) == kExitFailed);
  REQUIRE(RulesApply(instance.Words({file.name()})) == kExitOk);
  REQUIRE(testing::WaitUntil([&] { return instance.Text() == kA; }));
  CHECK(RulesShow(instance.Words({"--json"})) == kExitOk);
  const std::string line = kB.substr(0, kB.size() - 1);
  CHECK(RulesAdd(instance.Words({line})) == kExitOk);
  REQUIRE(testing::WaitUntil([&] { return instance.Text() == kA + kB; }));
  CHECK(RulesRemove(instance.Words({line})) == kExitOk);
  CHECK(RulesRemove(instance.Words({line})) == kExitFailed);
  REQUIRE(testing::WaitUntil([&] { return instance.Text() == kA; }));
  const File other(kB);
  CHECK(RulesApply(instance.Words({other.name()})) == kExitFailed);
  CHECK(RulesApply(instance.Words({"--overwrite", other.name()})) == kExitOk);
  REQUIRE(testing::WaitUntil([&] { return instance.Text() == kB; }));
}

TEST_CASE("what rules show prints may be edited and applied") {
  RunningStore store;
  Instance instance(store.endpoint());
  {
    const File file(kA);
    REQUIRE(RulesApply(instance.Words({file.name()})) == kExitOk);
  }
  REQUIRE(testing::WaitUntil([&] { return instance.Text() == kA; }));
  const auto revision = instance.Get("/v1/rules").at("revision").dump();
  const File edited(std::string(kRevisionLine) + revision + "\n" + kA + kB);
  CHECK(RulesApply(instance.Words({edited.name()})) == kExitOk);
  CHECK(testing::WaitUntil([&] { return instance.Text() == kA + kB; }));
}

TEST_CASE("drain reaches the decisions") {
  RunningStore store;
  Instance instance(store.endpoint());
  CHECK(Drain(instance.Words({})) == kExitOk);
  CHECK(testing::WaitUntil([&] { return instance.draining(); }));
}

TEST_CASE("wrong usage of the subcommands") {
  RunningStore store;
  Instance instance(store.endpoint());
  CHECK(RulesShow({}) == kExitUsage);
  CHECK(RulesShow({"--instance", "nowhere"}) == kExitUsage);
  CHECK(RulesAdd(instance.Words({})) == kExitUsage);
  CHECK(RulesApply(instance.Words({"/no/such/file"})) == kExitFailed);
  CHECK(RulesShow({"--instance", ToString(testing::UnusedEndpoint())}) ==
        kExitFailed);
  unsetenv("MIMOSAGAUGE_TOKEN");
  CHECK(RulesShow(instance.Words({})) == kExitUsage);
}

}  // namespace
}  // namespace mimosagauge
