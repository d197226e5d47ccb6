// Reads a rules text, decides one request and prints which line decided what,
// and why the other lines did not. Uses the public header only.
//
//   explain_rules RULES_FILE MODEL ACCOUNT REGION
//
// for example: explain_rules examples/kamau/rules.txt quote-full
// county-kiambu kisumu-a

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "mimosagauge/mimosagauge.h"

namespace {

constexpr int kFailed = 1;
constexpr int kWrongUsage = 2;
constexpr int kArguments = 5;

void PrintFaults(const std::vector<mimosagauge::RuleFault>& faults) {
  for (const auto& fault : faults) {
    std::cerr << "line " << fault.line << ", column " << fault.column << ": "
              << fault.message << "; " << fault.remedy << '\n';
  }
}

void PrintKind(const mimosagauge::KindExplanation& kind) {
  std::cout << mimosagauge::ToString(kind.kind) << ": ";
  if (kind.decided) {
    std::cout << mimosagauge::ToString(kind.decided->action) << ", by line "
              << kind.decided->line << ", asked by " << kind.decided->asked_by
              << '\n';
  } else {
    std::cout << "no line decides\n";
  }
  for (const auto& passed : kind.passed) {
    std::cout << "  not line " << passed.rule.line << ": "
              << mimosagauge::ReasonNotApplied(passed) << '\n';
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != kArguments) {
    std::cerr << "usage: explain_rules RULES_FILE MODEL ACCOUNT REGION\n";
    return kWrongUsage;
  }
  std::ifstream file(argv[1]);
  if (!file) {
    std::cerr << argv[1] << " cannot be read; check its name\n";
    return kFailed;
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});

  // A rules text is checked whole: all its faults come back at once.
  std::vector<mimosagauge::RuleFault> faults;
  const mimosagauge::RuleSet rules = mimosagauge::ParseRules(text, faults);
  if (!faults.empty()) {
    PrintFaults(faults);
    return kFailed;
  }

  // What rules match on; a trait that is left out the request does not have.
  mimosagauge::RequestTraits request;
  request.model = mimosagauge::ModelId{argv[2]};
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.account = mimosagauge::AccountId{argv[3]};
  request.entry_region = mimosagauge::RegionId{argv[4]};

  // DecideByRules() alone gives the verdict; the explanation adds the reasons.
  const mimosagauge::Explanation explanation =
      mimosagauge::ExplainRequest(rules, request);
  for (const auto& kind : explanation.kinds) {
    PrintKind(kind);
  }
  const mimosagauge::RegionId region{argv[4]};
  std::cout << "may be served in " << region.value() << ": "
            << (mimosagauge::AllowsRegion(explanation.verdict, region) ? "yes"
                                                                       : "no")
            << '\n';
  return 0;
}
