// Instances prove themselves to each other before anything passes a link.

#include <catch2/catch.hpp>
#include <string>

#include "tests/support/link_certificates.h"
#include "tests/support/link_peer.h"

namespace mimosagauge::testing {
namespace {

using Naming = LinkAuthority::Naming;

constexpr char kNear[] = "nairobi-a-1";
constexpr char kFar[] = "mombasa-a-1";
constexpr long kExpired = -60;  // NOLINT(google-runtime-int): OpenSSL

[[nodiscard]] Settings WithTls(const std::string& instance,
                               std::optional<LinkTlsSettings> tls) {
  Settings settings = LinkSettings(instance, "nairobi-a");
  settings.link_tls = std::move(tls);
  return settings;
}

[[nodiscard]] std::uint64_t Failed(LinkPeer& peer) {
  std::uint64_t failed = 0;
  peer.Call([&](LinkDuty& duty) {
    failed = duty.server().counters().failed_connections;
  });
  return failed;
}

[[nodiscard]] std::uint64_t FailedDials(LinkPeer& peer) {
  std::uint64_t failed = 0;
  peer.Call([&](LinkDuty& duty) {
    failed = duty.client().counters().failed_connections;
  });
  return failed;
}

TEST_CASE("certificates of one authority let instances talk") {
  const auto naming = GENERATE(Naming::kAlternativeName, Naming::kCommonName);
  const LinkAuthority authority;
  LinkPeer far(WithTls(kFar, authority.Issue(kFar, naming)));
  REQUIRE(far.Start());
  Settings settings = WithTls(kNear, authority.Issue(kNear, naming));
  settings.peers = {PeerAt(kFar, far.port())};
  LinkPeer near(settings);
  REQUIRE(near.Start());
  REQUIRE(near.WaitUp(kFar));
  const std::string body(100000, 'b');
  near.Do(LinkAttempt(1, kFar, body));
  const auto arrived = far.Wait<RequestArrived>();
  REQUIRE(arrived);
  CHECK(*arrived->body == body);
  far.Do(SendAnswerHead{arrived->number, {200, {}, {}}});
  far.Do(SendAnswerBody{arrived->number, "whole", std::nullopt});
  far.Do(SendAnswerEnd{arrived->number});
  CHECK(near.WaitOf<AttemptEnded>(1));
}

TEST_CASE("an instance that does not prove itself is refused") {
  const LinkAuthority authority;
  const LinkAuthority stranger;
  struct Case {
    const char* what;
    std::optional<LinkTlsSettings> near;
    LinkTlsSettings far;
    bool far_refuses = true;  // Else the dialling side does.
  };
  LinkTlsSettings mixed = stranger.Issue(kNear);
  mixed.authority_file = authority.Issue(kNear).authority_file;
  const auto good = authority.Issue(kFar);
  const std::vector<Case> cases = {
      {"certificate of another authority", mixed, good},
      {"certificate of another instance", authority.Issue("kisumu-a-1"), good},
      {"name in another case", authority.Issue("NAIROBI-A-1"), good},
      {"expired certificate",
       authority.Issue(kNear, Naming::kAlternativeName, kExpired), good},
      {"no TLS at all", std::nullopt, good},
      {"the other side is not the one meant", authority.Issue(kNear),
       authority.Issue("kisumu-a-1"), false},
  };
  for (const Case& one : cases) {
    CAPTURE(one.what);
    LinkPeer far(WithTls(kFar, one.far));
    REQUIRE(far.Start());
    Settings settings = WithTls(kNear, one.near);
    settings.peers = {PeerAt(kFar, far.port())};
    LinkPeer near(settings);
    REQUIRE(near.Start());
    CHECK(WaitUntil([&] { return FailedDials(near) >= 2; }));
    CHECK(WaitUntil([&] { return Failed(far) >= 2 || !one.far_refuses; }));
    near.Do(LinkAttempt(1, kFar, "x"));
    const auto failed = near.WaitOf<AttemptFailed>(1);
    REQUIRE(failed);
    CHECK(failed->run == RunState::kNotRun);
    CHECK(near.All<LinkChanged>().empty());
    CHECK(far.All<RequestArrived>().empty());
  }
}

TEST_CASE("settings that would leave links open are refused at the start") {
  SECTION("no TLS beyond loopback") {
    Settings settings = LinkSettings(kNear, "nairobi-a");
    settings.peers = {{InstanceId{kFar}, {}, {}, {"10.0.0.1", 7000}, {}}};
    LinkPeer near(settings);
    const auto started = near.Start();
    REQUIRE_FALSE(started);
    CHECK(started.error().kind == ErrorKind::kInvalidSettings);
    CHECK(started.error().remedy.find("link_tls") != std::string::npos);
  }
  SECTION("files that cannot be read") {
    LinkPeer near(WithTls(kNear, LinkTlsSettings{"none", "none", "none"}));
    const auto started = near.Start();
    REQUIRE_FALSE(started);
    CHECK(started.error().kind == ErrorKind::kInvalidSettings);
  }
  SECTION("a key that does not belong to the certificate") {
    const LinkAuthority authority;
    LinkTlsSettings tls = authority.Issue(kNear);
    tls.key_file = authority.Issue(kNear).key_file;
    LinkPeer near(WithTls(kNear, tls));
    REQUIRE_FALSE(near.Start());
  }
}

TEST_CASE("an instance named like this one is refused") {
  LinkPeer far(LinkSettings(kFar, "mombasa-a"));
  REQUIRE(far.Start());
  Settings settings = LinkSettings(kFar, "mombasa-a");
  settings.peers = {PeerAt("kisumu-a-1", far.port())};
  LinkPeer near(settings);
  REQUIRE(near.Start());
  CHECK(WaitUntil([&] { return Failed(far) >= 1; }));
  CHECK(near.All<LinkChanged>().empty());
}

TEST_CASE("the newest version that both sides speak is used") {
  struct Case {
    std::uint8_t near_min, near_max, far_min, far_max;
    std::uint8_t agreed;  // 0: none
  };
  const auto one = GENERATE(values<Case>({{1, 2, 1, 2, 2},
                                          {1, 1, 1, 2, 1},
                                          {1, 2, 1, 1, 1},
                                          {2, 2, 1, 2, 2},
                                          {2, 2, 1, 1, 0},
                                          {1, 1, 2, 2, 0}}));
  CAPTURE(one.near_min, one.near_max, one.far_min, one.far_max);
  LinkTimings far_timings = ShortLinkTimings();
  far_timings.min_version = one.far_min;
  far_timings.max_version = one.far_max;
  LinkPeer far(LinkSettings(kFar, "mombasa-a"), far_timings);
  REQUIRE(far.Start());
  LinkTimings timings = ShortLinkTimings();
  timings.min_version = one.near_min;
  timings.max_version = one.near_max;
  Settings settings = LinkSettings(kNear, "nairobi-a");
  settings.peers = {PeerAt(kFar, far.port())};
  LinkPeer near(settings, timings);
  REQUIRE(near.Start());
  if (one.agreed == 0) {
    CHECK(WaitUntil([&] { return Failed(far) >= 1; }));
    CHECK(near.All<LinkChanged>().empty());
    return;
  }
  REQUIRE(near.WaitUp(kFar));
  near.Do(LinkAttempt(1, kFar, "x"));
  const auto arrived = far.Wait<RequestArrived>();
  REQUIRE(arrived);
  far.Do(SendAnswerHead{arrived->number, {200, {}, {}}});
  far.Do(SendAnswerBody{arrived->number, "data: 1\n\n", "1"});
  far.Do(SendAnswerEnd{arrived->number});
  REQUIRE(near.WaitOf<AttemptEnded>(1));
  CHECK(near.Body(1) == "data: 1\n\n");
  // Version 1 has no event ids, so such a stream cannot be resumed.
  const auto parts = near.All<AttemptBodyReceived>();
  REQUIRE(parts.size() == 1);
  CHECK(parts[0].last_event_id.has_value() == (one.agreed == 2));
}

}  // namespace
}  // namespace mimosagauge::testing
