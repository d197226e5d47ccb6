// Encoding, signing and verification of tickets.

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <optional>
#include <string_view>
#include <vector>

#include "mimosagauge/impl/decisions/once/ticket.h"

namespace mimosagauge {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kVersion = "t1";
constexpr std::size_t kMacBytes = 16;
constexpr std::size_t kMaxInstanceBytes = 64;
constexpr char kSeparator = ':';

std::string SignedText(const Ticket& ticket) {
  const auto expiry =
      std::chrono::duration_cast<milliseconds>(ticket.expiry).count();
  return fmt::format("{}:{}:{:x}:{:x}:{:x}", kVersion,
                     ticket.owner.instance.value(),
                     ticket.owner.incarnation.value(), ticket.owner.nonce,
                     static_cast<std::uint64_t>(expiry));
}

std::string ComputeMac(const Authenticator& secret,
                       const std::string& signed_text,
                       const AccountId& account) {
  const HashValue hash = secret(signed_text + kSeparator + account.value());
  std::string hex;
  for (std::size_t i = 0; i < kMacBytes; ++i) {
    hex += fmt::format("{:02x}", hash.at(i));
  }
  return hex;
}

// Compares in a time that does not depend on where the texts differ, so that a
// caller cannot guess a code byte by byte.
bool MacsEqual(std::string_view a, std::string_view b) noexcept {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned>(a[i]) ^ static_cast<unsigned>(b[i]);
  }
  return difference == 0;
}

// Returns whether the key begins with `t`, digits and a colon. Such keys are
// reserved for tickets of this and later versions.
bool IsReservedForTickets(std::string_view key) noexcept {
  const std::size_t colon = key.find(kSeparator);
  if (colon == std::string_view::npos || colon < 2 || key.front() != 't') {
    return false;
  }
  const std::string_view digits = key.substr(1, colon - 1);
  return std::all_of(digits.begin(), digits.end(),
                     [](unsigned char c) { return std::isdigit(c) != 0; });
}

std::optional<std::uint64_t> ParseHex(std::string_view text) noexcept {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, 16);
  if (text.empty() || parsed.ptr != end || parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return number;
}

// The fields are the version, instance, incarnation, nonce, expiry, message
// authentication code and the caller's own part.
constexpr std::size_t kFieldCount = 7;
using Fields = std::array<std::string_view, kFieldCount>;

std::optional<Fields> SplitFields(std::string_view key) noexcept {
  Fields fields;
  for (std::size_t i = 0; i + 1 < kFieldCount; ++i) {
    const std::size_t colon = key.find(kSeparator);
    if (colon == std::string_view::npos) {
      return std::nullopt;
    }
    fields.at(i) = key.substr(0, colon);
    key.remove_prefix(colon + 1);
  }
  fields.back() = key;
  return fields;
}

std::optional<Ticket> ParseTicket(const Fields& fields) {
  const auto incarnation = ParseHex(fields[2]);
  const auto nonce = ParseHex(fields[3]);
  const auto expiry = ParseHex(fields[4]);
  const auto max_expiry_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Duration::max()).count());
  if (!incarnation || !nonce || !expiry || *expiry > max_expiry_ms ||
      fields[1].empty() || fields.back().empty()) {
    return std::nullopt;
  }
  Ticket ticket;
  ticket.owner = {InstanceId(std::string(fields[1])), Incarnation{*incarnation},
                  *nonce};
  ticket.expiry = milliseconds(*expiry);
  return ticket;
}

}  // namespace

Result<std::string> IssueTicket(std::span<const Authenticator> secrets,
                                const Ticket& ticket,
                                const AccountId& account) {
  const std::string& instance = ticket.owner.instance.value();
  if (instance.empty() || instance.size() > kMaxInstanceBytes ||
      instance.find(kSeparator) != std::string::npos) {
    return Error{ErrorKind::kInvalidSettings,
                 "the instance's name is empty, too long or has a colon, so it "
                 "cannot be used in tickets",
                 "give the instance a name of 1 to 64 bytes without a colon"};
  }
  const std::string text = SignedText(ticket);
  return text + kSeparator + ComputeMac(secrets.front(), text, account);
}

KeyKind ClassifyKey(std::span<const Authenticator> secrets,
                    const AccountId& account, const IdempotencyKey& key) {
  if (key.empty() || key.value().size() > kMaxKeyBytes) {
    return MalformedKey{};
  }
  if (!IsReservedForTickets(key.value())) {
    return BareKey{};
  }
  if (key.value().substr(0, key.value().find(kSeparator)) != kVersion) {
    return UnverifiedTicketKey{};
  }
  const auto fields = SplitFields(key.value());
  const auto ticket = fields ? ParseTicket(*fields) : std::nullopt;
  if (!ticket) {
    return MalformedKey{};
  }
  const std::string signed_text = SignedText(*ticket);
  for (const Authenticator& secret : secrets) {
    if (MacsEqual(ComputeMac(secret, signed_text, account), (*fields)[5])) {
      return TicketKey{*ticket};
    }
  }
  return UnverifiedTicketKey{};
}

}  // namespace mimosagauge
