// Any bytes on a link: the decoder ends with a message or an error, and what
// it accepts can be encoded again.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "mimosagauge/impl/wire/codec.h"

namespace {

constexpr std::size_t kChunkBytes = 61;

void DecodeAll(mimosagauge::FrameDecoder& decoder) {
  for (;;) {
    const auto frame = decoder.Next();
    if (!frame || !frame.value()) {
      return;
    }
    const auto message = mimosagauge::DecodeMessage(*frame.value());
    if (message && message.value()) {
      const std::uint8_t version = mimosagauge::kMaxProtocolVersion;
      const std::string again =
          mimosagauge::EncodeMessage(*message.value(), version);
      if (again.size() < mimosagauge::kFramePrefixBytes) {
        std::abort();
      }
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  mimosagauge::FrameDecoder decoder;
  if (size % 2 == 0) {
    decoder.EndGreeting(mimosagauge::kMaxProtocolVersion);
  }
  for (std::size_t at = 0; at < size; at += kChunkBytes) {
    decoder.Feed(bytes.substr(at, kChunkBytes));
    DecodeAll(decoder);
  }
  return 0;
}
