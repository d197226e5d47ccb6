// Recording of gateway sessions.

#include "tests/support/session.h"

#include <fmt/format.h>

#include <stdexcept>
#include <utility>

#include "mimosagauge/impl/decisions/gateway_detail.h"
#include "mimosagauge/impl/duties/common/hash.h"

namespace mimosagauge::testing {
namespace {

[[nodiscard]] std::string PathText(const std::vector<Place>& path) {
  std::string text;
  for (const Place& place : path) {
    text += (text.empty() ? "" : " ") + ToString(place);
  }
  return text;
}

[[nodiscard]] std::string ProblemText(const Problem& problem) {
  return fmt::format("{} {} run={}{}", problem.status, problem.type,
                     ToString(problem.run),
                     problem.retry_after ? " retry-after" : "");
}

[[nodiscard]] std::string DataText(const std::string& data) {
  std::string text;
  for (const char c : data) {
    text += c == '\n' ? std::string("\\n") : std::string(1, c);
  }
  return text;
}

[[nodiscard]] std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// One overload of Line for each event and effect.
[[nodiscard]] std::string Line(const RequestArrived& e) {
  return fmt::format(
      "request {} from {}: {} {} account={}{}{}", e.number.value(),
      e.origin == Origin::kCaller ? "caller" : "link", e.head->method,
      e.head->caller_path, e.head->account.value(),
      e.head->model.empty() ? ""
                            : fmt::format(" model={}", e.head->model.value()),
      e.head->path.empty()
          ? ""
          : fmt::format(" passed=[{}]", PathText(e.head->path)));
}
[[nodiscard]] std::string Line(const RequestAbandoned& e) {
  return fmt::format("request {} abandoned", e.number.value());
}
[[nodiscard]] std::string Line(const AnswerConsumed& e) {
  return fmt::format("request {} took {} bytes", e.number.value(),
                     e.bytes.count());
}
[[nodiscard]] std::string Line(const AttemptHeadReceived& e) {
  return fmt::format("attempt {} answered {}", e.attempt.value(),
                     e.head.status);
}
[[nodiscard]] std::string Line(const AttemptBodyReceived& e) {
  return fmt::format("attempt {} body '{}'{}", e.attempt.value(),
                     DataText(e.data),
                     e.last_event_id ? " event " + *e.last_event_id : "");
}
[[nodiscard]] std::string Line(const AttemptEnded& e) {
  return fmt::format("attempt {} ended", e.attempt.value());
}
[[nodiscard]] std::string Line(const AttemptFailed& e) {
  return fmt::format("attempt {} failed run={}", e.attempt.value(),
                     ToString(e.run));
}
[[nodiscard]] std::string Line(const RulesReceived& e) {
  return fmt::format("rules revision {}", e.rules->revision.value());
}
[[nodiscard]] std::string Line(const LinkChanged& e) {
  return fmt::format("link {} {}", e.instance.value(), e.up ? "up" : "down");
}
[[nodiscard]] std::string Line(const DrainRequested&) { return "drain"; }
template <typename Other>
[[nodiscard]] std::string Line(const Other&) {
  return {};
}

[[nodiscard]] std::string Line(const StartUpstreamAttempt& e) {
  return fmt::format("start attempt {} on upstream {}{} credit={}",
                     e.attempt.value(), e.upstream.value(),
                     e.last_event_id ? " after event " + *e.last_event_id : "",
                     e.credit.count());
}
[[nodiscard]] std::string Line(const StartLinkAttempt& e) {
  return fmt::format("start attempt {} on instance {} passed=[{}] credit={}",
                     e.attempt.value(), e.instance.value(),
                     PathText(e.head->path), e.credit.count());
}
[[nodiscard]] std::string Line(const CancelAttempt& e) {
  return fmt::format("cancel attempt {}", e.attempt.value());
}
[[nodiscard]] std::string Line(const AddAttemptCredit& e) {
  return fmt::format("credit attempt {} with {} bytes", e.attempt.value(),
                     e.bytes.count());
}
[[nodiscard]] std::string Line(const SendAnswerHead& e) {
  return fmt::format("answer {} status {} path=[{}]", e.number.value(),
                     e.head.status, PathText(e.head.path));
}
[[nodiscard]] std::string Line(const SendAnswerBody& e) {
  return fmt::format("answer {} body '{}'", e.number.value(), DataText(e.data));
}
[[nodiscard]] std::string Line(const SendAnswerEnd& e) {
  return fmt::format("answer {} end", e.number.value());
}
[[nodiscard]] std::string Line(const AbortAnswer& e) {
  return fmt::format("answer {} broken off: {}", e.number.value(),
                     ProblemText(e.problem));
}
[[nodiscard]] std::string Line(const SendProblem& e) {
  return fmt::format("answer {} problem: {}", e.number.value(),
                     ProblemText(e.problem));
}
[[nodiscard]] std::string Line(const WriteLog& e) {
  return fmt::format("log {} {}", e.event.number, e.event.text);
}
[[nodiscard]] std::string Line(const AnnounceDeparture&) {
  return "tell the others that this instance is leaving";
}
[[nodiscard]] std::string Line(const StopAccepting&) {
  return "stop accepting callers";
}
[[nodiscard]] std::string Line(const Finished& e) {
  return e.in_time ? "finished" : "finished late";
}
[[nodiscard]] std::string Line(const ForOperators&) { return {}; }
template <typename Nested>
requires requires(const Nested& nested) { nested.effect.index(); }
[[nodiscard]] std::string Line(const Nested& nested) {
  return std::visit([](const auto& typed) { return Line(typed); },
                    nested.effect);
}

// The request whose answer the effect ends, if any.
[[nodiscard]] std::optional<RequestNumber> EndedAnswer(const Effect& effect) {
  std::optional<RequestNumber> ended;
  const auto look = [&ended](const auto& nested) {
    std::visit(
        [&ended](const auto& typed) {
          using Typed = std::decay_t<decltype(typed)>;
          if constexpr (detail::kEndsAnswer<Typed>) {
            ended = typed.number;
          }
        },
        nested.effect);
  };
  if (const auto* callers = std::get_if<ForCallers>(&effect)) {
    look(*callers);
  } else if (const auto* links = std::get_if<ForLinks>(&effect)) {
    look(*links);
  }
  return ended;
}

}  // namespace

std::string Describe(const Event& event) {
  return std::visit([](const auto& typed) { return Line(typed); }, event);
}

std::string Describe(const Effect& effect) {
  return std::visit([](const auto& typed) { return Line(typed); }, effect);
}

Session::Session(const GatewayConfig& config, std::string_view rules)
    : now_(std::chrono::seconds(1)), gateway_(MakeGateway(config, now_, 1)) {
  if (!rules.empty()) {
    Rules(rules, 1);
  }
}

std::vector<Effect> Session::Advance(Duration duration) {
  now_ += duration;
  return Feed(Tick{});
}

std::vector<Effect> Session::Feed(Event event) {
  Note("> ", Describe(event));
  std::vector<Effect> effects = Step(gateway_, now_, std::move(event));
  for (const Effect& effect : effects) {
    Note("  < ", Describe(effect));
  }
  AnswersWritten written;
  for (const Effect& effect : effects) {
    if (const auto number = EndedAnswer(effect)) {
      written.answers.push_back({*number, true});
    }
  }
  if (!written.answers.empty() && !holds_answers_) {
    for (Effect& effect : Feed(std::move(written))) {
      effects.push_back(std::move(effect));
    }
  }
  return effects;
}

void Session::Written(RequestNumber number, bool whole) {
  Feed(AnswersWritten{{{number, whole}}});
}

std::vector<Effect> Session::Rules(std::string_view text,
                                   std::uint64_t revision) {
  std::vector<RuleFault> faults;
  auto rules = std::make_shared<RuleSet>(ParseRules(text, faults));
  if (!faults.empty()) {
    throw std::invalid_argument("line " + std::to_string(faults[0].line) +
                                ": " + faults[0].message);
  }
  rules->revision = Revision{revision};
  return Feed(RulesReceived{std::move(rules)});
}

RequestNumber Session::FromCaller(const RequestText& text) {
  const RequestNumber number{next_caller_};
  next_caller_ += 2;
  auto head =
      std::make_shared<RequestHead>(HeadOf(text, gateway_.config.region));
  Feed(RequestArrived{number, Origin::kCaller, std::move(head),
                      std::make_shared<const std::string>("{}")});
  return number;
}

RequestNumber Session::FromLink(const RequestText& text) {
  const RequestNumber number{next_link_};
  next_link_ += 2;
  auto head =
      std::make_shared<RequestHead>(HeadOf(text, RegionId{"mombasa-a"}));
  Feed(RequestArrived{number, Origin::kLink, std::move(head),
                      std::make_shared<const std::string>("{}")});
  return number;
}

void Session::Answered(std::uint64_t attempt, std::uint16_t status,
                       bool event_stream) {
  AnswerHead head;
  head.status = status;
  head.headers.push_back({"Content-Type", event_stream ? "text/event-stream"
                                                       : "application/json"});
  Feed(AttemptHeadReceived{AttemptNumber{attempt}, std::move(head)});
}

void Session::Body(std::uint64_t attempt, std::string data,
                   std::optional<std::string> last_event_id) {
  Feed(AttemptBodyReceived{AttemptNumber{attempt}, std::move(data),
                           std::move(last_event_id)});
}

void Session::Ended(std::uint64_t attempt) {
  Feed(AttemptEnded{AttemptNumber{attempt}});
}

void Session::Failed(std::uint64_t attempt, RunState run) {
  Feed(AttemptFailed{AttemptNumber{attempt}, run,
                     Error{ErrorKind::kUnavailable, "the upstream failed", ""},
                     std::nullopt});
}

void Session::Note(std::string_view mark, const std::string& line) {
  if (line.empty()) {
    return;
  }
  text_ += fmt::format("{:>6} ms {}{}\n", Milliseconds(now_.time_since_epoch()),
                       mark, line);
}

RequestHead HeadOf(const RequestText& text, const RegionId& region) {
  RequestHead head;
  head.id = RequestId{"00000000000000000000000000000001"};
  head.account = AccountId{text.account};
  head.entry_region = region;
  head.service = ServiceId{text.service};
  head.model = ModelId{text.model};
  head.method = text.method;
  head.caller_path = text.path;
  head.target = text.path;
  head.digest = ContentDigest{std::string(64, 'd')};
  head.remaining = text.remaining;
  head.path = text.passed;
  if (!text.key.empty()) {
    head.key = IdempotencyKey{text.key};
  }
  return head;
}

GatewayConfig TwoRegions() {
  GatewayConfig config;
  config.instance = InstanceId{"nairobi-1"};
  config.region = RegionId{"nairobi-a"};
  config.self = {config.instance, Incarnation{1}, 1};
  config.hash = MakeHashFunction();
  config.ticket_secrets = {MakeAuthenticator("secret")};
  config.zone = ZoneId{"nairobi-a-1"};
  const ServiceId quotes{"quote-assistant"};
  const ZoneId zone{"nairobi-a-1"};
  const ModelId model{"quote-large"};
  config.upstreams = {
      {UpstreamId{"engine-1"}, quotes, zone, {model}, 1, true},
      {UpstreamId{"engine-2"}, quotes, zone, {model}, 1, true},
      {UpstreamId{"desk-1"}, ServiceId{"order-desk"}, zone, {}, 2, false},
  };
  config.peers = {{InstanceId{"mombasa-1"},
                   RegionId{"mombasa-a"},
                   ZoneId{"mombasa-a-1"},
                   {"127.0.0.1", 9000}}};
  config.limits.queued = 2;
  config.limits.stream_window = Bytes{100};
  return config;
}

}  // namespace mimosagauge::testing
