// Reading of files that operators name.

#ifndef MIMOSAGAUGE_IMPL_SETTINGS_TEXT_FILE_H_
#define MIMOSAGAUGE_IMPL_SETTINGS_TEXT_FILE_H_

#include <string>

#include "mimosagauge/impl/core/error.h"
#include "mimosagauge/impl/core/units.h"

namespace mimosagauge {

/// \returns The whole file, or `kNotFound` when it cannot be read and
/// `kInvalidInput` when it holds more than `most`.
[[nodiscard]] Result<std::string> ReadTextFile(const std::string& file,
                                               Bytes most);

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_SETTINGS_TEXT_FILE_H_
