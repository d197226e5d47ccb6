// Hashes that identify upstreams in load digests.

#include "mimosagauge/impl/decisions/load_digest.h"

#include "mimosagauge/impl/decisions/rendezvous.h"

namespace mimosagauge {

UpstreamHash HashUpstreamId(const UpstreamId& upstream) noexcept {
  return UpstreamHash{RendezvousWeight(0, upstream.value())};
}

}  // namespace mimosagauge
