// SHA-256 and HMAC by OpenSSL.

#include "mimosagauge/impl/duties/common/hash.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <exception>
#include <string_view>
#include <utility>

namespace mimosagauge {
namespace {

const unsigned char* BytesOf(std::string_view text) noexcept {
  return reinterpret_cast<const unsigned char*>(text.data());
}

// OpenSSL fails here only without memory. An instance that went on with a
// wrong hash would take two keys for one, or a forged ticket for its own.
void Require(bool succeeded) noexcept {
  if (!succeeded) {
    std::terminate();
  }
}

HashValue Sha256(std::string_view text) {
  HashValue value{};
  Require(EVP_Digest(text.data(), text.size(), value.data(), nullptr,
                     EVP_sha256(), nullptr) == 1);
  return value;
}

HashValue Hmac(const std::string& secret, std::string_view text) {
  HashValue value{};
  Require(HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
               BytesOf(text), text.size(), value.data(), nullptr) != nullptr);
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
