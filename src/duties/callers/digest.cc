// Digests and random request ids, computed with OpenSSL.

#include "mimosagauge/impl/duties/callers/digest.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <memory>
#include <stdexcept>

namespace mimosagauge {
namespace {

constexpr std::size_t kRequestIdBytes = 16;

struct ContextDeleter {
  void operator()(EVP_MD_CTX* context) const noexcept {
    EVP_MD_CTX_free(context);
  }
};

void ThrowUnless(bool ok) {
  if (!ok) {
    throw std::runtime_error(
        "OpenSSL could not compute a digest or generate random bytes");
  }
}

}  // namespace

Sha256Digest Sha256(std::string_view text) {
  Sha256Digest digest{};
  unsigned int size = 0;
  ThrowUnless(EVP_Digest(text.data(), text.size(), digest.data(), &size,
                         EVP_sha256(), nullptr) == 1);
  return digest;
}

std::string ToHex(std::span<const std::uint8_t> bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kHighShift = 4;
  constexpr unsigned kLowMask = 0x0F;
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const std::uint8_t byte : bytes) {
    text.push_back(kDigits[byte >> kHighShift]);
    text.push_back(kDigits[byte & kLowMask]);
  }
  return text;
}

ContentDigest DigestContent(std::string_view method, std::string_view target,
                            std::string_view body) {
  const std::unique_ptr<EVP_MD_CTX, ContextDeleter> context(EVP_MD_CTX_new());
  ThrowUnless(context != nullptr &&
              EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1);
  for (const std::string_view part :
       {method, std::string_view("\n"), target, std::string_view("\n"), body}) {
    ThrowUnless(EVP_DigestUpdate(context.get(), part.data(), part.size()) == 1);
  }
  Sha256Digest digest{};
  unsigned int size = 0;
  ThrowUnless(EVP_DigestFinal_ex(context.get(), digest.data(), &size) == 1);
  return ContentDigest{ToHex(digest)};
}

RequestId MakeRequestId() {
  std::array<std::uint8_t, kRequestIdBytes> bytes{};
  ThrowUnless(RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) == 1);
  return RequestId{ToHex(bytes)};
}

}  // namespace mimosagauge
