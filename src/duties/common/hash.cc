// SHA-256 and HMAC, computed with OpenSSL.

#include "mimosagauge/impl/duties/common/hash.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <exception>
#include <string_view>
#include <utility>

namespace mimosagauge {
namespace {

const unsigned char* AsUnsignedBytes(std::string_view text) noexcept {
  return reinterpret_cast<const unsigned char*>(text.data());
}

// OpenSSL fails here only when it cannot allocate memory. The process is
// terminated, because with a wrong hash an instance could treat two different
// keys as the same one, or accept a forged ticket as its own.
void TerminateUnless(bool succeeded) noexcept {
  if (!succeeded) {
    std::terminate();
  }
}

HashValue Sha256(std::string_view text) {
  HashValue value{};
  TerminateUnless(EVP_Digest(text.data(), text.size(), value.data(), nullptr,
                             EVP_sha256(), nullptr) == 1);
  return value;
}

HashValue Hmac(const std::string& secret, std::string_view text) {
  HashValue value{};
  TerminateUnless(HMAC(EVP_sha256(), secret.data(),
                       static_cast<int>(secret.size()), AsUnsignedBytes(text),
                       text.size(), value.data(), nullptr) != nullptr);
  return value;
}

}  // namespace

HashFunction MakeHashFunction() { return Sha256; }

Authenticator MakeAuthenticator(std::string secret) {
  return [secret = std::move(secret)](std::string_view text) {
    return Hmac(secret, text);
  };
}

}  // namespace mimosagauge
