// Driving a gateway under an operators' configuration.

#include "tests/support/fleet_gateway.h"

namespace mimosagauge::testing {
namespace {

constexpr std::uint64_t kSeed = 7;
constexpr std::size_t kEngineSlots = 64;
constexpr std::size_t kDeskSlots = 6;

[[nodiscard]] GatewayConfig Config(const std::string& instance,
                                   const std::string& region) {
  GatewayConfig config;
  config.instance = InstanceId{instance};
  config.region = RegionId{region};
  config.zone = ZoneId{region + "-a"};
  config.entry = {"10.1.0.1", 8000};
  config.limits.due_grace = std::chrono::milliseconds(150);
  config.limits.leave_notice = std::chrono::milliseconds(1500);
  config.limits.retry_ratio = 0.2;
  config.limits.retry_slack = 50;
  return config;
}

[[nodiscard]] Route MakeRoute(const std::string& name, const std::string& host,
                              const std::string& service) {
  Route route;
  route.id = RouteId{name};
  route.host = host;
  route.prefix = "/" + name + "/";
  route.services = {{ServiceId{service}, 1}};
  return route;
}

}  // namespace

RouteCatalogue FleetGateway::Catalogue(std::uint64_t revision) {
  RouteCatalogue catalogue;
  catalogue.revision = Revision{revision};
  Route quote = MakeRoute("quote", "nets.example", "engines");
  quote.stream = true;
  quote.timeout = std::chrono::seconds(10);
  quote.objective = std::chrono::milliseconds(1200);
  quote.priority = 1;
  Route size = MakeRoute("size", "nets.example", "engines");
  size.stream = true;
  size.resumable = true;
  size.attempts = 2;
  size.timeout = std::chrono::seconds(5);
  size.objective = std::chrono::milliseconds(800);
  size.priority = 0;
  size.regions = {RegionId{"nairobi"}, RegionId{"mombasa"}};
  Route status = MakeRoute("status", "nets.example", "desk");
  status.idempotent = true;
  status.attempts = 2;
  status.timeout = std::chrono::seconds(2);
  status.objective = std::chrono::milliseconds(400);
  status.priority = 2;
  Route deposit = status;
  deposit.id = RouteId{"deposit"};
  deposit.prefix = "/deposit/";
  deposit.idempotent = false;
  deposit.attempts = 1;
  catalogue.routes = {quote, size, status, deposit};
  ServiceProfile engines;
  engines.id = ServiceId{"engines"};
  engines.cold = std::chrono::seconds(3);
  engines.cold_rate = 4.5;
  engines.health_path = "/healthz";
  engines.engine = EngineProfile{kEngineSlots, 350000, 327680, {}};
  ServiceProfile desk;
  desk.id = ServiceId{"desk"};
  catalogue.services = {{engines.id, engines}, {desk.id, desk}};
  IndexRoutes(catalogue);
  return catalogue;
}

FleetGateway::FleetGateway(const std::string& instance, bool just_started,
                           const std::string& region)
    : gateway_(MakeGateway(Config(instance, region), now_, kSeed)) {
  Give(CatalogueReceived{std::make_shared<const RouteCatalogue>(Catalogue(1))});
  if (just_started) {
    return;
  }
  for (auto& [service, budget] : gateway_.budgets) {
    budget.tokens = budget.token_limit;
  }
}

std::vector<Effect> FleetGateway::Give(Event event) {
  return Step(gateway_, now_, std::move(event));
}

std::vector<Effect> FleetGateway::Pass(Duration duration) {
  now_ += duration;
  return Give(Tick{});
}

std::vector<Effect> FleetGateway::Upstream(const std::string& id,
                                           const std::string& service,
                                           bool leaving, Duration cold,
                                           const std::string& zone) {
  UpstreamRecord record;
  record.config.id = UpstreamId{id};
  record.config.service = ServiceId{service};
  record.config.zone = ZoneId{zone};
  record.config.concurrency = service == "desk" ? kDeskSlots : kEngineSlots;
  record.config.honours_resume = true;
  record.config.endpoint = {"10.1.64.1", 8467};
  record.leaving = leaving;
  record.cold_remaining = cold;
  return Give(UpstreamUpdated{record});
}

void FleetGateway::Instance(const std::string& id, const std::string& region) {
  PeerConfig peer;
  peer.id = InstanceId{id};
  peer.region = RegionId{region};
  peer.zone = ZoneId{region + "-a"};
  peer.entry = {"10.2.0.1", 8000};
  peer.link = {"10.2.0.1", 7660};
  Give(InstanceUpdated{peer});
  Give(LinkChanged{peer.id, true});
}

std::pair<RequestNumber, std::vector<Effect>> FleetGateway::Request(
    const FleetRequest& request) {
  auto head = std::make_shared<RequestHead>();
  head->id = RequestId{request.id.empty() ? "r" + std::to_string(next_number_)
                                          : request.id};
  head->host = "nets.example";
  head->method = "POST";
  head->target = request.path;
  head->caller_path = request.path;
  head->entry_region = RegionId{"nairobi"};
  head->remaining = request.remaining;
  head->prompt = request.prompt;
  head->revision = request.revision;
  head->runs = request.runs;
  head->digest = ContentDigest{request.digest};
  if (request.origin == Origin::kLink) {
    head->path = {{RegionId{"mombasa"}, "mombasa-1"}};
  }
  const RequestNumber number{next_number_};
  next_number_ += 2;
  return {number, Give(RequestArrived{number, request.origin, head,
                                      std::make_shared<const std::string>()})};
}

std::vector<Effect> FleetGateway::Answer(AttemptNumber attempt,
                                         std::uint16_t status, bool stream) {
  AnswerHead head;
  head.status = status;
  if (stream) {
    head.headers = {{"Content-Type", "text/event-stream"}};
  }
  std::vector<Effect> effects = Give(AttemptHeadReceived{attempt, head, {}});
  if (!stream) {
    for (Effect& effect : Give(AttemptEnded{attempt})) {
      effects.push_back(std::move(effect));
    }
  }
  return effects;
}

std::vector<Effect> FleetGateway::Fail(AttemptNumber attempt, RunState run,
                                       ErrorKind kind) {
  return Give(AttemptFailed{attempt, run, {kind, "failed", ""}, {}});
}

}  // namespace mimosagauge::testing
