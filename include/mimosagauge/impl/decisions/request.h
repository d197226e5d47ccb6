// A request and its answer, as the gateway state machine handles them.

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

/// \brief An instance or upstream that a request has passed, as one hop of its
/// path.
struct Place {
  RegionId region;
  std::string name;  ///< Name of the instance or upstream.

  [[nodiscard]] friend bool operator==(const Place&, const Place&) = default;
};

/// \returns The hop as text, in the form `region/name`.
[[nodiscard]] std::string ToString(const Place& place);

/// Largest number of hops on the path of one request; a request with a longer
/// path is refused.
inline constexpr std::size_t kMaxHops = 8;

/// \brief A part of a prompt that an engine may have cached from earlier
/// requests.
struct PromptPart {
  std::uint64_t id = 0;  ///< Equal for equal text that follows equal parts.
  std::uint32_t tokens = 0;

  [[nodiscard]] friend bool operator==(const PromptPart&,
                                       const PromptPart&) = default;
};

/// \brief The size of a generation, as stated by the caller.
struct Prompt {
  std::uint32_t tokens_in = 0;    ///< Prompt tokens; zero: not stated.
  std::uint32_t tokens_out = 0;   ///< Expected number of tokens in the answer.
  std::vector<PromptPart> parts;  ///< In order; the last part is the only one
                                  ///< that is not shared with other requests.
};

/// \brief A request without its body.
struct RequestHead {
  RequestId id;
  AccountId account;
  /// Key of an account as the caller sent it; a secret. Set only until the
  /// request is authenticated, and never sent to another instance.
  std::string credential;
  RegionId account_home;  ///< Empty when the account has none.
  RegionId entry_region;  ///< Region in which the caller sent it.
  ServiceId service;      ///< From the request path; empty for models.
  ModelId model;          ///< Empty for plain services.
  std::string host;       ///< Host that the caller sent; routes match on it.
  std::string method;
  std::string caller_path;  ///< Path that the caller sent, without the query;
                            ///< the rules match on it.
  std::string target;       ///< Target to send to the upstream, with query.
  std::vector<Header> headers;  ///< End-to-end header fields only.
  std::optional<IdempotencyKey> key;
  ContentDigest digest;  ///< Digest of the request's content.
  Duration remaining{};  ///< Time until the answer is due, when the request
                         ///< was sent; zero: the caller set none.
  /// Time until the caller's own deadline, when the request was sent. It may be
  /// longer than `remaining`, which a route limits. Zero: as `remaining`.
  Duration caller_remaining{};
  std::vector<Place> path;  ///< Hops passed, in order; each at most once.
  Revision revision;        ///< Revision of the rules that the sender applied.
  bool stream = false;      ///< The caller asked for server-sent events.
  Prompt prompt;            ///< Only set for a generation whose size is stated.
  std::size_t runs = 0;     ///< Upstreams that may already have run it.
  /// Id of the last event that the caller received of a broken stream, which is
  /// to be resumed after it; empty: the request starts a new answer.
  std::optional<std::string> resume_after;
  /// The caller's attempt that brought the first event of that stream; empty:
  /// not stated.
  RequestId resumes;
  /// Version that began that stream, as another instance found out; empty: not
  /// known.
  SoftwareVersion software;
};

/// \returns The properties of the request that the rules match on.
[[nodiscard]] RequestTraits TraitsOf(const RequestHead& head);

using RequestHeadPtr = std::shared_ptr<const RequestHead>;
using BodyPtr = std::shared_ptr<const std::string>;

/// \brief The status and header fields of an answer.
struct AnswerHead {
  std::uint16_t status = 0;
  std::vector<Header> headers;  ///< End-to-end header fields only.
  std::vector<Place> path;      ///< Hops by which it was served, upstream last.
};

/// \brief A problem document (RFC 9457), sent when a request has no answer.
struct Problem {
  std::uint16_t status = 500;
  std::string type;    ///< Last part of the type URI, such as `no-capacity`.
  std::string title;   ///< Summary, the same for every problem of the type.
  std::string detail;  ///< What happened to this request.
  std::string remedy;  ///< What the caller can do.
  RunState run = RunState::kNotRun;     ///< Whether the request was run.
  std::optional<Duration> retry_after;  ///< Empty: no Retry-After field.
};

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_REQUEST_H_
