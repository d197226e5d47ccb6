// Parts of the gateway state machine that its sources share.

#ifndef MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_DETAIL_H_
#define MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_DETAIL_H_

#include <string>
#include <utility>
#include <vector>

#include "mimosagauge/impl/decisions/gateway.h"

namespace mimosagauge::detail {

/// \brief One call of `Step`: the state, the time and what is to be done.
struct Turn {
  Gateway& gateway;
  TimePoint now;
  std::vector<Effect>& effects;
};

/// \returns The metrics of the request's service; services that no upstream
/// of this region has share one entry.
[[nodiscard]] ServiceMetrics& MetricsOf(Gateway& gateway,
                                        const RequestRecord& record);

/// \returns The request, or null when it is of the past.
[[nodiscard]] RequestRecord* FindRequest(Gateway& gateway,
                                         RequestNumber number) noexcept;

/// \brief Sends part of an answer by the duty that the request came in by.
template <typename AnswerPart>
void Answer(Turn& turn, const RequestRecord& record, AnswerPart part) {
  if (record.detached) {
    return;
  }
  part.number = record.arrival.number;
  if (record.arrival.origin == Origin::kCaller) {
    turn.effects.emplace_back(ForCallers{std::move(part)});
  } else {
    turn.effects.emplace_back(ForLinks{std::move(part)});
  }
}

/// \brief Tells the other side that there is no answer, or breaks one off
/// that has begun; the request is of the past afterwards.
///
/// The problem's `run` becomes what is known of the request.
void Refuse(Turn& turn, RequestRecord& record, Problem problem);

/// \returns Whether the other instance is of this one's region.
[[nodiscard]] inline bool IsNear(const Gateway& gateway,
                                 const PeerState& peer) {
  return peer.config.region == gateway.config.region;
}

/// \returns Whole milliseconds, for entries of the log.
[[nodiscard]] std::string Milliseconds(Duration duration);

/// \returns The instance, or null when it is not known.
[[nodiscard]] PeerState* FindPeer(Gateway& gateway,
                                  const InstanceId& id) noexcept;

/// \brief Writes down how a request ended.
/// \param status What its other side was told; zero: nothing.
void LogEnd(Turn& turn, const RequestRecord& record, const LogEvent& event,
            std::uint16_t status, const std::string& detail);

/// \brief Forgets a request; a running attempt is cancelled.
void Close(Turn& turn, RequestNumber number);

/// \brief Gives up the running attempt, if any, without a word on its target.
void CancelRunning(Turn& turn, RequestRecord& record);

/// \brief Finds a place for the request: an upstream, another instance, or the
/// waiting queue; else refuses it.
void Place(Turn& turn, RequestNumber number);

/// \brief Finds out who may run a keyed request, and does what that says.
void AdmitKeyed(Turn& turn, RequestNumber number);

/// \brief Tells the key table how the run of a keyed request ended; other
/// requests that waited for it are answered.
void SettleKey(Turn& turn, RequestRecord& record);

/// \brief Counts a failure of the upstream, which may eject it.
void NoteFailure(Turn& turn, const UpstreamId& id, UpstreamFailure failure);

/// \brief Writes down that an upstream gets nothing for a while.
/// \param told_by The instance whose word was the last one.
void LogEjection(Turn& turn, const UpstreamState& upstream,
                 const std::string& told_by);

/// \brief Carries out what the key table says.
void Apply(Turn& turn, KeyEffects&& effects);
/// \brief Puts rules into force and tells the other instances.
void Apply(Turn& turn, RulesSpreadOutput&& output);
/// \brief Carries out what the claim committer says.
void Apply(Turn& turn, ClaimEffects&& effects);

/// \returns Whether the request may be passed on to another instance: only the
/// one that a caller asked does, so no request travels over more than one link;
/// a keyed one stays with its owner.
[[nodiscard]] bool MayForward(const RequestRecord& record) noexcept;

/// \returns Whether the rules allow the instance's region and the request has
/// not passed the instance.
[[nodiscard]] bool MayGoTo(const RequestRecord& record, const PeerConfig& peer);

/// \brief Gives a request to one instance, and to no other place.
void StartOnInstance(Turn& turn, RequestRecord& record, const PeerConfig& peer);

/// \brief Lets the running attempt send more.
void GiveCredit(Turn& turn, const RequestRecord& record, Bytes bytes);

/// \brief Takes note that an upstream can take on more work.
void NoteFreed(Gateway& gateway, const UpstreamId& upstream);

/// \brief Tries the first requests of each line that may move.
void Dispatch(Turn& turn);

/// \returns What the catalogue, or else the rules, say of the request now.
[[nodiscard]] Verdict VerdictFor(const Gateway& gateway,
                                 const RequestRecord& record);

/// \returns Whether anything says yet where requests go.
[[nodiscard]] bool HasPolicy(const Gateway& gateway) noexcept;

/// \brief An attempt is over or has begun to be answered: its prompt is no
/// longer unread.
void NoteBegun(Turn& turn, Attempt& attempt, bool answered);

/// \brief Shares what all instances may do together among those that live.
void ShareOut(Gateway& gateway);

/// \brief Keeps links to every instance of this region and to a few of each
/// other one.
void KeepLinks(Turn& turn);

/// \brief Tells other instances of the load here when it is time.
void TellLoad(Turn& turn);

/// \brief Another region's instance and what to expect of a request there.
struct RemoteChoice {
  const PeerConfig* peer = nullptr;  ///< Null: none may serve it.
  Expectation expected;
  double prompt_tokens = 0;  ///< That the region would have to read.
  bool keeps_part = false;   ///< The prompt's shared part belongs there.
};

/// \returns Where in other regions a request would be served soonest.
[[nodiscard]] RemoteChoice ChooseRemote(Gateway& gateway,
                                        const RequestRecord& record,
                                        TimePoint now);

/// \returns Another region that keeps the shared part of the prompt, where
/// going there costs less than reading the part at `local`; else none.
[[nodiscard]] RemoteChoice ChooseKeeper(Gateway& gateway,
                                        const RequestRecord& record,
                                        const UpstreamChoice& local,
                                        TimePoint now);

/// \returns Another region for a request of a plain service, the more probably
/// the sooner it is served there; else none.
[[nodiscard]] RemoteChoice DrawRegion(Gateway& gateway,
                                      const RequestRecord& record,
                                      const UpstreamChoice& local,
                                      TimePoint now);

/// \brief One overload for each event.
void Handle(Turn& turn, RequestArrived&& event);
void Handle(Turn& turn, RequestAbandoned&& event);
void Handle(Turn& turn, AnswerTaken&& event);
void Handle(Turn& turn, RulesArrived&& event);
void Handle(Turn& turn, CatalogueArrived&& event);
void Handle(Turn& turn, UpstreamLearned&& event);
void Handle(Turn& turn, UpstreamRemoved&& event);
void Handle(Turn& turn, ZoneEvacuated&& event);
void Handle(Turn& turn, InstanceLearned&& event);
void Handle(Turn& turn, InstanceRemoved&& event);
void Handle(Turn& turn, StoreSeen&& event);
void Handle(Turn& turn, LoadTold&& event);
void Handle(Turn& turn, LinkChanged&& event);
void Handle(Turn& turn, GossipArrived&& event);
void Handle(Turn& turn, ClaimStoreAnswered&& event);
void Handle(Turn& turn, DrainRequested&& event);
void Handle(Turn& turn, Tick&& event);
void Handle(Turn& turn, AttemptAnswered&& event);
void Handle(Turn& turn, AttemptBody&& event);
void Handle(Turn& turn, AttemptEnded&& event);
void Handle(Turn& turn, AttemptFailed&& event);

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DECISIONS_GATEWAY_DETAIL_H_
