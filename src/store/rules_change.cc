// Applies edits to the rules in the store.

#include "mimosagauge/impl/store/rules_change.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "mimosagauge/impl/rules/rule_text.h"

namespace mimosagauge {
namespace {

constexpr std::size_t kMaxChangeIdBytes = 64;

[[nodiscard]] RulesRefused MakeRefusal(ErrorKind kind, std::string message,
                                       std::string remedy) {
  return {Error{kind, std::move(message), std::move(remedy)}, {}, {}};
}

[[nodiscard]] std::string_view Trim(std::string_view line) {
  constexpr std::string_view kBlanks = " \t\r";
  const std::size_t first = line.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return line.substr(first, line.find_last_not_of(kBlanks) - first + 1);
}

[[nodiscard]] std::vector<std::string_view> SplitLines(std::string_view text) {
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    lines.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return lines;
}

[[nodiscard]] std::optional<RulesRefused> CheckRulesText(
    std::string_view text) {
  std::vector<RuleFault> faults;
  static_cast<void>(ParseRules(text, faults));
  if (faults.empty()) {
    return std::nullopt;
  }
  RulesRefused refused =
      MakeRefusal(ErrorKind::kInvalidRules,
                  fmt::format("the rules have {} fault{}", faults.size(),
                              faults.size() == 1 ? "" : "s"),
                  "correct the lines listed");
  refused.faults = std::move(faults);
  return refused;
}

[[nodiscard]] std::optional<RulesRefused> CheckRuleLine(
    const std::string& line) {
  if (Trim(line).empty() || line.find('\n') != std::string::npos) {
    return MakeRefusal(ErrorKind::kInvalidInput,
                       "the edit is not exactly one non-empty line",
                       "send one rule on one line, with a comment that names "
                       "who asked for it");
  }
  return std::nullopt;
}

struct EditChecker {
  [[nodiscard]] std::optional<RulesRefused> operator()(
      const ReplaceRules& edit) const {
    return CheckRulesText(edit.text);
  }
  [[nodiscard]] std::optional<RulesRefused> operator()(
      const AddRule& edit) const {
    auto refused = CheckRuleLine(edit.line);
    return refused ? std::move(refused) : CheckRulesText(edit.line + "\n");
  }
  [[nodiscard]] std::optional<RulesRefused> operator()(
      const RemoveRule& edit) const {
    return CheckRuleLine(edit.line);
  }
};

// The text after an edit, or why it cannot be computed yet or at all.
struct EditedText {
  std::string text;
  bool merged = false;
};
using ApplyResult = std::variant<EditedText, ReadBaseText, RulesRefused>;

struct EditApplier {
  const StoredRules& stored;
  const std::optional<std::string>& base_text;

  [[nodiscard]] ApplyResult operator()(const ReplaceRules& edit) const {
    const bool based_on_current = edit.base == stored.head.revision;
    const bool loses_no_change =
        edit.overwrite || stored.text.empty() || stored.text == edit.text;
    if (based_on_current || loses_no_change) {
      return EditedText{edit.text};
    }
    if (!edit.base) {
      return MakeRefusal(
          ErrorKind::kConflict,
          "other rules are in force, and the text does not say which "
          "revision it is based on",
          "edit the output of `rules show`, or pass --base or "
          "--overwrite");
    }
    if (*edit.base > stored.head.revision) {
      return MakeRefusal(
          ErrorKind::kConflict,
          fmt::format("the store holds revision {}, older than the "
                      "text's base {}",
                      stored.head.revision.value(), edit.base->value()),
          "if the store has lost changes, apply with --overwrite");
    }
    if (!base_text) {
      return ReadBaseText{*edit.base};
    }
    return Merge(edit);
  }

  [[nodiscard]] ApplyResult operator()(const AddRule& edit) const {
    const std::string line(Trim(edit.line));
    for (const std::string_view existing_line : SplitLines(stored.text)) {
      if (Trim(existing_line) == line) {
        return EditedText{stored.text};
      }
    }
    if (edit.first) {
      return EditedText{line + "\n" + stored.text};
    }
    std::string text = stored.text;
    if (!text.empty() && text.back() != '\n') {
      text += '\n';
    }
    return EditedText{text + line + "\n"};
  }

  [[nodiscard]] ApplyResult operator()(const RemoveRule& edit) const {
    std::string text;
    bool found = false;
    for (const std::string_view line : SplitLines(stored.text)) {
      if (Trim(line) == Trim(edit.line)) {
        found = true;
        continue;
      }
      text.append(line).append("\n");
    }
    if (!found) {
      return MakeRefusal(ErrorKind::kNotFound,
                         "no line of the rules matches the line to remove",
                         "copy the line exactly from `rules show`");
    }
    return EditedText{std::move(text)};
  }

 private:
  [[nodiscard]] ApplyResult Merge(const ReplaceRules& edit) const {
    MergeResult merge = MergeRules(*base_text, stored.text, edit.text);
    if (merge.clean()) {
      return EditedText{std::move(merge.text), true};
    }
    RulesRefused refused = MakeRefusal(
        ErrorKind::kConflict,
        fmt::format("others changed the same lines since revision {}; "
                    "revision {} is in force",
                    edit.base->value(), stored.head.revision.value()),
        "get the current rules with `rules show` and repeat the edit");
    refused.conflicts = std::move(merge.conflicts);
    return refused;
  }
};

[[nodiscard]] WriteRules MakeWritePlan(const StoredRules& stored,
                                       const RulesEdit& edit, EditedText text,
                                       Revision revision_floor) {
  WriteRules write;
  write.head = stored.head;
  write.head.revision = std::max(stored.head.revision, revision_floor).next();
  auto& changes = write.head.changes;
  changes.insert(changes.begin(), {edit.change, write.head.revision});
  while (changes.size() > kMaxRecordedChanges) {
    write.forgotten.push_back(changes.back().revision);
    changes.pop_back();
  }
  write.text = std::move(text.text);
  write.merged = text.merged;
  return write;
}

[[nodiscard]] bool ContainsChange(const RulesHead& head,
                                  const ChangeId& change) {
  return std::any_of(head.changes.begin(), head.changes.end(),
                     [&change](const AcceptedChange& accepted) {
                       return accepted.change == change;
                     });
}

[[nodiscard]] Revision RevisionOfChange(const RulesHead& head,
                                        const ChangeId& change) {
  const auto found = std::find_if(head.changes.begin(), head.changes.end(),
                                  [&change](const AcceptedChange& accepted) {
                                    return accepted.change == change;
                                  });
  return found->revision;
}

}  // namespace

bool IsOverwrite(const RulesEdit& edit) {
  const auto* replace = std::get_if<ReplaceRules>(&edit.edit);
  return replace != nullptr && replace->overwrite;
}

std::optional<RulesRefused> CheckEdit(const RulesEdit& edit) {
  const std::size_t id_bytes = edit.change.value().size();
  if (id_bytes == 0 || id_bytes > kMaxChangeIdBytes) {
    return MakeRefusal(
        ErrorKind::kInvalidInput, "the change id is empty or too long",
        fmt::format("send a change id of 1 to {} bytes", kMaxChangeIdBytes));
  }
  return std::visit(EditChecker{}, edit.edit);
}

RulesPlan PlanEdit(const StoredRules& stored,
                   const std::optional<std::string>& base_text,
                   const RulesEdit& edit, Revision revision_floor) {
  if (ContainsChange(stored.head, edit.change)) {
    return RulesAccepted{RevisionOfChange(stored.head, edit.change),
                         stored.text, false, true};
  }
  ApplyResult next = std::visit(EditApplier{stored, base_text}, edit.edit);
  if (const auto* read = std::get_if<ReadBaseText>(&next)) {
    return *read;
  }
  if (auto* refused = std::get_if<RulesRefused>(&next)) {
    return std::move(*refused);
  }
  EditedText& text = std::get<EditedText>(next);
  const bool unchanged = stored.head.revision != Revision{} &&
                         text.text == stored.text && !IsOverwrite(edit);
  if (unchanged) {
    return RulesAccepted{stored.head.revision, stored.text, false, false};
  }
  if (auto refused = CheckRulesText(text.text)) {
    return std::move(*refused);
  }
  return MakeWritePlan(stored, edit, std::move(text), revision_floor);
}

}  // namespace mimosagauge
