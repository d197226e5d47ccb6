// A request and its answer as the decisions see them.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_REQUEST_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/run_state.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/rules/verdict.h"

namespace mimosagauge {

/// \brief One HTTP header field.
struct Header {
  std::string name;
  std::string value;

  [[nodiscard]] friend bool operator==(const Header&, const Header&) = default;
};

/// \brief A place that a request has passed: an instance or an upstream.
struct Place {
  RegionId region;
  std::string name;  ///< Instance or upstream.

  [[nodiscard]] friend bool operator==(const Place&, const Place&) = default;
};

/// \returns `region/name`.
[[nodiscard]] std::string ToString(const Place& place);

/// Most places on one request's path; a longer one is refused.
inline constexpr std::size_t kMaxPlaces = 8;

/// \brief A part of a prompt that an engine may keep from earlier requests.
struct PromptPart {
  std::uint64_t id = 0;  ///< Equal for equal text after equal parts before it.
  std::uint32_t tokens = 0;

  [[nodiscard]] friend bool operator==(const PromptPart&,
                                       const PromptPart&) = default;
};

/// \brief How much work a generation is, as its caller says.
struct Prompt {
  std::uint32_t tokens_in = 0;
  std::uint32_t tokens_out = 0;   ///< That the answer is expected to have.
  std::vector<PromptPart> parts;  ///< In order; the last is its own.
};

/// \brief Everything about a request but its body.
struct RequestHead {
  RequestId id;
  AccountId account;
  RegionId account_home;  ///< Empty when the account has none.
  RegionId entry_region;  ///< Where it entered the system.
  ServiceId service;      ///< From the path; empty for models.
  ModelId model;          ///< Empty for plain services.
  std::string host;       ///< As the caller named it; routes match on it.
  std::string method;
  std::string caller_path;      ///< As the caller gave it, without query; the
                                ///< rules match on it.
  std::string target;           ///< For the upstream, with query.
  std::vector<Header> headers;  ///< End-to-end fields only.
  std::optional<IdempotencyKey> key;
  ContentDigest digest;
  Duration remaining{};     ///< Until the answer is due, at sending time; zero
                            ///< when the caller did not say.
  std::vector<Place> path;  ///< In order; each place at most once.
  Revision revision;        ///< Rules under which the sender allowed it.
  bool stream = false;      ///< The caller asked for server-sent events.
  Prompt prompt;            ///< Of a generation that says so.
  std::size_t runs = 0;     ///< Upstreams that may have run it before.
  /// The caller has the events up to this one of a stream that broke.
  std::optional<std::string> resume_after;
};

/// \returns What the rules match on.
[[nodiscard]] RequestTraits TraitsOf(const RequestHead& head);

using RequestHeadPtr = std::shared_ptr<const RequestHead>;
using BodyPtr = std::shared_ptr<const std::string>;

/// \brief Status and fields of an answer.
struct AnswerHead {
  std::uint16_t status = 0;
  std::vector<Header> headers;  ///< End-to-end fields only.
  std::vector<Place> path;      ///< Where it was served, the upstream last.
};

/// \brief What a caller is told when there is no answer (RFC 9457).
struct Problem {
  std::uint16_t status = 500;
  std::string type;  ///< Last part of the type URI, as in `no-capacity`.
  std::string title;
  std::string detail;
  std::string remedy;
  RunState run = RunState::kNotRun;
  std::optional<Duration> retry_after;
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_REQUEST_H_
