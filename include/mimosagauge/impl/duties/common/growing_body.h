// A Beast body that grows with what arrives, whatever length was announced.

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

/// \brief Body type for Beast's parsers. Unlike `string_body` it reserves
/// nothing: a peer that announces much and sends little costs little.
struct GrowingBody {
  // Beast looks for these names.
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
