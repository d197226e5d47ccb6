// The connection pools of an upstream duty and its attempts in progress.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_SERVER_H_
#define MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>

#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/duties/common/mailbox.h"
#include "mimosagauge/impl/duties/upstreams/dialect.h"
#include "mimosagauge/impl/duties/upstreams/pool.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge::detail {

class UpstreamAttempt;

/// \brief The state that the attempts of one duty share. All members run on
/// the duty's thread.
class UpstreamServer {
 public:
  UpstreamServer(boost::asio::io_context& io, const Settings& settings,
                 Mailbox<Event>& decisions, const UpstreamDialect& dialect);

  void Start();
  void Stop();
  void Handle(UpstreamEffect&& effect);

  // Called by the attempts.
  [[nodiscard]] boost::asio::io_context& io() noexcept { return io_; }
  [[nodiscard]] const Settings& settings() const noexcept { return settings_; }
  [[nodiscard]] const UpstreamDialect& dialect() const noexcept {
    return dialect_;
  }
  /// \returns The number of bytes of an incomplete event that an attempt may
  /// buffer. All attempts together stay within a part of the process's memory.
  [[nodiscard]] std::size_t max_partial_event() const noexcept;
  void Post(Event event) { decisions_.Post(std::move(event)); }
  void RemoveAttempt(AttemptNumber attempt) { attempts_.erase(attempt); }

 private:
  void StartAttempt(StartUpstreamAttempt&& start);
  void SendHealthRequest(RequestHealth&& request);
  void UpdatePool(const AddUpstream& use);
  void Sweep();

  boost::asio::io_context& io_;
  const Settings& settings_;
  Mailbox<Event>& decisions_;
  boost::asio::steady_timer sweep_timer_;
  const UpstreamDialect& dialect_;
  // An attempt in progress shares ownership of its pool, which therefore
  // outlives the removal of its upstream.
  std::unordered_map<UpstreamId, std::shared_ptr<UpstreamPool>> pools_;
  std::unordered_map<AttemptNumber, std::shared_ptr<UpstreamAttempt>> attempts_;
  bool stopped_ = false;
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_SERVER_H_
