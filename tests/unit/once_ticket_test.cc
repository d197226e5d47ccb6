// Keys are told apart: bare, under a ticket, malformed, foreign.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "mimosagauge/impl/decisions/once/ticket.h"
#include "mimosagauge/impl/duties/common/hash.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;

AccountId Account() { return AccountId("county-club"); }

Ticket ExampleTicket() {
  return {{InstanceId("nairobi-a-1"), Incarnation{7}, 0xabcdef},
          milliseconds(600'000)};
}

std::vector<Authenticator> Secrets() {
  return {MakeAuthenticator("new"), MakeAuthenticator("old")};
}

KeyKind Classify(const std::string& key, const AccountId& account = Account()) {
  return ClassifyKey(Secrets(), account, IdempotencyKey(key));
}

std::string Issued(const std::string& secret) {
  const std::vector<Authenticator> secrets{MakeAuthenticator(secret)};
  return IssueTicket(secrets, ExampleTicket(), Account()).value();
}

TEST_CASE("a ticket is read back under every known secret") {
  const auto secret = GENERATE(as<std::string>{}, "new", "old");
  const KeyKind kind = Classify(Issued(secret) + ":order-1");
  REQUIRE(std::holds_alternative<TicketKey>(kind));
  CHECK(std::get<TicketKey>(kind).ticket == ExampleTicket());
}

TEST_CASE("a ticket that is not this account's is foreign") {
  const std::string ticket = Issued("new");
  const auto [key, account] = GENERATE_COPY(table<std::string, std::string>({
      {ticket + ":order-1", "academy"},
      {Issued("unknown") + ":order-1", "county-club"},
      {"t1:nairobi-a-2" + ticket.substr(14) + ":order-1", "county-club"},
      {"t2:of-a-later-version", "county-club"},
  }));
  CHECK(std::holds_alternative<UnverifiedTicketKey>(
      Classify(key, AccountId(account))));
}

TEST_CASE("a key that no instance accepts is malformed") {
  const auto key = GENERATE_COPY(values<std::string>(
      {"", std::string(256, 'k'), "t1:", Issued("new"), Issued("new") + ":",
       "t1:a:x:1:1:00:order", "t1:a:1:1:ffffffffffffffff:00:order"}));
  CHECK(std::holds_alternative<MalformedKey>(Classify(key)));
}

TEST_CASE("other keys are bare") {
  const auto key =
      GENERATE(as<std::string>{}, "order-1", "t", "t:1", "tx1:a", "1t:a");
  CHECK(std::holds_alternative<BareKey>(Classify(key)));
}

TEST_CASE("an instance whose name does not fit gives no tickets") {
  const auto name =
      GENERATE(values<std::string>({"", "a:b", std::string(65, 'a')}));
  Ticket ticket = ExampleTicket();
  ticket.owner.instance = InstanceId(name);
  CHECK(IssueTicket(Secrets(), ticket, Account()).has_error());
}

TEST_CASE("accounts and keys do not run into each other") {
  const HashFunction hash = MakeHashFunction();
  CHECK(FingerprintOf(hash, AccountId("ab"), IdempotencyKey("c")) !=
        FingerprintOf(hash, AccountId("a"), IdempotencyKey("bc")));
}

}  // namespace
}  // namespace mimosagauge
