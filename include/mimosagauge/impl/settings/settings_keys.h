// The keys of a settings file. docs/SETTINGS.md lists the same, and a test
// holds the two to each other.

#ifndef MIMOSAGAUGE_IMPL_SETTINGS_SETTINGS_KEYS_H_
#define MIMOSAGAUGE_IMPL_SETTINGS_SETTINGS_KEYS_H_

#include <span>
#include <string_view>

namespace mimosagauge {

/// \brief One key of a settings file.
struct SettingsKey {
  /// With the sections it stands in; `[]` marks a list of sections, as in
  /// `upstreams[].id`.
  std::string_view path;
  std::string_view form;     ///< What its value looks like.
  std::string_view without;  ///< What holds without it; `required`: a fault.
  std::string_view meaning;

  /// \returns Whether a file without it has a fault.
  [[nodiscard]] bool required() const noexcept { return without == "required"; }
};

/// \returns Every key, sections before their parts.
[[nodiscard]] std::span<const SettingsKey> SettingsKeys() noexcept;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_SETTINGS_SETTINGS_KEYS_H_
