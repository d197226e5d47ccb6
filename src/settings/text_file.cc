// Reading of files that operators name.

#include "mimosagauge/impl/settings/text_file.h"

#include <fmt/format.h>

#include <fstream>

#include "mimosagauge/impl/core/unit_text.h"

namespace mimosagauge {

Result<std::string> ReadTextFile(const std::string& file, Bytes most) {
  std::ifstream stream(file, std::ios::binary);
  std::string text(most.count() + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  // A folder opens but cannot be read.
  if (!stream.is_open() || stream.bad()) {
    return Error{ErrorKind::kNotFound,
                 fmt::format("the file '{}' cannot be read", file),
                 "check its name and permissions"};
  }
  text.resize(static_cast<std::size_t>(stream.gcount()));
  if (text.size() > most.count()) {
    return Error{
        ErrorKind::kInvalidInput,
        fmt::format("the file '{}' is larger than {}", file, ToString(most)),
        "name another file or shorten it"};
  }
  return text;
}

}  // namespace mimosagauge
