// Certificates for tests of links.

#include "tests/support/link_certificates.h"

#include <openssl/ec.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

namespace mimosagauge::testing {
namespace {

constexpr long kX509Version3 = 2;  // NOLINT(google-runtime-int): OpenSSL
constexpr long kDay = 86400;       // NOLINT(google-runtime-int): OpenSSL

void Require(bool holds) {
  if (!holds) {
    throw std::runtime_error("a certificate for tests could not be made");
  }
}

void AddName(X509* certificate, const std::string& name) {
  X509_NAME* subject = X509_get_subject_name(certificate);
  Require(X509_NAME_add_entry_by_txt(
              subject, "CN", MBSTRING_ASC,
              reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1,
              0) == 1);
}

void AddExtension(X509* certificate, int kind, const std::string& value) {
  X509V3_CTX context;
  X509V3_set_ctx(&context, certificate, certificate, nullptr, nullptr, 0);
  X509_EXTENSION* extension =
      X509V3_EXT_conf_nid(nullptr, &context, kind, value.c_str());
  Require(extension != nullptr);
  X509_add_ext(certificate, extension, -1);
  X509_EXTENSION_free(extension);
}

[[nodiscard]] std::shared_ptr<EVP_PKEY> MakeKey() {
  return {EVP_PKEY_Q_keygen(nullptr, nullptr, "EC", "P-256"), EVP_PKEY_free};
}

[[nodiscard]] std::shared_ptr<X509> MakeCertificate(
    EVP_PKEY* key, long valid_seconds) {  // NOLINT(google-runtime-int): OpenSSL
  static std::atomic<int> serial{1};
  std::shared_ptr<X509> certificate(X509_new(), X509_free);
  X509_set_version(certificate.get(), kX509Version3);
  ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), serial++);
  X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -kDay);
  X509_gmtime_adj(X509_getm_notAfter(certificate.get()), valid_seconds);
  X509_set_pubkey(certificate.get(), key);
  return certificate;
}

[[nodiscard]] std::FILE* Open(const std::filesystem::path& path) {
  std::FILE* file = std::fopen(path.c_str(), "wb");
  Require(file != nullptr);
  return file;
}

void Write(const std::filesystem::path& path, X509* certificate) {
  std::FILE* file = Open(path);
  PEM_write_X509(file, certificate);
  std::fclose(file);
}

void Write(const std::filesystem::path& path, EVP_PKEY* key) {
  std::FILE* file = Open(path);
  PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
  std::fclose(file);
}

[[nodiscard]] std::filesystem::path MakeDirectory() {
  std::string name =
      (std::filesystem::temp_directory_path() / "mimosagauge-XXXXXX").string();
  Require(mkdtemp(name.data()) != nullptr);
  return name;
}

}  // namespace

LinkAuthority::LinkAuthority()
    : directory_(MakeDirectory()),
      key_(MakeKey()),
      certificate_(MakeCertificate(key_.get(), kDay)) {
  AddName(certificate_.get(), "test authority");
  X509_set_issuer_name(certificate_.get(),
                       X509_get_subject_name(certificate_.get()));
  AddExtension(certificate_.get(), NID_basic_constraints, "critical,CA:TRUE");
  Require(X509_sign(certificate_.get(), key_.get(), EVP_sha256()) != 0);
  Write(directory_ / "authority.pem", certificate_.get());
}

LinkAuthority::~LinkAuthority() {
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

LinkTlsSettings LinkAuthority::Issue(
    const std::string& instance, Naming naming,
    long valid_seconds) const {  // NOLINT(google-runtime-int): OpenSSL
  static std::atomic<int> count{0};
  const std::string name = std::to_string(count++);
  const auto key = MakeKey();
  const auto certificate = MakeCertificate(key.get(), valid_seconds);
  const bool alternative = naming == Naming::kAlternativeName;
  AddName(certificate.get(), alternative ? "an instance" : instance);
  if (alternative) {
    AddExtension(certificate.get(), NID_subject_alt_name, "DNS:" + instance);
  }
  X509_set_issuer_name(certificate.get(),
                       X509_get_subject_name(certificate_.get()));
  Require(X509_sign(certificate.get(), key_.get(), EVP_sha256()) != 0);
  const LinkTlsSettings files{directory_ / (name + ".pem"),
                              directory_ / (name + ".key"),
                              directory_ / "authority.pem"};
  Write(files.certificate_file, certificate.get());
  Write(files.key_file, key.get());
  return files;
}

}  // namespace mimosagauge::testing
