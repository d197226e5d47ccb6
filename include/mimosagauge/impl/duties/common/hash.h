// Hash and authentication functions that are passed to the gateway state
// machine.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_COMMON_HASH_H_
#define MIMOSAGAUGE_IMPL_DUTIES_COMMON_HASH_H_

#include <string>

#include "mimosagauge/impl/decisions/once/fingerprint.h"

namespace mimosagauge {

/// \returns A function that computes the SHA-256 digest of a text. It
/// terminates the process when OpenSSL fails.
[[nodiscard]] HashFunction MakeHashFunction();

/// \param secret The HMAC key, which all instances share.
/// \returns A function that computes the HMAC-SHA-256 of a text under the
/// secret. It terminates the process when OpenSSL fails.
[[nodiscard]] Authenticator MakeAuthenticator(std::string secret);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_COMMON_HASH_H_
