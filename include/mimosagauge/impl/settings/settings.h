// What a process is: the settings of one instance.

#ifndef MIMOSAGAUGE_IMPL_SETTINGS_SETTINGS_H_
#define MIMOSAGAUGE_IMPL_SETTINGS_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mimosagauge/impl/core/endpoint.h"
#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/core/units.h"
#include "mimosagauge/impl/decisions/config.h"

namespace mimosagauge {

/// \brief What an engine does about fencing numbers in orders.
enum class FencingSupport : std::uint8_t { kRefuses, kIgnores };

/// \brief One upstream of this instance's region.
struct UpstreamSettings {
  UpstreamId id;
  ServiceId service;
  ZoneId zone;
  Endpoint endpoint;
  UpstreamKind kind = UpstreamKind::kPlain;
  std::vector<ModelId> models;  ///< Empty for plain services.
  std::size_t concurrency = 8;  ///< Requests it runs at once, to begin with.
  bool honours_priority = false;
  bool honours_resume = false;  ///< Continues a stream after Last-Event-ID.
  bool checks_orderer = false;
  FencingSupport fencing = FencingSupport::kIgnores;
};

/// \brief What kind of platform an instance runs on.
enum class PlatformDialect : std::uint8_t {
  kOwn,    ///< The product's own interface; upstreams stand in the settings.
  kFleet,  ///< Upstreams, instances and routes are learned from the store.
};

/// \brief Another instance, known from the start.
struct PeerSettings {
  InstanceId id;
  RegionId region;
  ZoneId zone;
  Endpoint peer;   ///< Where it listens for other instances.
  Endpoint entry;  ///< Where it listens for callers.
};

/// \brief A client account and the token that names it.
struct AccountSettings {
  AccountId id;
  std::string token;
  RegionId home;  ///< Empty: none.
};

/// \brief A region and its availability zones.
struct RegionSettings {
  RegionId id;
  std::vector<ZoneId> zones;  ///< Never empty; no zone is in two regions.
};

/// \brief What two regions share between them.
struct RegionLinkSettings {
  RegionId a;  ///< Differs from `b`; a pair is given once.
  RegionId b;
  BitsPerSecond width;  ///< Each way, for all traffic of both.
  Duration latency{};   ///< One way.
};

/// \brief How much each measure counts in the choice of a region.
struct PolicySettings {
  double cost_weight = 1;  ///< Of bytes between regions; at least 0.
  double tail_weight = 1;  ///< Of tail latency; at least 0, not both 0.
};

/// \brief A service-level objective, for the report on its burn.
struct ObjectiveSettings {
  ServiceId service;
  std::optional<std::uint8_t> priority;  ///< Empty: all of the service.
  Share target;        ///< Of requests answered within `latency`; below 1.
  Duration latency{};  ///< From entry to the end of the answer.
};

/// \brief Certificate, key and authority for links between instances.
struct LinkTlsSettings {
  std::string certificate_file;
  std::string key_file;
  std::string authority_file;
};

/// \brief What all instances together may spend on retries at one service.
struct RetrySettings {
  double ratio = 0.1;  ///< Retries for each first attempt.
  double slack = 10;   ///< Beyond that, in any window.
};

/// \brief How soon a key that the operators removed is refused.
struct RevocationSettings {
  /// At every instance, also where the store cannot be reached; empty: an
  /// instance without the store goes on accepting the keys that it knows.
  std::optional<Duration> strict;
};

/// \brief How the allowances of accounts are enforced over all instances.
struct AllowanceSectionSettings {
  Duration window = AllowanceSettings{}.window;  ///< At least 1 s.
  /// Part of the allowance by which a window may exceed it; above 0.
  double excess = AllowanceSettings{}.excess - 1;
  double slack = AllowanceSettings{}.slack;      ///< Tokens; at least 0.
  double reserve = AllowanceSettings{}.reserve;  ///< From 0 to below 1.
};

/// \brief Second attempts of requests whose answers are late.
struct HedgingSettings {
  Share limit;  ///< Of the first attempts of a service; zero: none.
  Share percentile{HedgingConfig{}.percentile};
  Duration min_delay = HedgingConfig{}.min_delay;
};

/// \brief What is assumed of upstreams until their answers show it.
struct EngineSettings {
  double prompt_tokens_per_ms = EngineSpeeds{}.prompt_tokens_per_ms;
  Duration first_token = EngineSpeeds{}.first_token;
};

/// \brief Bounds of one instance.
struct LimitSettings {
  std::size_t connections = 12000;
  std::size_t requests = 4096;  ///< In progress at once.
  std::size_t queued = 1024;    ///< Of them, waiting for an upstream.
  Bytes header = Kibibytes(16);
  Bytes body = Kibibytes(8192);
  Bytes stream_window =
      Kibibytes(16);  ///< Unacknowledged answer bytes a stream.
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(120);
  Duration default_due = std::chrono::seconds(60);
  Duration silence = std::chrono::seconds(10);  ///< Upstream says nothing.
  Duration drain = std::chrono::seconds(30);
  Duration leave_notice = std::chrono::seconds(3);
  /// Until a connection to an upstream is up.
  Duration connect = std::chrono::seconds(3);
  /// Until a connection whose bytes the other side does not acknowledge is
  /// given up.
  Duration unacknowledged = std::chrono::seconds(10);
  /// An answer that has begun may run that much past its due time; empty: to
  /// its end.
  std::optional<Duration> due_grace;
  Bytes memory;  ///< Of the process; zero: not known.
};

/// \brief The settings of one instance, checked.
struct Settings {
  InstanceId instance;
  RegionId region;
  ZoneId zone;
  Endpoint entry;  ///< Listens here for callers.
  Endpoint peer;   ///< Listens here for other instances.
  /// Listens here for operators; not at all where it has no address.
  Endpoint operators;
  /// Listen here for questions about readiness, for the directory and for
  /// metrics; empty: the callers' listener answers them.
  std::optional<Endpoint> ready;
  std::optional<Endpoint> directory;
  std::optional<Endpoint> metrics;
  PlatformDialect dialect = PlatformDialect::kOwn;
  Duration session = std::chrono::seconds(4);  ///< Lease of a registration.
  /// Time within which a change in the store takes effect.
  Duration change_within = std::chrono::seconds(3);
  bool one_thread = false;   ///< All duties share one event loop.
  bool plain_links = false;  ///< Links need no TLS: the network is trusted.
  RetrySettings retries;
  RevocationSettings revocation;
  /// Empty: allowances are not enforced.
  std::optional<AllowanceSectionSettings> allowances;
  HedgingSettings hedging;
  EngineSettings engines;
  PlacementSettings placement;
  std::string operator_token;
  /// Shared by all instances; signs the tickets of idempotency keys. Empty: no
  /// tickets.
  std::string ticket_secret;
  std::vector<Endpoint> store;  ///< The platform's key-value service.
  std::string store_prefix = "/mimosagauge/";
  std::vector<Endpoint> instance_list;  ///< The platform's; may be empty.
  std::vector<RegionSettings> regions;
  std::vector<RegionLinkSettings> links;  ///< All pairs of regions, or none.
  PolicySettings policy;
  std::vector<ObjectiveSettings> objectives;
  std::optional<LinkTlsSettings> link_tls;
  std::vector<AccountSettings> accounts;
  std::vector<PeerSettings> peers;
  std::vector<UpstreamSettings> upstreams;
  LimitSettings limits;
  std::string log_level = "info";
};

/// \brief A fault in a settings file, by place.
struct SettingsFault {
  std::string file;
  std::uint32_t line = 0;  ///< From 1.
  std::string message;
  std::string remedy;
};

/// Largest settings text.
inline constexpr Bytes kMaxSettingsText = Kibibytes(8192);

/// \brief Checks a settings text whole.
/// \param text YAML.
/// \param file Its name, for the faults.
/// \returns The settings; every fault is appended to `faults`, and the
/// settings hold only when none was.
[[nodiscard]] Settings ParseSettings(const std::string& text,
                                     const std::string& file,
                                     std::vector<SettingsFault>& faults);

/// \brief Reads and checks a settings file.
[[nodiscard]] Settings LoadSettings(const std::string& file,
                                    std::vector<SettingsFault>& faults);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_SETTINGS_SETTINGS_H_
