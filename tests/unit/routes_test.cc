// Requests find their route, and the route says what may be done with them.

#include "mimosagauge/impl/decisions/routes.h"

#include <catch2/catch.hpp>
#include <string>

namespace mimosagauge {
namespace {

[[nodiscard]] Route Named(const std::string& name, const std::string& host,
                          const std::string& prefix) {
  Route route;
  route.id = RouteId{name};
  route.host = host;
  route.prefix = prefix;
  route.services = {{ServiceId{"one"}, 90}, {ServiceId{"two"}, 10}};
  return route;
}

TEST_CASE("the longest prefix of the path decides, within its host") {
  RouteCatalogue catalogue;
  catalogue.routes = {Named("root", "nets.example", "/"),
                      Named("orders", "nets.example", "/orders/"),
                      Named("old", "nets.example", "/orders/old/"),
                      Named("other", "else.example", "/orders/old/deep/")};
  IndexRoutes(catalogue);
  const auto [host, path, expected] =
      GENERATE(table<std::string, std::string, std::string>({
          {"nets.example", "/orders/1", "orders"},
          {"nets.example", "/orders/old/1", "old"},
          {"nets.example", "/orders/old/", "old"},
          {"nets.example", "/orders/old/deep/1", "old"},
          {"nets.example", "/orders", "root"},
          {"nets.example", "/", "root"},
          {"nets.example", "/ordersx/1", "root"},
          {"else.example", "/orders/1", ""},
          {"none.example", "/", ""},
          {"nets.example", "", ""},
      }));
  CAPTURE(host, path);
  const Route* route = FindRoute(catalogue, host, path);
  CHECK((route == nullptr ? "" : route->id.value()) == expected);
}

TEST_CASE("a route's services get their shares, and a choice made is kept") {
  const Route route = Named("orders", "nets.example", "/orders/");
  const auto [draw, named, expected] =
      GENERATE(table<double, std::string, std::string>({
          {0.0, "", "one"},
          {0.899, "", "one"},
          {0.901, "", "two"},
          {0.999, "", "two"},
          {0.0, "two", "two"},
          {0.95, "one", "one"},
          {0.0, "dropped", "one"},
      }));
  RequestHead head;
  head.service = ServiceId{named};
  CHECK(MakeVerdict(route, head, draw).service == ServiceId{expected});
}

TEST_CASE("what may be repeated follows from the kind of a route") {
  const auto [idempotent, stream, resumable, repeated] =
      GENERATE(table<bool, bool, bool, bool>({
          {true, false, false, true},
          {false, false, false, false},
          {false, true, false, false},
          {false, true, true, true},
          {false, false, true, false},
      }));
  Route route = Named("orders", "nets.example", "/orders/");
  route.idempotent = idempotent;
  route.stream = stream;
  route.resumable = resumable;
  CHECK(MakeVerdict(route, {}, 0).idempotent == repeated);
}

}  // namespace
}  // namespace mimosagauge
