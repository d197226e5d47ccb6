// Messages that instances exchange about the allowances of client accounts.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_MESSAGES_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/allowance/bucket.h"

namespace mimosagauge {

/// Identifies one request for an amount; an instance starts at a random number,
/// so that a late grant to an earlier process of it matches none.
using AllowanceNonce = StrongNumber<struct AllowanceNonceTag>;

/// \brief A request for an amount of an account's allowance.
struct AllowanceRequest {
  AccountHash account;
  AllowanceNonce nonce;
  /// Units that one waiting request needs; granted whole or not at all, except
  /// in a transfer. Zero: no request waits.
  double need = 0;
  /// Units wanted ahead of demand; any part of them may be granted.
  double ahead = 0;
  /// The sender is the lender of another region. It gets what can be spared at
  /// once, and nothing is taken from further regions for it.
  bool transfer = false;
};

/// \brief How a lender decided about a request for an amount.
enum class GrantOutcome : std::uint8_t {
  kGranted,
  kExceeded,        ///< The allowance is used up; see `retry_after`.
  kUnknownAccount,  ///< The lender's configuration has no such account.
  kNotLender,       ///< The receiver does not lend now.
  /// The request waits for amounts from other regions; another response
  /// follows.
  kPending,
};

/// \brief The response to an `AllowanceRequest`.
struct AllowanceGrant {
  AccountHash account;
  AllowanceNonce nonce;  ///< Of the request.
  GrantOutcome outcome = GrantOutcome::kGranted;
  double amount = 0;  ///< Units granted; at least 0.
  /// For how long the amount is valid, counted on the receiver's clock from
  /// when it sent the request.
  Duration lifetime{};
  /// Time until the needed units are available; zero unless exceeded.
  Duration retry_after{};
  /// Units that the lender can spare after this grant; negative: it
  /// needs them itself.
  /// Set only in transfers.
  double spare = 0;
};

/// Largest number of entries in one message; further ones are sent in another
/// message.
inline constexpr std::size_t kMaxAllowanceEntries = 256;

/// \brief Requests and grants for one instance.
struct AllowanceMessage {
  std::vector<AllowanceRequest> requests;
  std::vector<AllowanceGrant> grants;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_ALLOWANCE_MESSAGES_H_
