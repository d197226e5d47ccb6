// The platform duty against the stand-in: rules reach the decisions, and edits
// are accepted, under the store's faults.

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mimosagauge/impl/duties/store/duty.h"
#include "mimosagauge/impl/store/base64.h"
#include "tests/support/running_store.h"
#include "tests/support/wait.h"

namespace mimosagauge {
namespace {

using namespace std::chrono_literals;
using testing::RunningStore;

const std::string kA = "route a path=/a/*  # Ann\n";
const std::string kB = "route b path=/b/*  # Ben\n";
const std::string kC = "route c path=/c/*  # Cid\n";

/// \brief A platform duty, run on the test's own thread.
class Duty {
 public:
  explicit Duty(const Endpoint& store,
                const PlatformDutyOptions& options = Quick()) {
    Settings settings;
    settings.store = {store};
    duty_ = std::make_unique<PlatformDuty>(io_context_, settings, decisions_,
                                           replies_, options);
    decisions_.set_handler([this](Event&& event) {
      learned_.push_back(std::get<RulesReceived>(event).rules);
    });
    replies_.set_handler([this](RulesEditReply&& reply) {
      outcomes_.push_back(std::move(reply.outcome));
    });
    duty_->Start();
  }
  ~Duty() { duty_->Stop(); }
  Duty(const Duty&) = delete;
  Duty& operator=(const Duty&) = delete;

  [[nodiscard]] static PlatformDutyOptions Quick() {
    PlatformDutyOptions options;
    options.store.call_timeout = 2s;
    options.store.read_timeout = 500ms;
    options.store.longest_backoff = 50ms;
    options.reread = 100ms;
    options.max_watch_lag = 100ms;
    return options;
  }

  /// \brief Reads so seldom that only the watch can tell of changes.
  [[nodiscard]] static PlatformDutyOptions WatchOnly() {
    PlatformDutyOptions options = Quick();
    options.reread = 3600s;
    return options;
  }

  void Poll() {
    io_context_.restart();
    io_context_.poll();
  }

  void Run(const std::function<bool()>& condition) {
    const bool held = testing::WaitUntil([&] {
      Poll();
      return condition();
    });
    REQUIRE(held);
  }

  void Send(const std::string& change, decltype(RulesEdit::edit) edit) {
    duty_->Handle({1, {ChangeId{change}, std::move(edit)}, Revision{}});
  }

  [[nodiscard]] RulesOutcome Edit(const std::string& change,
                                  decltype(RulesEdit::edit) edit) {
    outcomes_.clear();
    Send(change, std::move(edit));
    Run([this] { return !outcomes_.empty(); });
    return outcomes_.front();
  }

  [[nodiscard]] std::string Text() const {
    return learned_.empty() ? "" : learned_.back()->text;
  }
  void RunUntilText(const std::string& text) {
    Run([&] { return Text() == text; });
  }
  [[nodiscard]] const std::vector<std::shared_ptr<const RuleSet>>& learned()
      const {
    return learned_;
  }
  [[nodiscard]] std::vector<RulesOutcome>& outcomes() { return outcomes_; }

 private:
  boost::asio::io_context io_context_;
  Mailbox<Event> decisions_{io_context_, io_context_, 16};
  Mailbox<RulesEditReply> replies_{io_context_, io_context_, 16};
  std::unique_ptr<PlatformDuty> duty_;
  std::vector<std::shared_ptr<const RuleSet>> learned_;
  std::vector<RulesOutcome> outcomes_;
};

[[nodiscard]] Revision RevisionOf(const RulesOutcome& outcome) {
  if (const auto* refused = std::get_if<RulesRefused>(&outcome)) {
    FAIL(ToString(refused->error));
  }
  return std::get<RulesAccepted>(outcome).revision;
}

[[nodiscard]] ErrorKind KindOf(const RulesOutcome& outcome) {
  REQUIRE(std::holds_alternative<RulesRefused>(outcome));
  return std::get<RulesRefused>(outcome).error.kind;
}

TEST_CASE("an accepted edit is learned by another instance from the watch") {
  RunningStore store;
  Duty first(store.endpoint(), Duty::WatchOnly());
  Duty second(store.endpoint(), Duty::WatchOnly());
  second.Run([&] { return store.Count("watching") == 1; });
  const Revision revision = RevisionOf(first.Edit("1", ReplaceRules{kA}));
  first.RunUntilText(kA);
  second.RunUntilText(kA);
  CHECK(second.learned().back()->revision == revision);
}

TEST_CASE("a lost answer is read back and the change accepted once") {
  RunningStore store;
  Duty duty(store.endpoint());
  store.SetFaults({{"lose_answers", 1}});
  const Revision revision = RevisionOf(duty.Edit("1", ReplaceRules{kA}));
  CHECK(store.Count("/v3/kv/txn") == 1);
  duty.RunUntilText(kA);
  CHECK(duty.learned().back()->revision == revision);
  CHECK(RevisionOf(duty.Edit("1", ReplaceRules{kB})) == revision);
}

TEST_CASE("a change is refused before the store is touched") {
  RunningStore store;
  Duty duty(store.endpoint());
  CHECK(KindOf(duty.Edit("1", ReplaceRules{"nonsense\n"})) ==
        ErrorKind::kInvalidRules);
  CHECK(store.Count("/v3/kv/txn") == 0);
}

TEST_CASE("two racing operators lose nothing") {
  RunningStore store;
  Duty first(store.endpoint());
  Duty second(store.endpoint());
  const Revision base = RevisionOf(first.Edit("0", ReplaceRules{kA}));
  first.outcomes().clear();
  for (int i = 0; i < 5; ++i) {
    first.Send("first-" + std::to_string(i),
               AddRule{"route x" + std::to_string(i) + " path=/x" +
                       std::to_string(i) + "/*  # one"});
    second.Send("second-" + std::to_string(i),
                AddRule{"route y" + std::to_string(i) + " path=/y" +
                        std::to_string(i) + "/*  # two"});
  }
  first.Run([&] {
    second.Poll();
    return first.outcomes().size() + second.outcomes().size() == 10;
  });
  Revision last = base;
  for (Duty* duty : {&first, &second}) {
    for (const RulesOutcome& outcome : duty->outcomes()) {
      last = std::max(last, RevisionOf(outcome));
    }
  }
  Duty reader(store.endpoint());
  reader.Run([&] {
    return !reader.learned().empty() &&
           reader.learned().back()->revision == last;
  });
  CHECK(reader.learned().back()->rules.size() == 11);
}

TEST_CASE("edits based on an older revision are merged or shown") {
  RunningStore store;
  Duty duty(store.endpoint());
  const std::string theirs = "route a2 path=/a/*  # Ann\n";
  const std::string mine = "route a3 path=/a/*  # Abe\n";
  const Revision base = RevisionOf(duty.Edit("0", ReplaceRules{kA + kB}));
  static_cast<void>(
      RevisionOf(duty.Edit("1", ReplaceRules{theirs + kB, base})));
  const auto merged = duty.Edit("2", ReplaceRules{kA + kB + kC, base});
  REQUIRE(std::holds_alternative<RulesAccepted>(merged));
  CHECK(std::get<RulesAccepted>(merged).merged);
  duty.RunUntilText(theirs + kB + kC);
  const auto conflict = duty.Edit("3", ReplaceRules{mine + kB, base});
  CHECK(KindOf(conflict) == ErrorKind::kConflict);
  CHECK(std::get<RulesRefused>(conflict).conflicts.size() == 1);
  Duty reader(store.endpoint());
  reader.RunUntilText(theirs + kB + kC);
}

TEST_CASE("an instance that starts while the store is down learns later") {
  RunningStore store;
  {
    Duty writer(store.endpoint());
    static_cast<void>(RevisionOf(writer.Edit("0", ReplaceRules{kA})));
  }
  store.SetFaults({{"down", true}});
  Duty duty(store.endpoint());
  const auto calls = store.Count("/v3/kv/range");
  duty.Run([&] { return store.Count("/v3/kv/range") >= calls + 3; });
  CHECK(duty.learned().empty());
  store.SetFaults({{"down", false}});
  duty.RunUntilText(kA);
}

TEST_CASE("an edit outlasts a short outage of the store") {
  RunningStore store;
  Duty duty(store.endpoint());
  duty.Run([&] { return store.Count("watching") == 1; });
  store.SetFaults({{"down", true}});
  duty.Send("1", ReplaceRules{kA});
  const auto calls = store.Count("/v3/kv/range");
  duty.Run([&] { return store.Count("/v3/kv/range") >= calls + 3; });
  CHECK(duty.outcomes().empty());
  store.SetFaults({{"down", false}});
  duty.RunUntilText(kA);
  duty.Run([&] { return duty.outcomes().size() == 1; });
  static_cast<void>(RevisionOf(duty.outcomes().front()));
}

TEST_CASE("an edit while the store is down for long is refused plainly") {
  RunningStore store;
  store.SetFaults({{"down", true}});
  PlatformDutyOptions options = Duty::Quick();
  options.store.call_timeout = 100ms;
  options.edit_timeout = 300ms;
  Duty duty(store.endpoint(), options);
  const ErrorKind kind = KindOf(duty.Edit("1", ReplaceRules{kA}));
  const bool plain =
      kind == ErrorKind::kUnavailable || kind == ErrorKind::kTimeout;
  CHECK(plain);
}

TEST_CASE("a watch that has gone silent does not hold rules back") {
  RunningStore store;
  Duty duty(store.endpoint());
  Duty writer(store.endpoint());
  duty.Run([&] {
    writer.Poll();
    return store.Count("watching") == 2;
  });
  store.SetFaults({{"silence_open", true}});
  static_cast<void>(RevisionOf(writer.Edit("1", ReplaceRules{kA})));
  const auto watches = store.Count("/v3/watch");
  duty.RunUntilText(kA);
  duty.Run([&] {
    writer.Poll();
    return store.Count("/v3/watch") > watches;
  });
}

TEST_CASE("revisions rise when the key is removed and written anew") {
  RunningStore store;
  Duty duty(store.endpoint());
  const Revision first = RevisionOf(duty.Edit("1", ReplaceRules{kA}));
  duty.RunUntilText(kA);
  store.Call("/v3/kv/txn",
             {{"success",
               {{{"request_delete_range",
                  {{"key", EncodeBase64("/mimosagauge/rules")}}}}}}});
  Duty other(store.endpoint());  // Has never seen the first revision.
  const Revision second = RevisionOf(other.Edit("2", ReplaceRules{kB}));
  CHECK(second > first);
  duty.RunUntilText(kB);
}

TEST_CASE("a store that lost its newest rules does not revert those in force") {
  RunningStore store;
  Duty duty(store.endpoint());
  static_cast<void>(RevisionOf(duty.Edit("1", ReplaceRules{kA})));
  duty.RunUntilText(kA);
  const auto head =
      store.Call("/v3/kv/range", {{"key", EncodeBase64("/mimosagauge/rules")}});
  const Revision second =
      RevisionOf(duty.Edit("2", ReplaceRules{kB, std::nullopt, true}));
  duty.RunUntilText(kB);
  store.Call("/v3/kv/put", {{"key", EncodeBase64("/mimosagauge/rules")},
                            {"value", head.at("kvs").at(0).at("value")}});
  const auto reads = store.Count("/v3/kv/range");
  duty.Run([&] { return store.Count("/v3/kv/range") >= reads + 3; });
  CHECK(duty.Text() == kB);
  const Revision third =
      RevisionOf(duty.Edit("3", ReplaceRules{kC, std::nullopt, true}));
  CHECK(third > second);
  duty.RunUntilText(kC);
}

TEST_CASE("stored rules that do not hold are left aside") {
  RunningStore store;
  Duty duty(store.endpoint());
  static_cast<void>(RevisionOf(duty.Edit("1", ReplaceRules{kA})));
  duty.RunUntilText(kA);
  const std::string value =
      GENERATE("garbage", R"({"format":9,"revision":99,"changes":[]})",
               R"({"format":1,"revision":99,"changes":[]})");
  store.Call("/v3/kv/put", {{"key", EncodeBase64("/mimosagauge/rules")},
                            {"value", EncodeBase64(value)}});
  const auto reads = store.Count("/v3/kv/range");
  duty.Run([&] { return store.Count("/v3/kv/range") >= reads + 3; });
  CHECK(duty.Text() == kA);
  static_cast<void>(
      RevisionOf(duty.Edit("2", ReplaceRules{kB, std::nullopt, true})));
  duty.RunUntilText(kB);
}

}  // namespace
}  // namespace mimosagauge
