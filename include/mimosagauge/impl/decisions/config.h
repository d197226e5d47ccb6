// Configuration of the gateway state machine of one instance, fixed at its
// start.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_CONFIG_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "mimosagauge/impl/core/endpoint.h"
#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/core/units.h"
#include "mimosagauge/impl/decisions/allowance/bucket.h"
#include "mimosagauge/impl/decisions/engine_load.h"
#include "mimosagauge/impl/decisions/hedging/hedging.h"
#include "mimosagauge/impl/decisions/once/fingerprint.h"
#include "mimosagauge/impl/decisions/once/key_owner.h"

namespace mimosagauge {

/// \brief The kind of server that an upstream is.
enum class UpstreamKind : std::uint8_t {
  kEngine,  ///< A model engine: serves chat completions and streams.
  kPlain,   ///< A plain HTTP service.
};

/// \brief An upstream in the region of this instance.
struct UpstreamConfig {
  UpstreamId id;
  ServiceId service;
  ZoneId zone;
  /// Models that it serves; empty for plain services.
  std::vector<ModelId> models;
  std::size_t concurrency = 8;  ///< Requests that it can run at once.
  bool honours_resume = false;  ///< It can continue a broken event stream.
  Endpoint endpoint{};          ///< Set only if it was registered at run time.
  /// Identifies the start of its process; zero: unknown.
  Incarnation incarnation{};
  SoftwareVersion software{};  ///< Empty: not known.
};

/// \brief Another instance and its addresses.
struct PeerConfig {
  InstanceId id;
  RegionId region;
  ZoneId zone;
  Endpoint entry;   ///< Where it accepts callers.
  Endpoint link{};  ///< Where it accepts links; set only if the instance was
                    ///< registered at run time.
  Bytes memory{};   ///< Of its process; zero: not known.
};

/// \brief Whether starts of requests at engines are coordinated in the region.
enum class PlacementMode : std::uint8_t {
  kNever,   ///< Each instance places its requests by its own estimates.
  kAuto,    ///< At services whose engines have fewer slots than the region has
            ///< instances.
  kAlways,  ///< At all services with engines.
};

/// \brief Settings of the coordinated placement.
struct PlacementSettings {
  PlacementMode coordinated = PlacementMode::kNever;
  /// Time until a request is placed locally without an answer of the
  /// coordinator.
  Duration answer_within = std::chrono::milliseconds(40);
  /// Where requests follow a plan for the traffic between regions; auto: at
  /// services whose placement is coordinated.
  PlacementMode plan_regions = PlacementMode::kNever;
};

/// \brief Limits of the gateway state machine.
struct GatewayLimits {
  std::size_t requests = 4096;  ///< Requests in progress at once.
  std::size_t queued = 1024;    ///< Of those, requests waiting for an upstream.
  std::size_t attempts = 3;  ///< Attempts for one request, including the first.
  /// Body bytes of one answer that may be sent and not yet consumed.
  Bytes stream_window = Kibibytes(16);
  /// Time until an answer is due, where the rules do not set one.
  Duration default_due = std::chrono::seconds(60);
  /// From the start of a graceful shutdown until the requests still in progress
  /// are cancelled.
  Duration drain = std::chrono::seconds(30);
  /// From the start of a graceful shutdown until requests are refused. In this
  /// time the directory, the linked instances and the callers are notified.
  Duration leave_notice = std::chrono::seconds(3);
  /// How long an answer that has begun may continue after its due time; empty:
  /// until it ends.
  std::optional<Duration> due_grace;
  /// How much later than at the best upstream an answer may be expected to
  /// begin at another one that is still chosen, so that the instances do not
  /// all choose the same upstream.
  Duration placement_spread{};
  /// Retries allowed at a service for each of its requests, over all instances.
  double retry_ratio = 0.1;
  /// Retries allowed at a service beyond that ratio in any time window, over
  /// all instances.
  double retry_slack = 10;
  HedgingConfig hedging;
};

/// \brief Settings of the gateway state machine.
struct GatewayConfig {
  InstanceId instance;
  RegionId region;
  ZoneId zone;
  Endpoint entry;  ///< Where this instance accepts callers.
  std::vector<UpstreamConfig> upstreams;
  std::vector<PeerConfig> peers;
  KeyOwner self;  ///< This process of the instance, as an owner of keys.
  /// Verify keys that were issued with tickets; the first one also signs new
  /// tickets. Empty: tickets are not used.
  std::vector<Authenticator> ticket_secrets;
  HashFunction hash;  ///< Must be set if requests with idempotency keys are
                      ///< accepted.
  EngineSpeeds speeds;
  GatewayLimits limits;
  Bytes memory{};  ///< Of this process; zero: not known.
  PlacementSettings placement{};
  /// Time after which a key that the operators removed must be refused, also
  /// where the store cannot be reached; empty: strict revocation is off.
  std::optional<Duration> strict_revocation;
  AllowanceSettings allowances;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_CONFIG_H_
