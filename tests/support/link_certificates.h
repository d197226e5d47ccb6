// Certificates for tests of links, made afresh in a directory of their own.

#ifndef TESTS_SUPPORT_LINK_CERTIFICATES_H_
#define TESTS_SUPPORT_LINK_CERTIFICATES_H_

#include <openssl/evp.h>
#include <openssl/x509.h>

#include <filesystem>
#include <memory>
#include <string>

#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge::testing {

/// \brief A certificate authority that lives as long as the test.
class LinkAuthority {
 public:
  LinkAuthority();
  ~LinkAuthority();

  LinkAuthority(const LinkAuthority&) = delete;
  LinkAuthority& operator=(const LinkAuthority&) = delete;

  /// How a certificate names its instance.
  enum class Naming { kAlternativeName, kCommonName };

  /// \brief Makes a key and a certificate for `instance`.
  /// \param valid_seconds Until it expires; below zero: it has expired.
  [[nodiscard]] LinkTlsSettings Issue(
      const std::string& instance, Naming naming = Naming::kAlternativeName,
      long valid_seconds = 3600) const;  // NOLINT(google-runtime-int): OpenSSL

 private:
  using KeyPtr = std::shared_ptr<EVP_PKEY>;
  using CertificatePtr = std::shared_ptr<X509>;

  std::filesystem::path directory_;
  KeyPtr key_;
  CertificatePtr certificate_;
};

}  // namespace mimosagauge::testing

#endif  // TESTS_SUPPORT_LINK_CERTIFICATES_H_
