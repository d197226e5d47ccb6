// Reads a settings text into `Settings`.

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <utility>

#include "mimosagauge/impl/core/unit_text.h"
#include "mimosagauge/impl/settings/contradictions.h"
#include "mimosagauge/impl/settings/section.h"
#include "mimosagauge/impl/settings/settings.h"
#include "mimosagauge/impl/settings/text_file.h"

namespace mimosagauge {
namespace {

using detail::Section;
using detail::SettingsReport;
using detail::TokenText;

constexpr Bytes kMaxTokenFile = Kibibytes(4);

/// File names in settings are relative to the settings file.
[[nodiscard]] std::string ResolveFile(const SettingsReport& report,
                                      const std::string& name) {
  const std::filesystem::path file(name);
  const auto folder = std::filesystem::path(report.file).parent_path();
  return file.is_absolute() ? name : (folder / file).string();
}

void ReadFileName(Section& section, const std::string& key,
                  std::string& value) {
  std::string name;
  Read(section, key, name);
  if (name.empty()) {
    return;
  }
  value = ResolveFile(section.report, name);
  if (!std::ifstream(value)) {
    AddFault(section.report, section.prefix + key,
             fmt::format("the file '{}' cannot be read", value),
             "check its name and permissions");
  }
}

/// \returns The token in the file, without the blanks at its end.
[[nodiscard]] Result<TokenText> ReadTokenFile(const std::string& file) {
  const Result<std::string> text = ReadTextFile(file, kMaxTokenFile);
  if (!text) {
    return text.error();
  }
  const std::size_t end = text.value().find_last_not_of(" \r\n") + 1;
  return detail::FromText(text.value().substr(0, end),
                          static_cast<TokenText*>(nullptr));
}

void ReadToken(Section& section, std::string& value) {
  TokenText token;
  Read(section, "token", token);
  value = token.value;
  std::string file;
  ReadFileName(section, "token_file", file);
  const bool both = Has(section, "token") && Has(section, "token_file");
  const bool none = !Has(section, "token") && !Has(section, "token_file");
  if (both || none) {
    const char* what = both ? "token is given twice" : "token is missing";
    AddFault(section.report, section.prefix, section.prefix + what,
             "give either token or token_file");
    return;
  }
  if (file.empty()) {
    return;
  }
  const Result<TokenText> read = ReadTokenFile(file);
  if (!read) {
    AddFault(section.report, section.prefix + "token_file",
             fmt::format("'{}': {}", file, read.error().message),
             read.error().remedy);
    return;
  }
  value = read.value().value;
}

[[nodiscard]] RegionSettings ReadRegion(Section& section) {
  RegionSettings region;
  Read(section, "id", region.id);
  Read(section, "zones", region.zones);
  return region;
}

[[nodiscard]] AccountSettings ReadAccount(Section& section) {
  AccountSettings account;
  Read(section, "id", account.id);
  ReadToken(section, account.token);
  Read(section, "home", account.home);
  return account;
}

[[nodiscard]] PeerSettings ReadPeer(Section& section) {
  PeerSettings peer;
  Read(section, "id", peer.id);
  Read(section, "region", peer.region);
  Read(section, "zone", peer.zone);
  Read(section, "peer", peer.peer);
  Read(section, "entry", peer.entry);
  return peer;
}

[[nodiscard]] UpstreamSettings ReadUpstream(Section& section) {
  UpstreamSettings upstream;
  Read(section, "id", upstream.id);
  Read(section, "service", upstream.service);
  Read(section, "zone", upstream.zone);
  Read(section, "endpoint", upstream.endpoint);
  Read(section, "kind", upstream.kind);
  Read(section, "models", upstream.models);
  Read(section, "concurrency", upstream.concurrency);
  Read(section, "honours_priority", upstream.honours_priority);
  Read(section, "honours_resume", upstream.honours_resume);
  Read(section, "checks_orderer", upstream.checks_orderer);
  Read(section, "fencing", upstream.fencing);
  return upstream;
}

[[nodiscard]] RegionLinkSettings ReadLink(Section& section) {
  RegionLinkSettings link;
  std::vector<RegionId> between;
  Read(section, "between", between);
  if (between.size() == 2) {
    link.a = between[0];
    link.b = between[1];
  } else if (Has(section, "between")) {
    AddFault(
        section.report, section.prefix + "between",
        fmt::format("'{}between' does not name two regions", section.prefix),
        "write two names, as in [nairobi-a, mombasa-a]");
  }
  Read(section, "width", link.width);
  Read(section, "latency", link.latency);
  return link;
}

[[nodiscard]] ObjectiveSettings ReadObjective(Section& section) {
  ObjectiveSettings objective;
  Read(section, "service", objective.service);
  Read(section, "priority", objective.priority);
  Read(section, "target", objective.target);
  Read(section, "latency", objective.latency);
  return objective;
}

template <typename T, typename ReadEntry>
void ReadList(Section& parent, const std::string& key, std::vector<T>& values,
              ReadEntry read_entry) {
  for (Section& section : OpenSections(parent, key)) {
    values.push_back(read_entry(section));
  }
}

void ReadListen(Section& file, Settings& settings) {
  if (auto section = OpenSection(file, "listen")) {
    Read(*section, "entry", settings.entry);
    Read(*section, "peer", settings.peer);
    Read(*section, "operators", settings.operators);
    Read(*section, "ready", settings.ready);
    Read(*section, "directory", settings.directory);
    Read(*section, "metrics", settings.metrics);
  }
}

void ReadPlatform(Section& file, Settings& settings) {
  if (auto section = OpenSection(file, "platform")) {
    Read(*section, "store", settings.store);
    Read(*section, "prefix", settings.store_prefix);
    Read(*section, "instance_list", settings.instance_list);
    Read(*section, "dialect", settings.dialect);
    Read(*section, "session", settings.session);
    Read(*section, "change_within", settings.change_within);
  }
}

void ReadLinkTls(Section& file, Settings& settings) {
  if (auto section = OpenSection(file, "link_tls")) {
    LinkTlsSettings& tls = settings.link_tls.emplace();
    ReadFileName(*section, "certificate_file", tls.certificate_file);
    ReadFileName(*section, "key_file", tls.key_file);
    ReadFileName(*section, "authority_file", tls.authority_file);
  }
}

void ReadLimits(Section& file, LimitSettings& limits) {
  auto section = OpenSection(file, "limits");
  if (!section) {
    return;
  }
  Read(*section, "connections", limits.connections);
  Read(*section, "requests", limits.requests);
  Read(*section, "queued", limits.queued);
  Read(*section, "header", limits.header);
  Read(*section, "body", limits.body);
  Read(*section, "stream_window", limits.stream_window);
  Read(*section, "header_timeout", limits.header_timeout);
  Read(*section, "idle_timeout", limits.idle_timeout);
  Read(*section, "default_due", limits.default_due);
  Read(*section, "silence", limits.silence);
  Read(*section, "drain", limits.drain);
  Read(*section, "leave_notice", limits.leave_notice);
  Read(*section, "connect", limits.connect);
  Read(*section, "unacknowledged", limits.unacknowledged);
  Read(*section, "due_grace", limits.due_grace);
  Read(*section, "memory", limits.memory);
}

void ReadSmallSections(Section& file, Settings& settings) {
  if (auto section = OpenSection(file, "operator")) {
    ReadToken(*section, settings.operator_token);
  }
  if (auto section = OpenSection(file, "tickets")) {
    ReadToken(*section, settings.ticket_secret);
  }
  if (auto section = OpenSection(file, "policy")) {
    Read(*section, "cost_weight", settings.policy.cost_weight);
    Read(*section, "tail_weight", settings.policy.tail_weight);
  }
  if (auto section = OpenSection(file, "retries")) {
    Read(*section, "ratio", settings.retries.ratio);
    Read(*section, "slack", settings.retries.slack);
  }
  if (auto section = OpenSection(file, "revocation")) {
    Read(*section, "strict", settings.revocation.strict);
  }
  if (auto section = OpenSection(file, "allowances")) {
    AllowanceSectionSettings& allowances = settings.allowances.emplace();
    Read(*section, "window", allowances.window);
    Read(*section, "excess", allowances.excess);
    Read(*section, "slack", allowances.slack);
    Read(*section, "reserve", allowances.reserve);
  }
  if (auto section = OpenSection(file, "hedging")) {
    Read(*section, "limit", settings.hedging.limit);
    Read(*section, "percentile", settings.hedging.percentile);
    Read(*section, "min_delay", settings.hedging.min_delay);
  }
  if (auto section = OpenSection(file, "engines")) {
    Read(*section, "prompt_tokens_per_ms",
         settings.engines.prompt_tokens_per_ms);
    Read(*section, "first_token", settings.engines.first_token);
  }
  if (auto section = OpenSection(file, "placement")) {
    Read(*section, "coordinated", settings.placement.coordinated);
    Read(*section, "answer_within", settings.placement.answer_within);
    Read(*section, "plan_regions", settings.placement.plan_regions);
  }
  if (auto section = OpenSection(file, "log")) {
    Read(*section, "level", settings.log_level);
  }
}

// Zones that name their region, as an alternative to regions that name theirs.
void ReadZones(Section& file, std::vector<RegionSettings>& regions) {
  for (Section& section : OpenSections(file, "zones")) {
    ZoneId zone;
    RegionId region;
    Read(section, "id", zone);
    Read(section, "region", region);
    auto known = std::find_if(
        regions.begin(), regions.end(),
        [&region](const RegionSettings& one) { return one.id == region; });
    if (known == regions.end()) {
      known = regions.insert(regions.end(), RegionSettings{region, {}});
    }
    known->zones.push_back(zone);
  }
}

[[nodiscard]] Settings ReadSettings(Section file) {
  Settings settings;
  Read(file, "one_thread", settings.one_thread);
  Read(file, "plain_links", settings.plain_links);
  Read(file, "instance", settings.instance);
  Read(file, "region", settings.region);
  Read(file, "zone", settings.zone);
  ReadListen(file, settings);
  ReadPlatform(file, settings);
  ReadLinkTls(file, settings);
  ReadSmallSections(file, settings);
  ReadLimits(file, settings.limits);
  ReadList(file, "regions", settings.regions, ReadRegion);
  ReadZones(file, settings.regions);
  ReadList(file, "accounts", settings.accounts, ReadAccount);
  ReadList(file, "peers", settings.peers, ReadPeer);
  ReadList(file, "upstreams", settings.upstreams, ReadUpstream);
  ReadList(file, "links", settings.links, ReadLink);
  ReadList(file, "objectives", settings.objectives, ReadObjective);
  return settings;
}

void AddTextFault(SettingsReport& report, std::uint32_t line,
                  std::string message, std::string remedy) {
  report.faults.push_back(
      {report.file, line, std::move(message), std::move(remedy)});
}

/// \returns The map at the root, or a null node after adding a fault.
[[nodiscard]] YAML::Node LoadYaml(const std::string& text,
                                  SettingsReport& report) {
  if (text.size() > kMaxSettingsText.count()) {
    AddTextFault(
        report, 1,
        fmt::format("the file is larger than {}", ToString(kMaxSettingsText)),
        "give a settings file");
    return {};
  }
  try {
    const std::vector<YAML::Node> documents = YAML::LoadAll(text);
    if (documents.size() == 1 && documents[0].IsMap()) {
      return documents[0];
    }
    AddTextFault(report, 1, "the file is not one YAML map",
                 "write one document of keys and values");
  } catch (const YAML::Exception& exception) {
    const int line = exception.mark.line;
    AddTextFault(report, static_cast<std::uint32_t>(line < 0 ? 1 : line + 1),
                 "the file is not valid YAML: " + exception.msg,
                 "mend the syntax on this line or just before it");
  }
  return {};
}

}  // namespace

Settings ParseSettings(const std::string& text, const std::string& file,
                       std::vector<SettingsFault>& faults) {
  SettingsReport report{file, faults, {}};
  const YAML::Node root = LoadYaml(text, report);
  if (!root.IsMap()) {
    return {};
  }
  Settings settings = ReadSettings(OpenFile(root, report));
  FindContradictions(settings, report);
  return settings;
}

}  // namespace mimosagauge
