// Request routing of the operators' API.

#include "mimosagauge/impl/duties/operators/duty.h"

#include <utility>

#include "documents.h"
#include "server.h"

namespace mimosagauge {
namespace {

[[nodiscard]] const InstanceView& EmptyView() {
  static const InstanceView kEmpty;
  return kEmpty;
}

[[nodiscard]] OperatorAnswer PathNotFoundAnswer() {
  return detail::ProblemAnswer(404,
                               {ErrorKind::kNotFound, "the path does not exist",
                                "see docs/operations/rules.md for the paths"});
}

[[nodiscard]] OperatorAnswer MethodNotAllowedAnswer() {
  return detail::ProblemAnswer(
      405, {ErrorKind::kInvalidInput, "the path does not support this method",
            "use GET to read and POST to change"});
}

}  // namespace

OperatorsDuty::OperatorsDuty(boost::asio::io_context& io_context,
                             const Settings& settings,
                             Mailbox<Event>& decisions,
                             Mailbox<RulesEditCommand>& rule_edits,
                             const OperatorsDutyOptions& options)
    : settings_(settings),
      decisions_(decisions),
      rule_edits_(rule_edits),
      server_(std::make_shared<detail::OperatorsServer>(
          io_context, settings.operator_token, options,
          [this](const OperatorRequest& request, AnswerHandler handler) {
            Serve(request, std::move(handler));
          })) {}

OperatorsDuty::~OperatorsDuty() { Stop(); }

Result<Endpoint> OperatorsDuty::Start() {
  return server_->Listen(settings_.operators);
}

void OperatorsDuty::Stop() {
  server_->Stop();
  pending_edits_.clear();
}

void OperatorsDuty::Handle(PublishView&& effect) {
  view_ = std::move(effect.view);
}

void OperatorsDuty::Handle(RulesEditReply&& reply) {
  const auto edit = pending_edits_.find(reply.number);
  if (edit == pending_edits_.end()) {
    return;
  }
  const AnswerHandler handler = std::move(edit->second);
  pending_edits_.erase(edit);
  handler(detail::OutcomeAnswer(reply.outcome));
}

void OperatorsDuty::Serve(const OperatorRequest& request,
                          AnswerHandler handler) {
  const InstanceView& view = view_ == nullptr ? EmptyView() : *view_;
  const bool is_post = request.method == "POST";
  if (request.path == "/v1/rules" && is_post) {
    return ServeEdit(request, std::move(handler));
  }
  if (request.path == "/v1/drain") {
    return handler(is_post ? ServeDrain() : MethodNotAllowedAnswer());
  }
  const bool is_get = request.method == "GET";
  if (request.path == "/v1/rules") {
    return handler(is_get ? detail::RulesAnswer(view)
                          : MethodNotAllowedAnswer());
  }
  if (request.path == "/v1/rules/status") {
    return handler(is_get ? detail::RulesStatusAnswer(settings_, view)
                          : MethodNotAllowedAnswer());
  }
  if (request.path == "/v1/instances") {
    return handler(is_get ? detail::InstancesAnswer(settings_, view)
                          : MethodNotAllowedAnswer());
  }
  if (request.path == "/v1/upstreams") {
    return handler(is_get ? detail::UpstreamsAnswer(view)
                          : MethodNotAllowedAnswer());
  }
  if (request.path == "/metrics") {
    return handler(
        is_get ? OperatorAnswer{200, "text/plain; version=0.0.4", view.metrics}
               : MethodNotAllowedAnswer());
  }
  handler(PathNotFoundAnswer());
}

void OperatorsDuty::ServeEdit(const OperatorRequest& request,
                              AnswerHandler handler) {
  Result<RulesEdit> edit = detail::DecodeEdit(request.body);
  if (!edit) {
    return handler(detail::ProblemAnswer(400, edit.error()));
  }
  const bool has_rules = view_ != nullptr && view_->rules != nullptr;
  const Revision revision_in_force =
      has_rules ? view_->rules->revision : Revision{};
  const std::uint64_t number = next_number_++;
  pending_edits_.emplace(number, std::move(handler));
  rule_edits_.Post({number, std::move(edit.value()), revision_in_force});
}

OperatorAnswer OperatorsDuty::ServeDrain() {
  decisions_.Post(DrainRequested{});
  return {202, "application/json", R"({"draining":true})"};
}

}  // namespace mimosagauge
