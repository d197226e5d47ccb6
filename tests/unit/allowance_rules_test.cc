// The rules that the bound of an allowance rests on, one by one: who lends,
// what a bucket gives, and until when a lent amount is valid.

#include <catch2/catch.hpp>

#include "mimosagauge/impl/decisions/allowance/allowances.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
const InstanceId kSelf{"b"};
const AccountHash kAccount = HashAccountId(AccountId{"account"});

// Guards against two lenders in one region.
TEST_CASE("only the oldest registration of a region lends, under its lease") {
  struct Case {
    const char* what;
    std::vector<Registration> list;
    std::uint64_t revision;
    std::uint64_t lease;
    bool leaving;
    bool lends;
  };
  const RegionId own{"own"};
  const RegionId other{"other"};
  const Case one = GENERATE_COPY(values<Case>({
      {"alone", {{kSelf, own, 20, 20}}, 20, 7, false, true},
      {"older in another region",
       {{kSelf, own, 20, 20}, {InstanceId{"a"}, other, 10, 10}},
       20,
       7,
       false,
       true},
      {"younger in its region",
       {{kSelf, own, 20, 20}, {InstanceId{"a"}, own, 21, 21}},
       21,
       7,
       false,
       true},
      {"older in its region",
       {{kSelf, own, 20, 20}, {InstanceId{"a"}, own, 10, 10}},
       20,
       7,
       false,
       false},
      {"of unknown age in its region",
       {{kSelf, own, 20, 20}, {InstanceId{"a"}, own, 0, 10}},
       20,
       7,
       false,
       false},
      {"entry of an earlier process",
       {{kSelf, own, 10, 20}},
       20,
       7,
       false,
       false},
      {"own age unknown", {{kSelf, own, 0, 0}}, 20, 7, false, false},
      {"store not read up to the entry",
       {{kSelf, own, 20, 20}},
       19,
       7,
       false,
       false},
      {"entry of an earlier lease",
       {{kSelf, own, 20, 20}},
       20,
       8,
       false,
       false},
      {"no lease", {{kSelf, own, 20, 20}}, 20, 0, false, false},
      {"leaving", {{kSelf, own, 20, 20}}, 20, 7, true, false},
      {"not registered", {}, 20, 7, false, false},
  }));
  CAPTURE(one.what);
  SeniorityFacts facts;
  facts.registrations = {one.list, one.revision, 7};
  facts.lease = one.lease;
  facts.lease_end = kStart + seconds(4);
  facts.leaving = one.leaving;
  const auto until = LendsUntil(facts, kSelf, seconds(4));
  CHECK(until.has_value() == one.lends);
  CHECK((!until || *until < facts.lease_end));
}

// Guards against a bucket that is forgotten, or whose terms change, and comes
// back with more than it had.
TEST_CASE("a bucket gives no more than its rate and capacity") {
  const BucketTerms terms{100, 50};
  AllowanceBucket bucket = MakeBucket(terms, kStart, kStart);
  CHECK(TakeUpTo(bucket, 10, 0, kStart) == 0);
  CHECK(TakeUpTo(bucket, 100, 0, kStart + seconds(9)) == Approx(50));
  CHECK_FALSE(IsFull(bucket, kStart + seconds(9) + milliseconds(499)));
  CHECK(IsFull(bucket, kStart + seconds(9) + milliseconds(500)));
  SetTerms(bucket, {1000, 20}, kStart + seconds(10));
  CHECK(bucket.level == Approx(20));
  SetTerms(bucket, {1000, 500}, kStart + seconds(10));
  CHECK(bucket.level == Approx(20));
}

[[nodiscard]] AllowanceBook BookOf(double rate) {
  AllowanceBook book;
  book.settings.regions = 1;
  book.settings.slack = 0;
  book.settings.reserve = 0;
  book.limits[kAccount] = {AllowanceUnit::kTokens, rate, rate, 1};
  return book;
}

[[nodiscard]] AllowanceGrant Ask(Lender& lender, const AllowanceBook& book,
                                 double need, TimePoint now,
                                 TimePoint lends_until) {
  LenderOutput output;
  AllowanceRequest request;
  request.account = kAccount;
  request.nonce = AllowanceNonce{1};
  request.need = need;
  HandleRequest(lender, book, lends_until, InstanceId{"a"}, request, now,
                output);
  REQUIRE(output.grants.size() == 1);
  return output.grants.front().second;
}

// Guards against a lender that succeeds another and lends again what that one
// has lent.
TEST_CASE("a new lender starts with empty buckets") {
  const AllowanceBook book = BookOf(100);
  const TimePoint until = kStart + seconds(60);
  Lender lender;
  StartLending(lender, kStart);
  CHECK(Ask(lender, book, 50, kStart, until).outcome ==
        GrantOutcome::kExceeded);
  CHECK(Ask(lender, book, 50, kStart + seconds(2), until).outcome ==
        GrantOutcome::kGranted);
  StartLending(lender, kStart + seconds(2));
  const AllowanceGrant refusal =
      Ask(lender, book, 50, kStart + seconds(2), until);
  CHECK(refusal.outcome == GrantOutcome::kExceeded);
  CHECK(Seconds(refusal.retry_after) == Approx(0.5));
}

// Guards against amounts that are used after the lender's lease.
TEST_CASE("a lent amount does not outlive the lender's lease") {
  const AllowanceBook book = BookOf(100);
  Lender lender;
  StartLending(lender, kStart);
  const TimePoint now = kStart + seconds(2);
  CHECK(Ask(lender, book, 5, now, now + seconds(1)).lifetime ==
        milliseconds(500));
  CHECK(Ask(lender, book, 5, now, now + milliseconds(30)).lifetime ==
        milliseconds(30));
}

// Guards against a changed configuration that gives an account its burst again.
TEST_CASE("a changed allowance takes effect at once and gives nothing extra") {
  struct Case {
    double new_rate;
    bool granted;  // 80 units, one second after all were used.
  };
  const Case one = GENERATE(values<Case>({{100, true}, {40, false}}));
  const AllowanceBook book = BookOf(100);
  const AllowanceBook changed = BookOf(one.new_rate);
  const TimePoint now = kStart + seconds(5);
  const TimePoint until = kStart + seconds(60);
  Lender lender;
  StartLending(lender, kStart);
  CHECK(Ask(lender, book, 100, now, until).outcome == GrantOutcome::kGranted);
  ChangeAllowances(lender, book, changed, now);
  CHECK(Ask(lender, changed, 10, now, until).outcome ==
        GrantOutcome::kExceeded);
  const bool granted =
      Ask(lender, changed, 80, now + seconds(1), until).outcome ==
      GrantOutcome::kGranted;
  CHECK(granted == one.granted);
}

// Guards against amounts used after their lifetime because the response was
// late, arrived twice, or came from another instance.
TEST_CASE("a borrowed amount expires counted from when it was requested") {
  struct Case {
    int answered_ms;
    int copies;
    const char* from;
    int used_ms;
    bool usable;
  };
  const Case one = GENERATE(values<Case>({{10, 1, "l", 499, true},
                                          {10, 1, "l", 500, false},
                                          {499, 1, "l", 499, true},
                                          {700, 1, "l", 700, false},
                                          {10, 2, "l", 499, true},
                                          {10, 1, "x", 499, false}}));
  CAPTURE(one.answered_ms, one.copies, one.from, one.used_ms);
  AllowanceBook book = BookOf(100);
  const std::vector<InstanceId> lenders{InstanceId{"l"}};
  Borrower borrower;
  borrower.started = kStart;
  borrower.next_nonce = AllowanceNonce{5};
  BorrowerOutput output;
  const auto at = [&](int ms) {
    return BorrowerContext{book, lenders, lenders[0],
                           kStart + milliseconds(ms)};
  };
  const auto decision =
      AdmitRequest(borrower, at(0), kAccount, 10, RequestNumber{2}, output);
  REQUIRE(decision.verdict == AllowanceVerdict::kWaiting);
  REQUIRE(output.requests.size() == 1);
  CancelHeld(borrower, kAccount, RequestNumber{2});
  AllowanceGrant grant;
  grant.account = kAccount;
  grant.nonce = output.requests[0].second.nonce;
  grant.amount = 10;
  grant.lifetime = seconds(9);  // A faulty lender's; the usual one applies.
  for (int i = 0; i < one.copies; ++i) {
    HandleGrant(borrower, at(one.answered_ms), InstanceId{one.from}, grant,
                output);
  }
  CHECK(UsableUnits(borrower, at(one.used_ms).now) ==
        Approx(one.usable ? 10 : 0));
}

// Guards against an instance that borrows ahead only once, and then asks a
// lender for each request.
TEST_CASE("a busy instance borrows ahead again after each grant") {
  constexpr int kRequests = 100;
  const AllowanceBook book = BookOf(1e6);
  const std::vector<InstanceId> lenders{InstanceId{"l"}};
  Borrower borrower;
  borrower.started = kStart;
  borrower.next_nonce = AllowanceNonce{5};
  int asked = 0;
  int asked_ahead = 0;
  for (int i = 0; i < kRequests; ++i) {
    const BorrowerContext context{book, lenders, lenders[0],
                                  kStart + milliseconds(10) * i};
    BorrowerOutput output;
    static_cast<void>(AdmitRequest(borrower, context, kAccount, 10,
                                   RequestNumber{2}, output));
    for (const auto& [to, request] : output.requests) {
      ++asked;
      asked_ahead += request.ahead > 0 ? 1 : 0;
      AllowanceGrant grant;
      grant.account = kAccount;
      grant.nonce = request.nonce;
      grant.amount = request.need + request.ahead;
      grant.lifetime = milliseconds(500);
      HandleGrant(borrower, context, to, grant, output);
    }
  }
  CHECK(asked_ahead > 5);
  CHECK(asked < kRequests / 2);
  CHECK(borrower.counters.admitted == kRequests);
}

}  // namespace
}  // namespace mimosagauge
