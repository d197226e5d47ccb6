// Forward declarations of the public types.

#ifndef MIMOSAGAUGE_IMPL_FORWARD_DECLARATIONS_H_
#define MIMOSAGAUGE_IMPL_FORWARD_DECLARATIONS_H_

namespace mimosagauge {

template <typename Tag>
class StrongName;
template <typename Tag>
class StrongNumber;
template <typename Tag>
class Quantity;

struct Endpoint;
struct Error;
struct RuleSet;
struct RequestTraits;
struct Verdict;
struct Settings;
struct RequestHead;
struct AnswerHead;
struct Problem;

}  // namespace mimosagauge

#endif  // MIMOSAGAUGE_IMPL_FORWARD_DECLARATIONS_H_
