// One HTTP call to an instance, and what is printed when it fails.

#include "mimosagauge/impl/queries/operators_client.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <vector>

#include "mimosagauge/impl/queries/rules_file.h"
#include "mimosagauge/impl/store/http_connection.h"

namespace mimosagauge {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using nlohmann::json;

constexpr int kHttp11 = 11;
constexpr std::size_t kMaxAnswerBytes = 16UL * 1024 * 1024;
constexpr const char* kTokenVariable = "MIMOSAGAUGE_TOKEN";
constexpr Duration kConnectTimeout = std::chrono::seconds(3);

[[nodiscard]] std::optional<std::string> ReadToken(const std::string& file) {
  if (file.empty()) {
    const char* token = std::getenv(kTokenVariable);
    return token == nullptr ? std::nullopt : std::optional<std::string>(token);
  }
  std::ifstream stream(file);
  std::string token;
  if (!std::getline(stream, token)) {
    return std::nullopt;
  }
  token.erase(token.find_last_not_of(" \t\r") + 1);
  return token;
}

/// \brief Connects, sends and reads, each with a timeout.
class Exchange {
 public:
  Exchange(const OperatorTarget& target, const OperatorCall& call,
           Duration timeout)
      : target_(target), timeout_(timeout), stream_(io_context_) {
    parser_.body_limit(kMaxAnswerBytes);
    const auto verb = http::string_to_verb(call.method);
    request_ = {verb, call.path, kHttp11, call.body};
    request_.set(http::field::host, ToString(target.instance));
    request_.set(http::field::authorization, "Bearer " + target.token);
    request_.set(http::field::connection, "close");
    if (!call.body.empty()) {
      request_.set(http::field::content_type, "application/json");
    }
    request_.prepare_payload();
  }

  [[nodiscard]] Result<OperatorReply> Run() {
    Connect();
    io_context_.run();
    if (!failure_) {
      return OperatorReply{parser_.get().result_int(), parser_.get().body()};
    }
    const std::string why = failure_.message();
    if (sent_) {
      return Error{
          ErrorKind::kUnknownOutcome,
          fmt::format("{} did not answer: {}", ToString(target_.instance), why),
          "look whether the change took effect"};
    }
    return Error{ErrorKind::kUnavailable,
                 fmt::format("{} cannot be reached: {}",
                             ToString(target_.instance), why),
                 "check --instance; it is the address of listen.operators"};
  }

 private:
  using ErrorCode = boost::system::error_code;

  void Connect() {
    stream_.expires_after(kConnectTimeout);
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(target_.instance.address),
        target_.instance.port);
    stream_.async_connect(endpoint, [this](const ErrorCode& error) {
      failure_ = error;
      if (!error) {
        Write();
      }
    });
  }

  void Write() {
    sent_ = true;
    stream_.expires_after(timeout_);
    http::async_write(stream_, request_,
                      [this](const ErrorCode& error, std::size_t) {
                        failure_ = error;
                        if (!error) {
                          Read();
                        }
                      });
  }

  void Read() {
    http::async_read(
        stream_, buffer_, parser_,
        [this](const ErrorCode& error, std::size_t) { failure_ = error; });
  }

  const OperatorTarget& target_;
  Duration timeout_;
  asio::io_context io_context_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
  ErrorCode failure_;
  bool sent_ = false;
};

[[nodiscard]] std::vector<RuleFault> FaultsOf(const json& document,
                                              std::uint32_t line_offset) {
  std::vector<RuleFault> faults;
  for (const json& fault : document.value("faults", json::array())) {
    faults.push_back({fault.value("line", 0U) + line_offset,
                      fault.value("column", 0U),
                      fault.value("message", std::string{}),
                      fault.value("remedy", std::string{})});
  }
  return faults;
}

void PrintSide(const char* who, const json& side) {
  fmt::print(stderr, "  {:<7}", who);
  const std::string text = side.value("text", std::string{});
  fmt::print(stderr, "{}\n", text.empty() ? "(removed)" : text);
}

void PrintConflicts(const json& document) {
  for (const json& conflict : document.value("conflicts", json::array())) {
    fmt::print(stderr, "conflict at line {} of the base:\n",
               conflict.at("base").value("line", 0U));
    PrintSide("base", conflict.at("base"));
    PrintSide("theirs", conflict.at("theirs"));
    PrintSide("mine", conflict.at("mine"));
  }
}

void PrintProblem(const OperatorReply& reply, const std::string& file,
                  std::uint32_t line_offset) {
  const json document = json::parse(reply.body, nullptr, false);
  if (!document.is_object()) {
    fmt::print(stderr, "the instance answered {}; check --instance\n",
               reply.status);
    return;
  }
  fmt::print(stderr, "{}; {}\n",
             document.value("detail", std::string("refused")),
             document.value("remedy", std::string{}));
  fmt::print(stderr, "{}", FaultsAsText(file, FaultsOf(document, line_offset)));
  PrintConflicts(document);
}

}  // namespace

OperatorArguments::OperatorArguments(TCLAP::CmdLine& parser)
    : instance_("", "instance",
                "Operators address of an instance, as in 127.0.0.1:20012.",
                true, "", "ADDRESS:PORT", parser),
      token_file_("", "token-file",
                  "File with the operators' token; without it the environment "
                  "variable MIMOSAGAUGE_TOKEN holds the token.",
                  false, "", "FILE", parser),
      json_("", "json", "Print JSON.", parser) {}

std::optional<OperatorTarget> OperatorArguments::target() const {
  const Result<Endpoint> endpoint = ParseEndpoint(instance_.getValue());
  if (!endpoint) {
    fmt::print(stderr, "{}\n", ToString(endpoint.error()));
    return std::nullopt;
  }
  const auto token = ReadToken(token_file_.getValue());
  if (!token || token->empty()) {
    fmt::print(stderr,
               "there is no token; give --token-file, or set {} in the "
               "environment\n",
               kTokenVariable);
    return std::nullopt;
  }
  return OperatorTarget{endpoint.value(), *token};
}

Result<OperatorReply> CallInstance(const OperatorTarget& target,
                                   const OperatorCall& call, Duration timeout) {
  return Exchange(target, call, timeout).Run();
}

void PrintFailure(const Result<OperatorReply>& reply, const std::string& file,
                  std::uint32_t line_offset) {
  if (!reply) {
    fmt::print(stderr, "{}\n", ToString(reply.error()));
    return;
  }
  try {
    PrintProblem(reply.value(), file, line_offset);
  } catch (const json::exception&) {
    fmt::print(stderr,
               "the instance's answer is malformed; check --instance\n");
  }
}

}  // namespace mimosagauge
