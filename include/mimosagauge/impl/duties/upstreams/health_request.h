// A request for the state of an upstream.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_HEALTH_REQUEST_H_
#define MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_HEALTH_REQUEST_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <string>

#include "mimosagauge/impl/decisions/effects.h"
#include "mimosagauge/impl/decisions/events.h"
#include "mimosagauge/impl/duties/common/mailbox.h"
#include "mimosagauge/impl/duties/upstreams/dialect.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge::detail {

/// \brief One health request on a connection of its own. It posts
/// `UpstreamHealthReceived` when the head of the response has arrived, and
/// nothing when there is none within a second.
class HealthRequest : public std::enable_shared_from_this<HealthRequest> {
 public:
  /// \param dialect Must outlive the request and have `format_health`.
  /// \param decisions Must outlive the request.
  static void Start(RequestHealth request, const UpstreamSettings& upstream,
                    boost::asio::io_context& io, const UpstreamDialect& dialect,
                    Mailbox<Event>& decisions);

  HealthRequest(RequestHealth request, const UpstreamSettings& upstream,
                boost::asio::io_context& io, const UpstreamDialect& dialect,
                Mailbox<Event>& decisions);

 private:
  void Connect(const Endpoint& endpoint);
  void Write();
  void Read();
  void OnHead();

  RequestHealth request_;
  const UpstreamDialect& dialect_;
  Mailbox<Event>& decisions_;
  boost::beast::tcp_stream stream_;
  std::string header_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::response_parser<boost::beast::http::empty_body> parser_;
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DUTIES_UPSTREAMS_HEALTH_REQUEST_H_
