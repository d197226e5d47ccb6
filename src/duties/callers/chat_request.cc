// A SAX reader that keeps three top-level members and counts depth.

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

// The names of the members are those of nlohmann's SAX interface.
class ChatReader : public nlohmann::json_sax<nlohmann::json> {
 public:
  bool null() override { return Scalar(); }
  bool boolean(bool value) override {
    if (IsMember("stream")) {
      request_.stream = value;
      return true;
    }
    return Scalar();
  }
  bool number_integer(number_integer_t /*value*/) override { return Scalar(); }
  bool number_unsigned(number_unsigned_t /*value*/) override {
    return Scalar();
  }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return Scalar();
  }
  bool string(string_t& value) override {
    if (!IsMember("model")) {
      return Scalar();
    }
    if (!IsModelName(value)) {
      return Fail("'model' is not a name of 1 to 256 printable characters",
                  "send the model's name");
    }
    request_.model = ModelId{value};
    return true;
  }
  bool binary(binary_t& /*value*/) override { return Scalar(); }

  bool start_object(std::size_t /*size*/) override { return Enter(false); }
  bool start_array(std::size_t /*size*/) override { return Enter(true); }
  bool end_object() override { return Leave(); }
  bool end_array() override { return Leave(); }

  bool key(string_t& name) override {
    if (depth_ != 1) {
      return true;
    }
    member_ = name;
    return Once("model", models_) && Once("stream", streams_) &&
           Once("messages", messages_);
  }

  bool parse_error(std::size_t position, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return Fail("the body is not JSON at byte " + std::to_string(position),
                "send one valid JSON object in UTF-8");
  }

  // Call after parsing.
  [[nodiscard]] Result<ChatRequest> Finish(bool parsed) {
    if (!parsed) {
      return std::move(error_);
    }
    if (request_.model.empty()) {
      return Invalid("the body has no 'model'", "name the model as a string");
    }
    if (!has_messages_) {
      return Invalid("the body has no 'messages'", "send them as an array");
    }
    return std::move(request_);
  }

 private:
  [[nodiscard]] static Error Invalid(std::string message, std::string remedy) {
    return {ErrorKind::kInvalidInput, std::move(message), std::move(remedy)};
  }

  bool Fail(std::string message, std::string remedy) {
    error_ = Invalid(std::move(message), std::move(remedy));
    return false;
  }

  [[nodiscard]] bool IsMember(std::string_view name) const {
    return depth_ == 1 && member_ == name;
  }

  bool Once(std::string_view name, int& seen) {
    if (member_ != name || ++seen == 1) {
      return true;
    }
    return Fail("'" + member_ + "' stands more than once", "send it once");
  }

  // A value that is none of those looked for.
  bool Scalar() {
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

  bool Enter(bool array) {
    if (depth_ == 0 && array) {
      return Fail("the body is not a JSON object", "send one object");
    }
    if (array && IsMember("messages")) {
      has_messages_ = true;
    } else if (!CheckMemberType()) {
      return false;
    }
    if (++depth_ > kMaxDepth) {
      return Fail("the body is nested too deeply", "nest at most 64 levels");
    }
    return true;
  }

  bool Leave() {
    --depth_;
    return true;
  }

  ChatRequest request_;
  Error error_;
  std::string member_;  // The top-level member being read.
  std::size_t depth_ = 0;
  int models_ = 0;
  int streams_ = 0;
  int messages_ = 0;
  bool has_messages_ = false;
};

}  // namespace

Result<ChatRequest> ParseChatRequest(std::string_view text) {
  ChatReader reader;
  const bool parsed =
      nlohmann::json::sax_parse(text.begin(), text.end(), &reader);
  return reader.Finish(parsed);
}

}  // namespace mimosagauge
