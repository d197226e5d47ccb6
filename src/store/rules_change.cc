// What an edit makes of the rules in the store.

#include "mimosagauge/impl/store/rules_change.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "mimosagauge/impl/rules/rule_text.h"

namespace mimosagauge {
namespace {

constexpr std::size_t kMaxChangeIdBytes = 64;

[[nodiscard]] RulesRefused Refuse(ErrorKind kind, std::string message,
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

[[nodiscard]] std::optional<RulesRefused> CheckText(std::string_view text) {
  std::vector<RuleFault> faults;
  static_cast<void>(ParseRules(text, faults));
  if (faults.empty()) {
    return std::nullopt;
  }
  RulesRefused refused =
      Refuse(ErrorKind::kInvalidRules,
             fmt::format("the rules have {} fault{}", faults.size(),
                         faults.size() == 1 ? "" : "s"),
             "mend the lines named");
  refused.faults = std::move(faults);
  return refused;
}

[[nodiscard]] std::optional<RulesRefused> CheckLine(const std::string& line) {
  if (Trim(line).empty() || line.find('\n') != std::string::npos) {
    return Refuse(ErrorKind::kInvalidInput, "that is not one line of rules",
                  "give one rule, with a comment naming who asked for it");
  }
  return std::nullopt;
}

struct EditChecker {
  [[nodiscard]] std::optional<RulesRefused> operator()(
      const ReplaceRules& edit) const {
    return CheckText(edit.text);
  }
  [[nodiscard]] std::optional<RulesRefused> operator()(
      const AddRule& edit) const {
    auto refused = CheckLine(edit.line);
    return refused ? std::move(refused) : CheckText(edit.line + "\n");
  }
  [[nodiscard]] std::optional<RulesRefused> operator()(
      const RemoveRule& edit) const {
    return CheckLine(edit.line);
  }
};

// The text that an edit asks for, or why there is none.
struct NewText {
  std::string text;
  bool merged = false;
};
using NewTextOrPlan = std::variant<NewText, ReadBaseText, RulesRefused>;

struct EditApplier {
  const StoredRules& stored;
  const std::optional<std::string>& base_text;

  [[nodiscard]] NewTextOrPlan operator()(const ReplaceRules& edit) const {
    const bool based = edit.base == stored.head.revision;
    const bool nothing_to_lose =
        edit.overwrite || stored.text.empty() || stored.text == edit.text;
    if (based || nothing_to_lose) {
      return NewText{edit.text};
    }
    if (!edit.base) {
      return Refuse(ErrorKind::kConflict,
                    "other rules are in force, and the text does not say which "
                    "revision it is based on",
                    "take the rules from `rules show` and edit them, or give "
                    "--base, or --overwrite");
    }
    if (*edit.base > stored.head.revision) {
      return Refuse(
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

  [[nodiscard]] NewTextOrPlan operator()(const AddRule& edit) const {
    const std::string line(Trim(edit.line));
    for (const std::string_view present : SplitLines(stored.text)) {
      if (Trim(present) == line) {
        return NewText{stored.text};
      }
    }
    if (edit.first) {
      return NewText{line + "\n" + stored.text};
    }
    std::string text = stored.text;
    if (!text.empty() && text.back() != '\n') {
      text += '\n';
    }
    return NewText{text + line + "\n"};
  }

  [[nodiscard]] NewTextOrPlan operator()(const RemoveRule& edit) const {
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
      return Refuse(ErrorKind::kNotFound, "no line of the rules reads so",
                    "copy the line from `rules show`");
    }
    return NewText{std::move(text)};
  }

 private:
  [[nodiscard]] NewTextOrPlan Merge(const ReplaceRules& edit) const {
    MergeResult merge = MergeRules(*base_text, stored.text, edit.text);
    if (merge.clean()) {
      return NewText{std::move(merge.text), true};
    }
    RulesRefused refused =
        Refuse(ErrorKind::kConflict,
               fmt::format("others changed the same lines since revision {}; "
                           "revision {} is in force",
                           edit.base->value(), stored.head.revision.value()),
               "take the rules from `rules show` and make the edit again");
    refused.conflicts = std::move(merge.conflicts);
    return refused;
  }
};

[[nodiscard]] WriteRules MakeWrite(const StoredRules& stored,
                                   const RulesEdit& edit, NewText text,
                                   Revision floor) {
  WriteRules write;
  write.head = stored.head;
  write.head.revision = std::max(stored.head.revision, floor).next();
  auto& changes = write.head.changes;
  changes.insert(changes.begin(), {edit.change, write.head.revision});
  while (changes.size() > kRememberedChanges) {
    write.forgotten.push_back(changes.back().revision);
    changes.pop_back();
  }
  write.text = std::move(text.text);
  write.merged = text.merged;
  return write;
}

[[nodiscard]] bool Remembers(const RulesHead& head, const ChangeId& change) {
  return std::any_of(head.changes.begin(), head.changes.end(),
                     [&change](const AcceptedChange& accepted) {
                       return accepted.change == change;
                     });
}

[[nodiscard]] Revision RevisionOf(const RulesHead& head,
                                  const ChangeId& change) {
  const auto found = std::find_if(head.changes.begin(), head.changes.end(),
                                  [&change](const AcceptedChange& accepted) {
                                    return accepted.change == change;
                                  });
  return found->revision;
}

}  // namespace

bool Overwrites(const RulesEdit& edit) {
  const auto* replace = std::get_if<ReplaceRules>(&edit.edit);
  return replace != nullptr && replace->overwrite;
}

std::optional<RulesRefused> CheckEdit(const RulesEdit& edit) {
  const std::size_t id_bytes = edit.change.value().size();
  if (id_bytes == 0 || id_bytes > kMaxChangeIdBytes) {
    return Refuse(ErrorKind::kInvalidInput, "the change id is missing or long",
                  fmt::format("give 1 to {} characters", kMaxChangeIdBytes));
  }
  return std::visit(EditChecker{}, edit.edit);
}

RulesPlan PlanEdit(const StoredRules& stored,
                   const std::optional<std::string>& base_text,
                   const RulesEdit& edit, Revision floor) {
  if (Remembers(stored.head, edit.change)) {
    return RulesAccepted{RevisionOf(stored.head, edit.change), stored.text,
                         false, true};
  }
  NewTextOrPlan next = std::visit(EditApplier{stored, base_text}, edit.edit);
  if (const auto* read = std::get_if<ReadBaseText>(&next)) {
    return *read;
  }
  if (auto* refused = std::get_if<RulesRefused>(&next)) {
    return std::move(*refused);
  }
  NewText& text = std::get<NewText>(next);
  const bool unchanged = stored.head.revision != Revision{} &&
                         text.text == stored.text && !Overwrites(edit);
  if (unchanged) {
    return RulesAccepted{stored.head.revision, stored.text, false, false};
  }
  if (auto refused = CheckText(text.text)) {
    return std::move(*refused);
  }
  return MakeWrite(stored, edit, std::move(text), floor);
}

}  // namespace mimosagauge
