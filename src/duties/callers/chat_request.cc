// A SAX handler that checks three top-level members and the nesting depth.

#include "mimosagauge/impl/duties/callers/chat_request.h"

#include <algorithm>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace mimosagauge {
namespace {

constexpr std::size_t kMaxDepth = 64;
constexpr std::size_t kMaxModelBytes = 256;

[[nodiscard]] bool IsModelName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxModelBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

// The names of the public members are those of nlohmann's SAX interface.
class ChatRequestSaxHandler : public nlohmann::json_sax<nlohmann::json> {
 public:
  bool null() override { return OnOtherScalar(); }
  bool boolean(bool value) override {
    if (IsMember("stream")) {
      request_.stream = value;
      return true;
    }
    return OnOtherScalar();
  }
  bool number_integer(number_integer_t /*value*/) override {
    return OnOtherScalar();
  }
  bool number_unsigned(number_unsigned_t /*value*/) override {
    return OnOtherScalar();
  }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return OnOtherScalar();
  }
  bool string(string_t& value) override {
    if (!IsMember("model")) {
      return OnOtherScalar();
    }
    if (!IsModelName(value)) {
      return Fail(
          "'model' is not a name of 1 to 256 printable ASCII characters "
          "without spaces",
          "send the model's name");
    }
    request_.model = ModelId{value};
    return true;
  }
  bool binary(binary_t& /*value*/) override { return OnOtherScalar(); }

  bool start_object(std::size_t /*size*/) override {
    return OpenContainer(false);
  }
  bool start_array(std::size_t /*size*/) override {
    return OpenContainer(true);
  }
  bool end_object() override { return CloseContainer(); }
  bool end_array() override { return CloseContainer(); }

  bool key(string_t& name) override {
    if (depth_ != 1) {
      return true;
    }
    member_ = name;
    return CheckNotRepeated("model", model_count_) &&
           CheckNotRepeated("stream", stream_count_) &&
           CheckNotRepeated("messages", messages_count_);
  }

  bool parse_error(std::size_t position, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return Fail(
        "the body is not valid JSON: error at byte " + std::to_string(position),
        "send one valid JSON object in UTF-8");
  }

  // Returns the request, or the first error. Call once, after parsing.
  // `parsed`: whether the parser reached the end of the text.
  [[nodiscard]] Result<ChatRequest> Finish(bool parsed) {
    if (!parsed) {
      return std::move(error_);
    }
    if (request_.model.empty()) {
      return InvalidRequest("the body has no 'model'",
                            "send the model's name as a string");
    }
    if (!has_messages_) {
      return InvalidRequest("the body has no 'messages'",
                            "send them as an array");
    }
    return std::move(request_);
  }

 private:
  [[nodiscard]] static Error InvalidRequest(std::string message,
                                            std::string remedy) {
    return {ErrorKind::kInvalidInput, std::move(message), std::move(remedy)};
  }

  bool Fail(std::string message, std::string remedy) {
    error_ = InvalidRequest(std::move(message), std::move(remedy));
    return false;
  }

  [[nodiscard]] bool IsMember(std::string_view name) const {
    return depth_ == 1 && member_ == name;
  }

  bool CheckNotRepeated(std::string_view name, int& count) {
    if (member_ != name || ++count == 1) {
      return true;
    }
    return Fail("'" + member_ + "' occurs more than once", "send it once");
  }

  // Handles a scalar value that is not an expected `model` or `stream`.
  bool OnOtherScalar() {
    if (depth_ == 0) {
      return Fail("the body is not a JSON object", "send one object");
    }
    return CheckMemberType();
  }

  bool CheckMemberType() {
    if (IsMember("model")) {
      return Fail("'model' is not a string", "send the model's name");
    }
    if (IsMember("stream")) {
      return Fail("'stream' is not a boolean", "send true or false");
    }
    if (IsMember("messages")) {
      return Fail("'messages' is not an array", "send an array of messages");
    }
    return true;
  }

  bool OpenContainer(bool array) {
    if (depth_ == 0 && array) {
      return Fail("the body is not a JSON object", "send one object");
    }
    if (array && IsMember("messages")) {
      has_messages_ = true;
    } else if (!CheckMemberType()) {
      return false;
    }
    if (++depth_ > kMaxDepth) {
      return Fail("the body is nested more than 64 levels deep",
                  "send a body of at most 64 nested levels");
    }
    return true;
  }

  bool CloseContainer() {
    --depth_;
    return true;
  }

  ChatRequest request_;
  Error error_;
  std::string member_;  // Name of the top-level member being read.
  std::size_t depth_ = 0;
  int model_count_ = 0;
  int stream_count_ = 0;
  int messages_count_ = 0;
  bool has_messages_ = false;
};

}  // namespace

Result<ChatRequest> ParseChatRequest(std::string_view text) {
  ChatRequestSaxHandler handler;
  const bool parsed =
      nlohmann::json::sax_parse(text.begin(), text.end(), &handler);
  return handler.Finish(parsed);
}

}  // namespace mimosagauge
