// Which software versions the upstreams of each service run and have run
// lately.

#include "mimosagauge/impl/decisions/streams/software_history.h"

#include <algorithm>
#include <chrono>

#include "mimosagauge/impl/decisions/streams/stream_origins.h"

namespace mimosagauge {
namespace {

// Versions that have been gone for longer are forgotten.
constexpr Duration kGoneTime = kLongestResumption;
// Entries of running upstreams that had lapsed have returned within this time
// after a read.
constexpr Duration kReturnTime = std::chrono::seconds(3);

}  // namespace

void RecordFullRead(SoftwareHistory& history, TimePoint now) {
  history.complete_since = now + kReturnTime;
}

void RecordSoftware(SoftwareHistory& history, const UpstreamId& upstream,
                    const ServiceId& service, const SoftwareVersion& software,
                    TimePoint now) {
  const auto known = history.running.find(upstream);
  if (known != history.running.end()) {
    if (known->second.service == service &&
        known->second.software == software) {
      return;
    }
    RemoveSoftware(history, upstream, now);
  }
  history.running.insert_or_assign(upstream,
                                   SoftwareHistory::Running{service, software});
}

void RemoveSoftware(SoftwareHistory& history, const UpstreamId& upstream,
                    TimePoint now) {
  const auto known = history.running.find(upstream);
  if (known == history.running.end()) {
    return;
  }
  std::vector<SoftwareHistory::Gone>& gone =
      history.gone[known->second.service];
  std::erase_if(gone, [&](const SoftwareHistory::Gone& version) {
    return version.software == known->second.software ||
           version.at < now - kGoneTime;
  });
  gone.push_back({known->second.software, now});
  history.running.erase(known);
}

bool StatesSoftware(const SoftwareHistory& history, const ServiceId& service) {
  const bool runs_any = std::any_of(
      history.running.begin(), history.running.end(), [&](const auto& entry) {
        return entry.second.service == service &&
               !entry.second.software.empty();
      });
  const auto gone = history.gone.find(service);
  return runs_any || (gone != history.gone.end() &&
                      std::any_of(gone->second.begin(), gone->second.end(),
                                  [](const SoftwareHistory::Gone& version) {
                                    return !version.software.empty();
                                  }));
}

bool RunsOnly(const SoftwareHistory& history, const ServiceId& service,
              const SoftwareVersion& software) {
  bool runs = false;
  for (const auto& [upstream, running] : history.running) {
    if (running.service == service && running.software != software) {
      return false;
    }
    runs = runs || running.service == service;
  }
  return runs;
}

bool HasRun(const SoftwareHistory& history, const ServiceId& service,
            const SoftwareVersion& software) {
  const auto gone = history.gone.find(service);
  return std::any_of(history.running.begin(), history.running.end(),
                     [&](const auto& entry) {
                       return entry.second.service == service &&
                              entry.second.software == software;
                     }) ||
         (gone != history.gone.end() &&
          std::any_of(gone->second.begin(), gone->second.end(),
                      [&](const SoftwareHistory::Gone& version) {
                        return version.software == software;
                      }));
}

std::optional<SoftwareVersion> SoleSoftware(const SoftwareHistory& history,
                                            const ServiceId& service,
                                            Duration period, TimePoint now) {
  if (!history.complete_since || *history.complete_since > now - period) {
    return std::nullopt;
  }
  std::optional<SoftwareVersion> sole;
  // Returns whether all versions so far are the same.
  const auto add = [&sole](const SoftwareVersion& software) {
    const bool same = !sole || *sole == software;
    sole = software;
    return same;
  };
  for (const auto& [upstream, running] : history.running) {
    if (running.service == service && !add(running.software)) {
      return std::nullopt;
    }
  }
  const auto gone = history.gone.find(service);
  if (gone != history.gone.end()) {
    for (const SoftwareHistory::Gone& version : gone->second) {
      if (version.at >= now - period && !add(version.software)) {
        return std::nullopt;
      }
    }
  }
  return sole;
}

}  // namespace mimosagauge
