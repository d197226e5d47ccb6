// Detection of poison content: a prompt part, or a whole request, that crashes
// every upstream that begins an answer to a request with it.
//
// A crash is evidence against the content of the requests that it cut off
// before any of their answer's body was received. Those whose answer had begun,
// with its status, are the stronger suspects. Without a status, only the whole
// request is a suspect, and only if the upstream's process has ended. A sound
// answer, one with a body, clears its content of all earlier crashes. Content
// with several crashes and no sound answer since is poison, and requests with
// it are refused for a limited time. Instances exchange crashes, clearances and
// the poison they know as `PoisonNews`.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_POISON_CONTENT_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_POISON_CONTENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mimosagauge/impl/core/ids.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/decisions/load_digest.h"
#include "mimosagauge/impl/decisions/poison_news.h"
#include "mimosagauge/impl/decisions/request.h"

namespace mimosagauge {

/// \brief A crash of an upstream, merged from the reports of all instances.
struct Crash {
  UpstreamHash upstream;
  Incarnation incarnation;  ///< Of the crashed process; zero: unknown.
  TimePoint occurred_at;    ///< The earliest time reported.
  /// Content of the cut-off requests that no sound answer has cleared since; at
  /// most `kMaxSuspectsPerCrash`, sorted by id. If any answer had begun, prompt
  /// parts only of such requests.
  std::vector<SuspectContent> suspects;
  bool any_begun = false;  ///< An answer of a suspect had begun.
  /// Service of the upstream; empty: only other instances reported the crash.
  ServiceId service;
  /// Sound answers of all services, and of `service`, when the crash became
  /// known.
  std::uint64_t sound_answers_before = 0;
  std::uint64_t service_sound_answers_before = 0;
};

/// \brief Content that is refused, or was until a short time ago.
struct PoisonContent {
  TimePoint last_crash_at;
  std::size_t crashes = 0;    ///< Crashes that led to the refusal.
  Duration refusal{};         ///< Length of the refusal; doubled if it repeats.
  TimePoint refused_until{};  ///< After it, one more crash is sufficient for
                              ///< another refusal.
  InstanceId found_by;        ///< Instance that reported it, or this one.
};

/// \brief News that wait for the next message.
struct UnsentNews {
  PoisonNews news;    ///< Ages are those at `since`.
  TimePoint since{};  ///< When the first of the news was added.
};

/// \brief What an instance knows about crashes and poison content.
struct PoisonTable {
  /// This instance. Refusals end at a different time on each instance, so that
  /// not all send a request with the content at once.
  InstanceId self;
  std::deque<Crash> crashes;  ///< At most `kMaxCrashes`, oldest first.
  /// Time of the last sound answer of former suspects; at most
  /// `kMaxClearances`.
  std::unordered_map<ContentId, TimePoint> cleared_at;
  std::map<ContentId, PoisonContent> poison;  ///< At most `kMaxPoison`.
  std::uint64_t sound_answers = 0;  ///< Sound answers that this instance saw.
  /// The same, of each service.
  std::unordered_map<ServiceId, std::uint64_t> sound_answers_by_service;
  UnsentNews news_for_region;         ///< For the instances of this region.
  UnsentNews news_for_other_regions;  ///< For those of the other regions.
  /// When evidence was last added; poison is searched for a while after it.
  TimePoint changed_at{};
  TimePoint next_search_at{};

  static constexpr std::size_t kMaxCrashes = 256;
  static constexpr std::size_t kMaxClearances = 4096;
  static constexpr std::size_t kMaxPoison = 256;
};

/// \returns The content of the request: the shared parts of its prompt and the
/// whole request. The last part of a prompt is not shared.
/// \param begun Whether the request's answer had begun.
[[nodiscard]] std::vector<SuspectContent> ContentOf(const RequestHead& head,
                                                    bool begun = false);

/// \brief Records that a request of this instance was cut off by the loss of
/// its upstream. Losses at one process of an upstream are one crash.
/// \param begun Whether the request's answer had begun.
void RecordLostRequest(PoisonTable& table, const UpstreamHash& upstream,
                       Incarnation incarnation, const RequestHead& head,
                       bool begun, TimePoint now);

/// \brief Requests that were lost before their status together with their
/// connections to one process of an upstream. They are no evidence until it is
/// confirmed that the process has ended.
struct UnconfirmedLoss {
  Incarnation incarnation;  ///< Of the upstream's process; zero: unknown.
  ServiceId service;        ///< Of the upstream.
  TimePoint lost_at{};      ///< Time of the last loss.
  std::vector<SuspectContent> requests;  ///< At most `kMaxSuspectsPerCrash`.
};

/// \brief Adds a request of this instance to the loss.
void AddLostRequest(UnconfirmedLoss& loss, const RequestHead& head,
                    TimePoint now);

/// \brief Records that the process that the requests were lost with has ended.
void RecordConfirmedLoss(PoisonTable& table, const UpstreamHash& upstream,
                         const UnconfirmedLoss& loss, TimePoint now);

/// \brief Records a sound answer, which clears the request's content.
/// \param service Service of the upstream that answered; empty: unknown.
void RecordSoundAnswer(PoisonTable& table, const RequestHead& head,
                       TimePoint now, const ServiceId& service = {});

/// \brief Adds what another instance has reported.
/// \param from_own_region Whether that instance is in the region of this one.
/// What comes from another region is passed on within the own one.
/// \returns The content that is refused from now on.
std::vector<ContentId> AddNews(PoisonTable& table, const PoisonNews& news,
                               const InstanceId& from, bool from_own_region,
                               TimePoint now);

/// \brief Searches the crashes for poison when that is due, and removes what
/// has expired.
/// \returns The content that is refused from now on.
std::vector<ContentId> FindNewPoison(PoisonTable& table, TimePoint now);

/// \returns The entry of the request's content that is refused now, with its
/// id; null when there is none.
[[nodiscard]] const std::pair<const ContentId, PoisonContent>* FindPoison(
    const PoisonTable& table, const RequestHead& head, TimePoint now);

/// \returns When this instance ends the refusal.
[[nodiscard]] TimePoint EndOfRefusal(const PoisonTable& table, ContentId id,
                                     const PoisonContent& poison);

/// \returns The unsent news together with the newest poison, which is repeated
/// for instances that have missed it; `unsent` is cleared.
[[nodiscard]] PoisonNews TakeNews(const PoisonTable& table, UnsentNews& unsent,
                                  TimePoint now);

/// \returns The id in hexadecimal, as in the prompt header field.
[[nodiscard]] std::string ToString(ContentId id);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_POISON_CONTENT_H_
