// Tickets: prefixes of idempotency keys that name, in advance, the one process
// that may ever run the keys that begin with them.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ONCE_TICKET_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ONCE_TICKET_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <variant>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/once/fingerprint.h"
#include "mimosagauge/impl/decisions/once/key_owner.h"

namespace mimosagauge {

/// Maximum length of an idempotency key in bytes, its ticket included.
inline constexpr std::size_t kMaxKeyBytes = 255;

/// \brief The contents of a ticket, as issued by its owner.
struct Ticket {
  KeyOwner owner;
  /// New keys are accepted before this time, counted from the owner's start on
  /// the owner's monotonic clock, in whole milliseconds. Only the owner
  /// compares it with a clock.
  Duration expiry{};

  [[nodiscard]] friend bool operator==(const Ticket&, const Ticket&) = default;
};

/// \brief Encodes and signs a ticket for an account.
/// \param secrets Must not be empty; the first one signs.
/// \returns Text of the form `t1:instance:incarnation:nonce:expiry:mac`, to
/// which the caller appends a colon and its own part; `kInvalidSettings` when
/// the instance's name is empty, contains a colon or is longer than 64 bytes.
[[nodiscard]] Result<std::string> IssueTicket(
    std::span<const Authenticator> secrets, const Ticket& ticket,
    const AccountId& account);

/// A key without a ticket.
struct BareKey {};
/// A key that begins with a ticket with a valid signature.
struct TicketKey {
  Ticket ticket;
};
/// A key that is invalid on every instance: none has ever accepted it or ever
/// will.
struct MalformedKey {};
/// A key whose ticket cannot be verified: none of this instance's secrets
/// signed it for this account, or this release does not support its version.
/// Another instance may be able to verify it.
struct UnverifiedTicketKey {};
using KeyKind =
    std::variant<BareKey, TicketKey, MalformedKey, UnverifiedTicketKey>;

/// \brief Classifies a key by its ticket.
/// \param secrets A ticket signed with any of them is valid.
/// \returns Whether the key is bare, begins with a valid ticket, is malformed,
/// or has a ticket that cannot be verified.
[[nodiscard]] KeyKind ClassifyKey(std::span<const Authenticator> secrets,
                                  const AccountId& account,
                                  const IdempotencyKey& key);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ONCE_TICKET_H_
