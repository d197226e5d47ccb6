// Typed reading of one section of a YAML text, with every fault collected.

#ifndef MIMOSAGAUGE_IMPL_SETTINGS_SECTION_H_
#define MIMOSAGAUGE_IMPL_SETTINGS_SECTION_H_

#include <yaml-cpp/yaml.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mimosagauge/impl/core/endpoint.h"
#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/strong_id.h"
#include "mimosagauge/impl/core/time.h"
#include "mimosagauge/impl/core/units.h"
#include "mimosagauge/impl/settings/settings.h"

namespace mimosagauge::detail {

/// \brief What a settings text is read into besides the settings.
struct SettingsReport {
  std::string file;
  std::vector<SettingsFault>& faults;
  /// Line of each value read, by its path, as in `upstreams[2].zone`.
  std::map<std::string, std::uint32_t> lines;
};

/// \returns The line of the value, or of the nearest section around it.
[[nodiscard]] std::uint32_t LineOf(const SettingsReport& report,
                                   std::string path);

/// \brief Adds a fault at the value that `path` names.
void AddFault(SettingsReport& report, const std::string& path,
              std::string message, std::string remedy);

/// \brief A YAML map and where it stands.
struct Section {
  SettingsReport& report;
  std::string prefix;      ///< As in `upstreams[2].`; empty for the whole file.
  std::string key_prefix;  ///< The same in `SettingsKeys`: `upstreams[].`.
  std::map<std::string, YAML::Node> values;  ///< Known keys only.
};

/// \brief Opens the whole file; names unknown, repeated and missing keys.
[[nodiscard]] Section OpenFile(const YAML::Node& root, SettingsReport& report);

/// \brief Opens a section within a section.
/// \returns Nothing when it is missing or no map.
[[nodiscard]] std::optional<Section> OpenSection(Section& parent,
                                                 const std::string& key);

/// \brief Opens a list of sections.
/// \returns A section for each entry; one that is no map is a fault and gives
/// a section without values.
[[nodiscard]] std::vector<Section> OpenSections(Section& parent,
                                                const std::string& key);

/// \returns Whether the section has the key.
[[nodiscard]] bool Has(const Section& section, const std::string& key);

/// \brief A token is written as text that no fault and no log entry repeats.
struct TokenText {
  std::string value;
};

/// \brief Values from the text of a scalar; the error names what is due.
/// @{
[[nodiscard]] Result<std::string> FromText(const std::string& text,
                                           std::string* type);
[[nodiscard]] Result<TokenText> FromText(const std::string& text,
                                         TokenText* type);
[[nodiscard]] Result<std::size_t> FromText(const std::string& text,
                                           std::size_t* type);
[[nodiscard]] Result<std::uint8_t> FromText(const std::string& text,
                                            std::uint8_t* type);
[[nodiscard]] Result<double> FromText(const std::string& text, double* type);
[[nodiscard]] Result<bool> FromText(const std::string& text, bool* type);
[[nodiscard]] Result<Duration> FromText(const std::string& text,
                                        Duration* type);
[[nodiscard]] Result<Bytes> FromText(const std::string& text, Bytes* type);
[[nodiscard]] Result<BitsPerSecond> FromText(const std::string& text,
                                             BitsPerSecond* type);
[[nodiscard]] Result<Share> FromText(const std::string& text, Share* type);
[[nodiscard]] Result<Endpoint> FromText(const std::string& text,
                                        Endpoint* type);
[[nodiscard]] Result<UpstreamKind> FromText(const std::string& text,
                                            UpstreamKind* type);
[[nodiscard]] Result<PlatformDialect> FromText(const std::string& text,
                                               PlatformDialect* type);
[[nodiscard]] Result<PlacementMode> FromText(const std::string& text,
                                             PlacementMode* type);
[[nodiscard]] Result<FencingSupport> FromText(const std::string& text,
                                              FencingSupport* type);
/// \returns The text itself when it can be a name, or the error.
[[nodiscard]] Result<std::string> CheckName(const std::string& text);
template <typename Tag>
[[nodiscard]] Result<StrongName<Tag>> FromText(const std::string& text,
                                               StrongName<Tag>* /*type*/) {
  const Result<std::string> name = CheckName(text);
  if (!name) {
    return name.error();
  }
  return StrongName<Tag>{name.value()};
}
/// @}

/// \returns The text of a scalar, or nothing after adding a fault.
[[nodiscard]] std::optional<std::string> ScalarText(Section& section,
                                                    const YAML::Node& node,
                                                    const std::string& path);

template <typename T>
[[nodiscard]] std::optional<T> ReadScalar(Section& section,
                                          const YAML::Node& node,
                                          const std::string& path) {
  const auto text = ScalarText(section, node, path);
  if (!text) {
    return std::nullopt;
  }
  Result<T> value = FromText(*text, static_cast<T*>(nullptr));
  if (!value) {
    AddFault(section.report, path, path + ": " + value.error().message,
             value.error().remedy);
    return std::nullopt;
  }
  return std::move(value.value());
}

/// \brief Reads a key into `value`, which keeps what it holds when the key is
/// missing or its value is a fault.
template <typename T>
void Read(Section& section, const std::string& key, T& value) {
  if (!Has(section, key)) {
    return;
  }
  auto read =
      ReadScalar<T>(section, section.values.at(key), section.prefix + key);
  if (read) {
    value = std::move(*read);
  }
}

template <typename T>
void Read(Section& section, const std::string& key, std::optional<T>& value) {
  T read{};
  if (Has(section, key)) {
    Read(section, key, read);
    value = std::move(read);
  }
}

/// \returns The entries of a list, or nothing after adding a fault.
[[nodiscard]] std::vector<YAML::Node> ListEntries(Section& section,
                                                  const std::string& key);

/// \returns The path of an entry of a list, as in `regions[0].zones[1]`.
[[nodiscard]] std::string EntryPath(const Section& section,
                                    const std::string& key, std::size_t index);

/// \brief Reads a list of scalars.
template <typename T>
void Read(Section& section, const std::string& key, std::vector<T>& values) {
  std::size_t index = 0;
  for (const YAML::Node& node : ListEntries(section, key)) {
    auto read = ReadScalar<T>(section, node, EntryPath(section, key, index++));
    if (read) {
      values.push_back(std::move(*read));
    }
  }
}

}  // namespace mimosagauge::detail

#endif  // MIMOSAGAUGE_IMPL_SETTINGS_SECTION_H_
