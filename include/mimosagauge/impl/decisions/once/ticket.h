// Tickets: prefixes of idempotency keys that name, ahead of time, the one
// process that may ever run keys under them.

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

/// Longest idempotency key, in bytes, with or without a ticket.
inline constexpr std::size_t kMaxKeyBytes = 255;

/// \brief A ticket as its owner wrote it.
struct Ticket {
  KeyOwner owner;
  /// New keys are accepted before this time, counted from the owner's start
  /// on the owner's monotonic clock. Whole milliseconds. Only the owner
  /// compares it with a clock.
  Duration expiry{};

  [[nodiscard]] friend bool operator==(const Ticket&, const Ticket&) = default;
};

/// \brief Writes a ticket for an account.
/// \param secrets The first one signs; never empty.
/// \returns Text of the form `t1:instance:incarnation:nonce:expiry:mac`, to
/// which the caller appends a colon and its own part; `kInvalidSettings` when
/// the instance's name holds a colon or is longer than 64 bytes.
[[nodiscard]] Result<std::string> IssueTicket(
    std::span<const Authenticator> secrets, const Ticket& ticket,
    const AccountId& account);

/// A key without a ticket.
struct BareKey {};
/// A key under a ticket that an instance of this system wrote.
struct TicketKey {
  Ticket ticket;
};
/// No instance has ever accepted this key or ever will.
struct MalformedKey {};
/// Not signed for this account by a secret known here, or of a version not
/// known here; another instance may know it.
struct ForeignKey {};
using KeyKind = std::variant<BareKey, TicketKey, MalformedKey, ForeignKey>;

/// \brief Tells keys under tickets from bare ones.
/// \param secrets Any of them may have signed.
[[nodiscard]] KeyKind ClassifyKey(std::span<const Authenticator> secrets,
                                  const AccountId& account,
                                  const IdempotencyKey& key);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ONCE_TICKET_H_
