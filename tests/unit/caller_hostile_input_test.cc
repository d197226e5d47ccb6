// Whatever a caller sends, it gets a clear refusal or a closed connection,
// nothing of it reaches the decisions, and other callers are served.

#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tests/support/pass_through.h"
#include "tests/support/raw_socket.h"
#include "tests/support/wait.h"

namespace mimosagauge::testing {
namespace {

constexpr const char* kAuth = "Authorization: Bearer secret\r\n";

[[nodiscard]] Settings MakeSettings() {
  Settings settings;
  settings.region = RegionId{"nairobi-a"};
  settings.entry = {"127.0.0.1", 0};
  settings.accounts = {{AccountId{"club"}, "secret", RegionId{}}};
  settings.limits.header = Bytes{2048};
  settings.limits.body = Bytes{4096};
  return settings;
}

// The duty with decisions that answer each request at once, by its target.
class CallerRig {
 public:
  explicit CallerRig(Settings settings = MakeSettings())
      : settings_(std::move(settings)),
        events_(callers_.io(), decisions_.io(), kRing),
        effects_(decisions_.io(), callers_.io(), kRing),
        duty_(callers_.io(), settings_, events_) {
    events_.set_handler([this](Event&& event) { On(event); });
    effects_.set_handler(
        [this](CallerEffect&& effect) { duty_.Handle(std::move(effect)); });
    REQUIRE(duty_.Start());
    callers_.Start();
    decisions_.Start();
  }
  ~CallerRig() {
    callers_.Run([this] { duty_.Stop(); });
    callers_.Join();
    decisions_.Join();
  }
  CallerRig(const CallerRig&) = delete;
  CallerRig& operator=(const CallerRig&) = delete;

  [[nodiscard]] std::uint16_t port() const { return duty_.port(); }
  [[nodiscard]] int arrived() const { return arrived_; }
  [[nodiscard]] int abandoned() const { return abandoned_; }
  [[nodiscard]] bool had_key() const { return had_key_; }

  [[nodiscard]] std::string Exchange(const std::string& bytes) const {
    RawSocket socket(port());
    socket.Send(bytes);
    return socket.ReadAll();
  }
  [[nodiscard]] bool ServesOthers() const {
    const std::string answer = Exchange(
        "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    return answer.rfind("HTTP/1.1 200 ", 0) == 0;
  }

 private:
  static constexpr std::size_t kRing = 64;

  void On(const Event& event) {
    if (std::holds_alternative<RequestAbandoned>(event)) {
      ++abandoned_;
    }
    const auto* request = std::get_if<RequestArrived>(&event);
    if (request == nullptr) {
      return;
    }
    had_key_ = request->head->key.has_value();
    ++arrived_;
    const std::string& target = request->head->target;
    if (target == "/hold") {
      return;
    }
    AnswerHead head;
    head.status = 200;
    effects_.Post(SendAnswerHead{request->number, head});
    effects_.Post(SendAnswerBody{request->number, target, std::nullopt});
    if (target == "/abort") {
      effects_.Post(AbortAnswer{request->number, Problem{}});
    } else {
      effects_.Post(SendAnswerEnd{request->number});
    }
  }

  const Settings settings_;
  LoopThread callers_;
  LoopThread decisions_;
  Mailbox<Event> events_;
  Mailbox<CallerEffect> effects_;
  CallerDuty duty_;
  std::atomic<int> arrived_{0};
  std::atomic<int> abandoned_{0};
  std::atomic<bool> had_key_{false};
};

struct Refusal {
  std::string name;
  std::string bytes;
  std::string status;
};

[[nodiscard]] std::string Get(const std::string& target,
                              const std::string& fields = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: a\r\n" + kAuth + fields + "\r\n";
}

[[nodiscard]] std::string Post(const std::string& fields,
                               const std::string& body) {
  return std::string("POST /desk/x HTTP/1.1\r\nHost: a\r\n") + kAuth + fields +
         "\r\n" + body;
}

[[nodiscard]] std::string Chat(const std::string& body) {
  return std::string("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n") +
         "Connection: close\r\n" + kAuth +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

[[nodiscard]] std::vector<Refusal> Refusals() {
  const std::string close = "Connection: close\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string deep(100, '[');
  std::vector<Refusal> cases{
      {"both lengths", Post("Content-Length: 3\r\n" + chunked, "abc"), "400"},
      {"two lengths", Post("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"),
       "400"},
      {"length list", Post("Content-Length: 3, 3\r\n", "abc"), "400"},
      {"signed length", Post("Content-Length: +3\r\n", "abc"), "400"},
      {"huge length", Post("Content-Length: 99999999999999999999\r\n", ""),
       "400"},
      {"coding list", Post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"),
       "501"},
      {"identity", Post("Transfer-Encoding: identity\r\n", ""), "501"},
      {"two codings", Post(chunked + chunked, "0\r\n\r\n"), "400"},
      {"space before colon",
       Post("Transfer-Encoding : chunked\r\n", "0\r\n\r\n"), "400"},
      {"chunk overflow", Post(chunked, "FFFFFFFFFFFFFFFFF\r\n"), "400"},
      {"signed chunk", Post(chunked, "-1\r\nabc\r\n0\r\n\r\n"), "400"},
      {"prefixed chunk", Post(chunked, "0x3\r\nabc\r\n0\r\n\r\n"), "400"},
      {"chunk too long", Post(chunked, "2\r\nabc\r\n0\r\n\r\n"), "400"},
      {"bare LF", "GET /desk/x HTTP/1.1\nHost: a\n\n", "400"},
      {"bare CR", Get("/desk/x", "X: a\rb\r\n"), "400"},
      {"NUL", Get("/desk/x", std::string("X: a\0b\r\n", 8)), "400"},
      {"folded line", Get("/desk/x", "X: a\r\n b\r\n"), "400"},
      {"no host", "GET /desk/x HTTP/1.1\r\n\r\n", "400"},
      {"two hosts", Get("/desk/x", "Host: b\r\n"), "400"},
      {"absolute form", Get("http://a/desk/x", close), "400"},
      {"asterisk form", Get("*", close), "400"},
      {"dot segment", Get("/desk/../x", close), "400"},
      {"encoded dots", Get("/desk/%2e%2E/x", close), "400"},
      {"encoded slash", Get("/desk%2Fx", close), "400"},
      {"encoded backslash", Get("/desk/%5cx", close), "400"},
      {"encoded letter", Get("/%64esk/x", close), "400"},
      {"encoded NUL", Get("/desk/%00", close), "400"},
      {"broken encoding", Get("/desk/%z1", close), "400"},
      {"empty segment", Get("//desk/x", close), "400"},
      {"fragment", Get("/desk/x#y", close), "400"},
      {"two keys",
       Get("/desk/x", close + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"),
       "400"},
      {"long key",
       Get("/desk/x",
           close + "Idempotency-Key: " + std::string(256, 'k') + "\r\n"),
       "400"},
      {"no time", Get("/desk/x", close + "Mimosagauge-Timeout-Ms: 0\r\n"),
       "400"},
      {"long header", Get("/desk/x", "X: " + std::string(4000, 'x') + "\r\n"),
       "431"},
      {"header without end", "GET /" + std::string(4000, 'x'), "431"},
      {"long body", Post("Content-Length: 5000\r\n", ""), "413"},
      {"long chunked body",
       Post(chunked, "1400\r\n" + std::string(5120, 'x') + "\r\n"), "413"},
      {"old version", "GET /desk/x HTTP/1.0\r\nHost: a\r\n\r\n", "505"},
      {"TLS", std::string("\x16\x03\x01\x02\x00\x01\xfc\x03\x03", 9) + "\r\n",
       "400"},
      {"no account",
       "GET /desk/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "401"},
      {"wrong token",
       "GET /desk/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secre\r\n" +
           close + "\r\n",
       "401"},
      {"no service", Get("/", close), "404"},
      {"own prefix", Get("/v1/models", close), "404"},
      {"chat by GET", Get("/v1/chat/completions", close), "405"},
      {"no JSON", Chat("model"), "400"},
      {"array", Chat("[]"), "400"},
      {"no model", Chat(R"({"messages":[]})"), "400"},
      {"two models", Chat(R"({"model":"a","model":"b","messages":[]})"), "400"},
      {"model of wrong type", Chat(R"({"model":1,"messages":[]})"), "400"},
      {"no messages", Chat(R"({"model":"a"})"), "400"},
      {"stream of wrong type",
       Chat(R"({"model":"a","stream":"yes","messages":[]})"), "400"},
      {"deep", Chat(R"({"model":"a","messages":)" + deep), "400"},
      {"more after the end", Chat(R"({"model":"a","messages":[]}{})"), "400"},
      {"not UTF-8", Chat("{\"model\":\"a\",\"messages\":[\"\xff\"]}"), "400"},
  };
  return cases;
}

TEST_CASE("hostile requests are refused and reach no one") {
  CallerRig rig;
  for (const Refusal& refusal : Refusals()) {
    CAPTURE(refusal.name);
    const std::string answer = rig.Exchange(refusal.bytes);
    CAPTURE(answer);
    CHECK(answer.rfind("HTTP/1.1 " + refusal.status + " ", 0) == 0);
    CHECK(answer.find("\"run\":\"not_run\"") != std::string::npos);
    CHECK(answer.find("\"remedy\":\"\"") == std::string::npos);
    CHECK(rig.arrived() == 0);
  }
  CHECK(rig.ServesOthers());
}

TEST_CASE("a request that trickles in is cut off") {
  Settings settings = MakeSettings();
  settings.limits.header_timeout = std::chrono::milliseconds(100);
  CallerRig rig(settings);
  const std::string start = GENERATE(
      std::string("GET /des"),
      std::string("POST /desk/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "
                  "secret\r\nContent-Length: 100\r\n\r\nabc"));
  RawSocket slow(rig.port());
  slow.Send(start);
  CHECK(slow.ReadAll().rfind("HTTP/1.1 408 ", 0) == 0);
  CHECK(rig.arrived() == 0);
  CHECK(rig.ServesOthers());
}

TEST_CASE("an idle connection is closed") {
  Settings settings = MakeSettings();
  settings.limits.idle_timeout = std::chrono::milliseconds(100);
  CallerRig rig(settings);
  RawSocket idle(rig.port());
  CHECK(idle.ReadAll().empty());
}

TEST_CASE("connections beyond the limit are told so") {
  Settings settings = MakeSettings();
  settings.limits.connections = 2;
  CallerRig rig(settings);
  auto first = std::make_unique<RawSocket>(rig.port());
  RawSocket second(rig.port());
  second.Send(Get("/desk/x"));
  CHECK(second.ReadUntil("0\r\n\r\n").rfind("HTTP/1.1 200 ", 0) == 0);
  const std::string answer = rig.Exchange("");
  CHECK(answer.rfind("HTTP/1.1 503 ", 0) == 0);
  CHECK(answer.find("Retry-After: ") != std::string::npos);
  first.reset();
  CHECK(WaitUntil([&] { return rig.ServesOthers(); }));
}

TEST_CASE("requests beyond the limit are refused unrun") {
  Settings settings = MakeSettings();
  settings.limits.requests = 1;
  CallerRig rig(settings);
  RawSocket held(rig.port());
  held.Send(Get("/desk/hold"));
  REQUIRE(WaitUntil([&] { return rig.arrived() == 1; }));
  const std::string answer =
      rig.Exchange(Get("/desk/x", "Connection: close\r\n"));
  CHECK(answer.rfind("HTTP/1.1 503 ", 0) == 0);
  CHECK(answer.find("\"run\":\"not_run\"") != std::string::npos);
  CHECK(rig.arrived() == 1);
}

TEST_CASE("pipelined requests are answered in order") {
  CallerRig rig;
  const std::string answer =
      rig.Exchange(Get("/desk/one") + Get("/desk/two") +
                   Get("/desk/three", "Connection: close\r\n"));
  const std::size_t one = answer.find("/one");
  const std::size_t two = answer.find("/two");
  const std::size_t three = answer.find("/three");
  CHECK(one < two);
  CHECK(two < three);
  CHECK(three != std::string::npos);
}

TEST_CASE("a trailer adds nothing to the header") {
  CallerRig rig;
  const std::string answer =
      rig.Exchange(Post("Connection: close\r\nTransfer-Encoding: chunked\r\n",
                        "3\r\nabc\r\n0\r\nIdempotency-Key: k\r\n\r\n"));
  CHECK(answer.rfind("HTTP/1.1 200 ", 0) == 0);
  CHECK_FALSE(rig.had_key());
}

TEST_CASE("a caller that goes away is reported once") {
  CallerRig rig;
  const bool reset = GENERATE(false, true);
  RawSocket caller(rig.port());
  caller.Send(Get("/desk/hold"));
  REQUIRE(WaitUntil([&] { return rig.arrived() == 1; }));
  CHECK(rig.abandoned() == 0);
  reset ? caller.Reset() : caller.Close();
  CHECK(WaitUntil([&] { return rig.abandoned() == 1; }));
}

TEST_CASE("an answer that is broken off has no last chunk and is reset") {
  CallerRig rig;
  RawSocket caller(rig.port());
  caller.Send(Get("/desk/abort"));
  const std::string answer = caller.ReadAll();
  CHECK(answer.find("0\r\n\r\n") == std::string::npos);
  CHECK(caller.was_reset());
}

}  // namespace
}  // namespace mimosagauge::testing
