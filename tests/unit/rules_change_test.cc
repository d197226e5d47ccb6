// What an edit makes of the rules that the store holds.

#include "mimosagauge/impl/store/rules_change.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <variant>

namespace mimosagauge {
namespace {

const std::string kA = "route a path=/a/*  # Ann\n";
const std::string kB = "route b path=/b/*  # Ben\n";
const std::string kC = "route c path=/c/*  # Cid\n";

[[nodiscard]] StoredRules Stored(std::uint64_t revision,
                                 const std::string& text) {
  return {{Revision{revision}, {{ChangeId{"last"}, Revision{revision}}}}, text};
}

[[nodiscard]] RulesEdit Replace(const std::string& text,
                                std::optional<Revision> base = std::nullopt,
                                bool overwrite = false) {
  return {ChangeId{"mine"}, ReplaceRules{text, base, overwrite}};
}

[[nodiscard]] ErrorKind KindOf(const RulesPlan& plan) {
  REQUIRE(std::holds_alternative<RulesRefused>(plan));
  return std::get<RulesRefused>(plan).error.kind;
}

TEST_CASE("an edit is written with the text that it asks for") {
  struct Row {
    std::string name;
    StoredRules stored;
    RulesEdit edit;
    std::string text;
  };
  const auto row = GENERATE_COPY(values<Row>({
      {"the first rules", {}, Replace(kA), kA},
      {"based on what is stored", Stored(7, kA), Replace(kB, Revision{7}), kB},
      {"overwriting", Stored(7, kA), Replace(kB, std::nullopt, true), kB},
      {"added last",
       Stored(7, kA),
       {ChangeId{"mine"}, AddRule{kB.substr(0, kB.size() - 1)}},
       kA + kB},
      {"added first",
       Stored(7, kA),
       {ChangeId{"mine"}, AddRule{kB.substr(0, kB.size() - 1), true}},
       kB + kA},
      {"removed",
       Stored(7, kA + kB),
       {ChangeId{"mine"}, RemoveRule{"  " + kA.substr(0, kA.size() - 1)}},
       kB},
  }));
  CAPTURE(row.name);
  const RulesPlan plan = PlanEdit(row.stored, std::nullopt, row.edit, {});
  REQUIRE(std::holds_alternative<WriteRules>(plan));
  const auto& write = std::get<WriteRules>(plan);
  CHECK(write.text == row.text);
  CHECK(write.head.revision == row.stored.head.revision.next());
  CHECK(write.head.changes.front() ==
        AcceptedChange{ChangeId{"mine"}, write.head.revision});
}

TEST_CASE("an edit without effect on what is stored is refused or done") {
  struct Row {
    std::string name;
    RulesEdit edit;
    std::optional<ErrorKind> refused;
  };
  const auto row = GENERATE_COPY(values<Row>({
      {"no base", Replace(kB), ErrorKind::kConflict},
      {"a base that is not stored yet", Replace(kB, Revision{8}),
       ErrorKind::kConflict},
      {"removing what is not there",
       {ChangeId{"mine"}, RemoveRule{kB.substr(0, kB.size() - 1)}},
       ErrorKind::kNotFound},
      {"the same text", Replace(kA), std::nullopt},
      {"adding what is there",
       {ChangeId{"mine"}, AddRule{kA.substr(0, kA.size() - 1)}},
       std::nullopt},
      {"a change that was accepted",
       {ChangeId{"last"}, ReplaceRules{kB, std::nullopt, false}},
       std::nullopt},
  }));
  CAPTURE(row.name);
  const RulesPlan plan = PlanEdit(Stored(7, kA), std::nullopt, row.edit, {});
  if (row.refused) {
    CHECK(KindOf(plan) == *row.refused);
    return;
  }
  REQUIRE(std::holds_alternative<RulesAccepted>(plan));
  CHECK(std::get<RulesAccepted>(plan).revision == Revision{7});
}

TEST_CASE("a change is known as accepted after others superseded it") {
  StoredRules stored;
  for (std::size_t i = 0; i < kMaxRecordedChanges; ++i) {
    const RulesEdit edit{
        ChangeId{"change-" + std::to_string(i)},
        ReplaceRules{i % 2 == 0 ? kA : kB, std::nullopt, true}};
    const auto plan = PlanEdit(stored, std::nullopt, edit, {});
    REQUIRE(std::holds_alternative<WriteRules>(plan));
    CHECK(std::get<WriteRules>(plan).forgotten.empty());
    stored = {std::get<WriteRules>(plan).head, std::get<WriteRules>(plan).text};
  }
  const RulesEdit first{ChangeId{"change-0"}, ReplaceRules{kC, {}, true}};
  const auto plan = PlanEdit(stored, std::nullopt, first, {});
  REQUIRE(std::holds_alternative<RulesAccepted>(plan));
  CHECK(std::get<RulesAccepted>(plan).revision == Revision{1});
  const auto next = PlanEdit(stored, std::nullopt, Replace(kC, {}, true), {});
  CHECK(std::get<WriteRules>(next).forgotten ==
        std::vector<Revision>{Revision{1}});
}

TEST_CASE("a revision is greater than all that were in force") {
  const auto plan = PlanEdit({}, std::nullopt, Replace(kA), Revision{41});
  CHECK(std::get<WriteRules>(plan).head.revision == Revision{42});
}

TEST_CASE("racing edits of different lines are merged") {
  const RulesEdit edit = Replace(kA + kB + kC, Revision{7});
  const StoredRules stored = Stored(8, kC + kA + kB);
  const auto plan =
      PlanEdit(Stored(8, "# new\n" + kA + kB), std::nullopt, edit, {});
  REQUIRE(std::holds_alternative<ReadBaseText>(plan));
  CHECK(std::get<ReadBaseText>(plan).base == Revision{7});
  const auto merged =
      PlanEdit(Stored(8, "# new\n" + kA + kB), kA + kB, edit, {});
  REQUIRE(std::holds_alternative<WriteRules>(merged));
  CHECK(std::get<WriteRules>(merged).merged);
  CHECK(std::get<WriteRules>(merged).text == "# new\n" + kA + kB + kC);
}

TEST_CASE("racing edits of one line are shown and nothing is lost") {
  const std::string theirs = "route a2 path=/a/*  # Ann\n";
  const std::string mine = "route a3 path=/a/*  # Abe\n";
  const auto plan = PlanEdit(Stored(8, theirs + kB), kA + kB,
                             Replace(mine + kB, Revision{7}), {});
  CHECK(KindOf(plan) == ErrorKind::kConflict);
  const auto& conflicts = std::get<RulesRefused>(plan).conflicts;
  REQUIRE(conflicts.size() == 1);
  CHECK(conflicts.front().theirs.text + "\n" == theirs);
  CHECK(conflicts.front().mine.text + "\n" == mine);
}

TEST_CASE("edits that do not hold are refused without the store") {
  struct Row {
    RulesEdit edit;
    ErrorKind kind;
  };
  const auto row = GENERATE_COPY(values<Row>({
      {Replace("nonsense\n"), ErrorKind::kInvalidRules},
      {Replace("route a path=/a/*\n"), ErrorKind::kInvalidRules},
      {{ChangeId{"mine"}, AddRule{"route a"}}, ErrorKind::kInvalidRules},
      {{ChangeId{"mine"}, AddRule{"  "}}, ErrorKind::kInvalidInput},
      {{ChangeId{"mine"}, AddRule{kA + kB}}, ErrorKind::kInvalidInput},
      {{ChangeId{}, AddRule{kA}}, ErrorKind::kInvalidInput},
      {{ChangeId{std::string(65, 'x')}, AddRule{kA}}, ErrorKind::kInvalidInput},
  }));
  const auto refused = CheckEdit(row.edit);
  REQUIRE(refused);
  CHECK(refused->error.kind == row.kind);
  const bool invalid = row.kind == ErrorKind::kInvalidRules;
  CHECK(refused->faults.empty() != invalid);
}

}  // namespace
}  // namespace mimosagauge
