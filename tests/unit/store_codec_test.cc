// The codec of the key-value service: what is sent to the letter, and what is
// read from answers, also malformed ones.

#include "mimosagauge/impl/store/store_codec.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "mimosagauge/impl/store/base64.h"

namespace mimosagauge {
namespace {

using namespace std::chrono_literals;

TEST_CASE("Base64 of RFC 4648") {
  struct Row {
    std::string bytes;
    std::string text;
  };
  const auto row = GENERATE(values<Row>({
      {"", ""},
      {"f", "Zg=="},
      {"fo", "Zm8="},
      {"foo", "Zm9v"},
      {"foob", "Zm9vYg=="},
      {"fooba", "Zm9vYmE="},
      {"foobar", "Zm9vYmFy"},
      {std::string("\x00\xff\xfe", 3), "AP/+"},
  }));
  CHECK(EncodeBase64(row.bytes) == row.text);
  CHECK(DecodeBase64(row.text) == row.bytes);
}

TEST_CASE("what is not Base64 is refused") {
  const std::string text = GENERATE("Z", "Zg=", "Z===", "Zm9v====", "Zm-_",
                                    "Z g=", "=Zg=", "Zg==Zg==");
  CAPTURE(text);
  CHECK_FALSE(DecodeBase64(text));
}

TEST_CASE("calls are encoded as the JSON mapping of etcd v3") {
  struct Row {
    std::string encoded;
    std::string expected;
  };
  const auto row = GENERATE(values<Row>({
      {EncodeRange({"a"}), R"({"key":"YQ=="})"},
      {EncodeRange({"a", true}), R"({"key":"YQ==","range_end":"Yg=="})"},
      {EncodeRange({"a\xff", true}), R"({"key":"Yf8=","range_end":"Yg=="})"},
      {EncodeRange({"", true}), R"({"key":"","range_end":"AA=="})"},
      {EncodeGrant(1500ms), R"({"TTL":"2"})"},
      {EncodeGrant(0ms), R"({"TTL":"1"})"},
      {EncodeLeaseId(LeaseId{7587848390000000001}),
       R"({"ID":"7587848390000000001"})"},
      {EncodeWatch({"a"}, StoreRevision{}),
       R"({"create_request":{"key":"YQ==","progress_notify":true}})"},
      {EncodeWatch({"a"}, StoreRevision{9}),
       R"({"create_request":{"key":"YQ==","progress_notify":true,)"
       R"("start_revision":"9"}})"},
      {EncodeTransaction({{{"a", StoreRevision{3}}},
                          {StorePut{"a", "v", LeaseId{5}}, StoreDelete{"b"}},
                          {{"c"}}}),
       R"({"compare":[{"key":"YQ==","mod_revision":"3","result":"EQUAL",)"
       R"("target":"MOD"}],"failure":[{"request_range":{"key":"Yw=="}}],)"
       R"("success":[{"request_put":{"key":"YQ==","lease":"5",)"
       R"("value":"dg=="}},{"request_delete_range":{"key":"Yg=="}}]})"},
  }));
  CHECK(row.encoded == row.expected);
}

TEST_CASE("a range's answer is read with left-out fields") {
  const auto read = DecodeRange(
      R"({"header":{"revision":"12"},"kvs":[{"key":"YQ==","value":"dg==",)"
      R"("create_revision":"3","mod_revision":"9","lease":"5"},)"
      R"({"key":"Yg=="}],"more":true,"count":"3"})");
  REQUIRE(read);
  CHECK(read.value().revision == StoreRevision{12});
  CHECK(read.value().more);
  CHECK(read.value().entries ==
        std::vector<StoreEntry>{
            {"a", "v", StoreRevision{3}, StoreRevision{9}, LeaseId{5}},
            {"b", "", {}, {}, {}}});
}

TEST_CASE("a transaction's answer says whether it was applied") {
  const auto applied = DecodeTransaction(
      R"({"header":{"revision":"4"},"succeeded":true,)"
      R"("responses":[{"response_put":{"header":{"revision":"4"}}}]})");
  REQUIRE(applied);
  CHECK(applied.value().applied);
  const auto refused = DecodeTransaction(
      R"({"header":{"revision":"4"},"responses":[{"response_range":)"
      R"({"kvs":[{"key":"YQ==","mod_revision":"4"}]}}]})");
  REQUIRE(refused);
  CHECK_FALSE(refused.value().applied);
  REQUIRE(refused.value().entries.size() == 1);
  CHECK(refused.value().entries.front().modified == StoreRevision{4});
}

TEST_CASE("a lapsed lease has no time left") {
  const auto lapsed =
      DecodeKeepAlive(R"({"result":{"header":{"revision":"1"},"ID":"5"}})");
  REQUIRE(lapsed);
  CHECK(lapsed.value().remaining == 0s);
  const auto live = DecodeKeepAlive(R"({"result":{"ID":"5","TTL":"10"}})");
  REQUIRE(live);
  CHECK(live.value().remaining == 10s);
}

TEST_CASE("a watch tells changes, removals and gaps") {
  const auto changes = DecodeWatch(
      R"({"result":{"header":{"revision":"8"},"events":[{"kv":{"key":"YQ==",)"
      R"("value":"dg==","mod_revision":"7"}},{"type":"DELETE","kv":)"
      R"({"key":"YQ==","mod_revision":"8"}}]}})");
  REQUIRE(changes);
  REQUIRE(changes.value().changes.size() == 2);
  CHECK(changes.value().changes[0].entry->value == "v");
  CHECK_FALSE(changes.value().changes[1].entry);
  CHECK(changes.value().changes[1].modified == StoreRevision{8});
  const auto gap =
      DecodeWatch(R"({"result":{"header":{"revision":"8"},"canceled":true,)"
                  R"("compact_revision":"5"}})");
  REQUIRE(gap);
  CHECK(gap.value().gap);
  const auto ended =
      DecodeWatch(R"({"result":{"header":{"revision":"8"},"canceled":true}})");
  REQUIRE_FALSE(ended);
  CHECK(ended.error().kind == ErrorKind::kUnavailable);
}

TEST_CASE("malformed answers are refused") {
  const std::string text = GENERATE(
      "", "null", "[]", "{", "{}", R"({"header":[]})",
      R"({"header":{"revision":"x"}})", R"({"header":{"revision":"-1"}})",
      R"({"header":{"revision":1.5}})",
      R"({"header":{"revision":"99999999999999999999"}})",
      R"({"header":{"revision":"1"},"kvs":{}})",
      R"({"header":{"revision":"1"},"kvs":[7]})",
      R"({"header":{"revision":"1"},"kvs":[{"key":"%"}]})",
      R"({"header":{"revision":"1"},"kvs":[{"key":7}]})");
  CAPTURE(text);
  CHECK_FALSE(DecodeRange(text));
  CHECK_FALSE(DecodeWatch(text));
  CHECK_FALSE(DecodeGrant(text));
  CHECK_FALSE(DecodeKeepAlive(text));
}

TEST_CASE("only an unavailable service leaves a write's outcome open") {
  struct Row {
    unsigned status;
    std::string body;
    ErrorKind kind;
  };
  const auto row = GENERATE(values<Row>({
      {400, R"({"code":3,"message":"bad"})", ErrorKind::kInvalidInput},
      {401, "", ErrorKind::kUnauthenticated},
      {404, R"({"code":5})", ErrorKind::kNotFound},
      {429, R"({"code":8})", ErrorKind::kOverloaded},
      {500, R"({"code":8})", ErrorKind::kOverloaded},
      {500, "not JSON", ErrorKind::kUnavailable},
      {503, R"({"code":14,"message":"no leader"})", ErrorKind::kUnavailable},
      {504, R"({"code":4})", ErrorKind::kUnavailable},
  }));
  CAPTURE(row.status, row.body);
  CHECK(DecodeErrorAnswer(row.status, row.body).kind == row.kind);
}

}  // namespace
}  // namespace mimosagauge
