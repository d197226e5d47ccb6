// The identifiers of the product, one strong type each.

#ifndef MIMOSAGAUGE_IMPL_CORE_IDS_H_
#define MIMOSAGAUGE_IMPL_CORE_IDS_H_

#include "mimosagauge/impl/core/strong_id.h"

namespace mimosagauge {

using RegionId = StrongName<struct RegionTag>;
using ZoneId = StrongName<struct ZoneTag>;
using InstanceId = StrongName<struct InstanceTag>;
using UpstreamId = StrongName<struct UpstreamTag>;
using ServiceId = StrongName<struct ServiceTag>;
/// A route of the operators' configuration.
using RouteId = StrongName<struct RouteTag>;
using ModelId = StrongName<struct ModelTag>;
using AccountId = StrongName<struct AccountTag>;
using IdempotencyKey = StrongName<struct IdempotencyKeyTag>;
/// 128 random bits as 32 hexadecimal digits; the same on every hop.
using RequestId = StrongName<struct RequestIdTag>;
/// SHA-256 of a request's method, target and body, 64 hexadecimal digits.
using ContentDigest = StrongName<struct ContentDigestTag>;

/// Version of the software that an upstream runs; versions have no order.
using SoftwareVersion = StrongName<struct SoftwareVersionTag>;

/// A request as one process numbers it; never reused within a process.
using RequestNumber = StrongNumber<struct RequestNumberTag>;
/// One try to have a request run by an upstream or another instance; never
/// reused within a process.
using AttemptNumber = StrongNumber<struct AttemptNumberTag>;
/// Revision of the rules; only rises.
using Revision = StrongNumber<struct RevisionTag>;
/// Start of an instance or an upstream; a later start has a greater number.
using Incarnation = StrongNumber<struct IncarnationTag>;
/// A hash of an upstream's id, which identifies the upstream in digests because
/// it is shorter than the id.
using UpstreamHash = StrongNumber<struct UpstreamHashTag>;
/// Carried by orders to engines; a greater one supersedes.
using FencingNumber = StrongNumber<struct FencingNumberTag>;
/// A change to the rules, as its author's process numbers it.
using ChangeId = StrongName<struct ChangeIdTag>;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_CORE_IDS_H_
