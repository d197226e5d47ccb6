// The two HTTP duties with the simplest decisions between them: each request
// becomes one attempt, each attempt's answer is passed back.

#ifndef TESTS_SUPPORT_PASS_THROUGH_H_
#define TESTS_SUPPORT_PASS_THROUGH_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cstdint>
#include <cstdio>
#include <future>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>
#include <variant>

#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/duties/callers/duty.h"
#include "mimosagauge/impl/duties/common/mailbox.h"
#include "mimosagauge/impl/duties/upstreams/duty.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge::testing {

/// \brief An event loop with its thread.
class LoopThread {
 public:
  LoopThread() : work_(boost::asio::make_work_guard(io_)) {}
  ~LoopThread() { Join(); }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  [[nodiscard]] boost::asio::io_context& io() noexcept { return io_; }
  void Start() {
    thread_ = std::thread([this] { io_.run(); });
  }
  /// \brief Runs `action` on the thread and waits for it.
  template <typename Action>
  void Run(Action action) {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }
  void Join() {
    work_.reset();
    io_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
};

/// \brief Callers' duty, upstreams' duty and a relay, each on its thread.
///
/// Every request goes to the first upstream of its service; a request that
/// names a model goes to the first engine.
class PassThrough {
 public:
  explicit PassThrough(Settings settings)
      : settings_(std::move(settings)),
        from_callers_(callers_.io(), relay_.io(), kRing),
        from_upstreams_(upstreams_.io(), relay_.io(), kRing),
        to_callers_(relay_.io(), callers_.io(), kRing),
        to_upstreams_(relay_.io(), upstreams_.io(), kRing),
        caller_duty_(callers_.io(), settings_, from_callers_),
        upstream_duty_(upstreams_.io(), settings_, from_upstreams_) {
    from_callers_.set_handler([this](Event&& event) { Relay(event); });
    from_upstreams_.set_handler([this](Event&& event) { Relay(event); });
    to_callers_.set_handler([this](CallerEffect&& effect) {
      caller_duty_.Handle(std::move(effect));
    });
    to_upstreams_.set_handler([this](UpstreamEffect&& effect) {
      upstream_duty_.Handle(std::move(effect));
    });
    const auto started = caller_duty_.Start();
    if (!started) {
      std::fputs((ToString(started.error()) + "\n").c_str(), stderr);
    }
    upstream_duty_.Start();
    callers_.Start();
    upstreams_.Start();
    relay_.Start();
  }

  ~PassThrough() {
    callers_.Run([this] { caller_duty_.Stop(); });
    upstreams_.Run([this] { upstream_duty_.Stop(); });
    callers_.Join();
    upstreams_.Join();
    relay_.Join();
  }
  PassThrough(const PassThrough&) = delete;
  PassThrough& operator=(const PassThrough&) = delete;

  [[nodiscard]] std::uint16_t port() const { return caller_duty_.port(); }
  /// \brief Requests that have neither been answered nor abandoned.
  [[nodiscard]] std::size_t in_progress() const { return in_progress_; }

 private:
  static constexpr std::size_t kRing = 4096;

  void Relay(Event& event) {
    std::visit([this](auto& item) { On(item); }, event);
    in_progress_ = attempts_.size();
  }

  void On(RequestArrived& arrived) {
    const UpstreamSettings* upstream = Choose(*arrived.head);
    if (upstream == nullptr) {
      Problem problem;
      problem.status = 404;
      problem.type = "no-such-service";
      to_callers_.Post(SendProblem{arrived.number, problem});
      return;
    }
    const AttemptNumber attempt{next_attempt_++};
    attempts_[arrived.number] = attempt;
    requests_[attempt] = arrived.number;
    StartUpstreamAttempt start;
    start.attempt = attempt;
    start.upstream = upstream->id;
    start.head = arrived.head;
    start.body = arrived.body;
    start.remaining = arrived.head->remaining;
    start.credit = settings_.limits.stream_window;
    to_upstreams_.Post(std::move(start));
  }
  void On(RequestAbandoned& abandoned) {
    const auto found = attempts_.find(abandoned.number);
    if (found != attempts_.end()) {
      to_upstreams_.Post(CancelAttempt{found->second});
      Forget(found->second);
    }
  }
  void On(AnswerConsumed& taken) {
    const auto found = attempts_.find(taken.number);
    if (found != attempts_.end()) {
      to_upstreams_.Post(AddAttemptCredit{found->second, taken.bytes});
    }
  }
  void On(AttemptHeadReceived& answered) {
    if (const auto number = NumberOf(answered.attempt)) {
      to_callers_.Post(SendAnswerHead{*number, std::move(answered.head)});
    }
  }
  void On(AttemptBodyReceived& body) {
    if (const auto number = NumberOf(body.attempt)) {
      to_callers_.Post(SendAnswerBody{*number, std::move(body.data),
                                      std::move(body.last_event_id)});
    }
  }
  void On(AttemptEnded& ended) {
    if (const auto number = NumberOf(ended.attempt)) {
      Forget(ended.attempt);
      to_callers_.Post(SendAnswerEnd{*number});
    }
  }
  void On(AttemptFailed& failed) {
    if (const auto number = NumberOf(failed.attempt)) {
      Forget(failed.attempt);
      Problem problem;
      problem.status = 502;
      problem.type = "upstream-failed";
      problem.detail = failed.error.message;
      problem.remedy = failed.error.remedy;
      problem.run = failed.run;
      to_callers_.Post(AbortAnswer{*number, problem});
    }
  }
  template <typename Other>
  void On(Other& /*event*/) {}

  [[nodiscard]] const UpstreamSettings* Choose(const RequestHead& head) const {
    for (const UpstreamSettings& upstream : settings_.upstreams) {
      const bool engine = upstream.kind == UpstreamKind::kEngine;
      if (head.model.empty() ? upstream.service == head.service : engine) {
        return &upstream;
      }
    }
    return nullptr;
  }

  [[nodiscard]] std::optional<RequestNumber> NumberOf(AttemptNumber attempt) {
    const auto found = requests_.find(attempt);
    if (found == requests_.end()) {
      return std::nullopt;
    }
    return found->second;
  }

  void Forget(AttemptNumber attempt) {
    const auto found = requests_.find(attempt);
    attempts_.erase(found->second);
    requests_.erase(found);
  }

  const Settings settings_;
  LoopThread callers_;
  LoopThread upstreams_;
  LoopThread relay_;
  Mailbox<Event> from_callers_;
  Mailbox<Event> from_upstreams_;
  Mailbox<CallerEffect> to_callers_;
  Mailbox<UpstreamEffect> to_upstreams_;
  CallerDuty caller_duty_;
  UpstreamDuty upstream_duty_;
  // The relay's thread only.
  std::unordered_map<RequestNumber, AttemptNumber> attempts_;
  std::unordered_map<AttemptNumber, RequestNumber> requests_;
  std::uint64_t next_attempt_ = 1;
  std::atomic<std::size_t> in_progress_{0};
};

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_PASS_THROUGH_H_
