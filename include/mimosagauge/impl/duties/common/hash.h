// The hash functions that the decisions are handed.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_COMMON_HASH_H_
#define MIMOSAGAUGE_IMPL_DUTIES_COMMON_HASH_H_

#include <string>

#include "mimosagauge/impl/decisions/once/fingerprint.h"

namespace mimosagauge {

/// \returns SHA-256.
[[nodiscard]] HashFunction MakeHashFunction();

/// \param secret Shared by all instances.
/// \returns HMAC with SHA-256 under the secret.
[[nodiscard]] Authenticator MakeAuthenticator(std::string secret);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DUTIES_COMMON_HASH_H_
