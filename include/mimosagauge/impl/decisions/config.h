// What the decisions of one instance are told at the start.

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
#include "mimosagauge/impl/decisions/engine_load.h"
#include "mimosagauge/impl/decisions/once/fingerprint.h"
#include "mimosagauge/impl/decisions/once/key_owner.h"

namespace mimosagauge {

/// \brief What kind of server an upstream is.
enum class UpstreamKind : std::uint8_t {
  kEngine,  ///< A model engine: chat completions, streams.
  kPlain,   ///< A plain HTTP service.
};

/// \brief An upstream of this instance's region.
struct UpstreamConfig {
  UpstreamId id;
  ServiceId service;
  ZoneId zone;
  std::vector<ModelId> models;  ///< Empty for plain services.
  std::size_t concurrency = 8;
  bool honours_resume = false;
  Endpoint endpoint{};        ///< Of one that was learned at run time.
  Incarnation incarnation{};  ///< Its start; zero: not told.
};

/// \brief Another instance.
struct PeerConfig {
  InstanceId id;
  RegionId region;
  ZoneId zone;
  Endpoint entry;
  Endpoint link{};  ///< Where it takes links; of one learned at run time.
};

/// \brief Bounds that the decisions keep.
struct GatewayLimits {
  std::size_t requests = 4096;  ///< In progress at once.
  std::size_t queued = 1024;    ///< Of them, waiting for an upstream.
  std::size_t attempts = 3;     ///< For one request, the first included.
  Bytes stream_window = Kibibytes(16);
  Duration default_due = std::chrono::seconds(60);
  Duration drain = std::chrono::seconds(30);
  /// From the start of a graceful shutdown until callers are refused: the
  /// directory, the links and the callers learn of it meanwhile.
  Duration leave_notice = std::chrono::seconds(3);
  /// An answer that has begun may run past its due time by this; none: to its
  /// end.
  std::optional<Duration> due_grace;
  /// How much later than the best another upstream may be expected to begin
  /// and still be chosen, so that instances do not all choose the same one.
  Duration placement_spread{};
  /// Extra arrivals at a service for each of its requests, over all instances.
  double retry_ratio = 0.1;
  /// Extra arrivals at a service beyond that ratio in any window, over all
  /// instances.
  double retry_slack = 10;
};

/// \brief The decisions' settings.
struct GatewayConfig {
  InstanceId instance;
  RegionId region;
  ZoneId zone;
  Endpoint entry;
  std::vector<UpstreamConfig> upstreams;
  std::vector<PeerConfig> peers;
  KeyOwner self;  ///< This start of the instance.
  /// Tell keys under tickets; the first signs. Empty: no tickets.
  std::vector<Authenticator> ticket_secrets;
  HashFunction hash;  ///< Never empty where keyed requests come in.
  EngineSpeeds speeds;
  GatewayLimits limits;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_CONFIG_H_
