// Beast body type whose memory grows with the bytes received, not with the
// announced Content-Length.

#ifndef MIMOSAGAUGE_IMPL_DUTIES_COMMON_GROWING_BODY_H_
#define MIMOSAGAUGE_IMPL_DUTIES_COMMON_GROWING_BODY_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace mimosagauge::detail {

/// \brief String body for Beast's parsers. Unlike `string_body`, it does not
/// reserve the announced Content-Length, so a peer cannot make this process
/// allocate memory for bytes that it never sends.
struct GrowingBody {
  // Beast requires these member names.
  using value_type = std::string;  // NOLINT(readability-identifier-naming)

  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool IsRequest, class Fields>
    explicit reader(boost::beast::http::header<IsRequest, Fields>& /*header*/,
                    value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/,
              boost::beast::error_code& error) {
      error = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::beast::error_code& error) {
      error = {};
      std::size_t total = 0;
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer part = *it;
        body_.append(static_cast<const char*>(part.data()), part.size());
        total += part.size();
      }
      return total;
    }

    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_DUTIES_COMMON_GROWING_BODY_H_
