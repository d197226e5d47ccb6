// Queries to a running instance.

#include "mimosagauge/impl/queries/live.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <optional>

#include "mimosagauge/impl/app/arguments.h"
#include "mimosagauge/impl/queries/operators_client.h"

namespace mimosagauge {
namespace {

using nlohmann::json;

constexpr unsigned kStatusOk = 200;

/// \brief How a query prints the document that it got.
using Printer = void (*)(const json& document);

void PrintRules(const json& document) {
  fmt::print("{}{}\n{}", kRevisionLine,
             document.at("revision").get<std::uint64_t>(),
             document.at("text").get<std::string>());
}

void PrintStatusLine(const json& instance) {
  const json& revision = instance.at("revision");
  const std::string known =
      revision.is_null()
          ? "not known"
          : fmt::format("revision {}", revision.get<std::uint64_t>());
  const json& age = instance.at("age_ms");
  fmt::print(
      "{:<24} {:<20} {:<16} {}\n", instance.at("instance").get<std::string>(),
      instance.at("region").get<std::string>(), known,
      age.is_null() ? ""
                    : fmt::format("heard {} ms ago", age.get<std::int64_t>()));
}

void PrintStatus(const json& document) {
  std::size_t unknown = 0;
  for (const json& instance : document.at("instances")) {
    PrintStatusLine(instance);
    unknown += instance.at("revision").is_null() ? 1U : 0U;
  }
  if (unknown > 0) {
    fmt::print("not known of {} of {} instances, as seen from {}\n", unknown,
               document.at("instances").size(),
               document.at("instance").get<std::string>());
  }
}

void PrintInstances(const json& document) {
  fmt::print("{} is {}{}\n", document.at("instance").get<std::string>(),
             document.at("ready").get<bool>() ? "ready" : "not ready",
             document.at("draining").get<bool>() ? ", draining" : "");
  for (const json& entry : document.at("entries")) {
    fmt::print("{:<24} {:<20} {:<24} {}\n",
               entry.at("instance").get<std::string>(),
               entry.at("region").get<std::string>(),
               entry.at("zone").get<std::string>(),
               entry.at("entry").get<std::string>());
  }
}

void PrintUpstreams(const json& document) {
  for (const json& upstream : document.at("upstreams")) {
    fmt::print("{:<32} {:<20} {:<24} {:<8} {} of {} in flight\n",
               upstream.at("upstream").get<std::string>(),
               upstream.at("service").get<std::string>(),
               upstream.at("zone").get<std::string>(),
               upstream.at("state").get<std::string>(),
               upstream.at("in_flight").get<std::uint64_t>(),
               upstream.at("limit").get<std::uint64_t>());
  }
}

[[nodiscard]] int Print(const std::string& body, bool as_json,
                        Printer printer) {
  if (as_json) {
    fmt::print("{}\n", body);
    return kExitOk;
  }
  try {
    printer(json::parse(body));
  } catch (const json::exception&) {
    fmt::print(stderr,
               "the instance's answer is malformed; check --instance\n");
    return kExitFailed;
  }
  return kExitOk;
}

[[nodiscard]] int Query(CommandLine& line, const std::string& path,
                        Printer printer,
                        const std::vector<std::string>& words) {
  const OperatorArguments arguments(line.parser);
  if (const auto exit = line.Parse(words)) {
    return *exit;
  }
  const auto target = arguments.target();
  if (!target) {
    return kExitUsage;
  }
  const auto reply = CallInstance(*target, {"GET", path, ""});
  if (!reply || reply.value().status != kStatusOk) {
    PrintFailure(reply);
    return kExitFailed;
  }
  return Print(reply.value().body, arguments.json(), printer);
}

}  // namespace

int RulesShow(const std::vector<std::string>& words) {
  CommandLine line("rules show",
                   "Prints the rules in force on an instance. The first line "
                   "names their revision; leave it there when you edit them "
                   "for `rules apply`.");
  return Query(line, "/v1/rules", PrintRules, words);
}

int RulesStatus(const std::vector<std::string>& words) {
  CommandLine line("rules status",
                   "Prints which revision of the rules is in force on each "
                   "instance, as far as the instance asked knows.");
  return Query(line, "/v1/rules/status", PrintStatus, words);
}

int Instances(const std::vector<std::string>& words) {
  CommandLine line("instances",
                   "Prints the state of an instance and the instances that "
                   "it sends callers to, in its order of preference.");
  return Query(line, "/v1/instances", PrintInstances, words);
}

int Upstreams(const std::vector<std::string>& words) {
  CommandLine line("upstreams",
                   "Prints the upstreams of an instance and the requests that "
                   "it has sent to them.");
  return Query(line, "/v1/upstreams", PrintUpstreams, words);
}

}  // namespace mimosagauge
