// Routes of the operators' API.

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

[[nodiscard]] OperatorAnswer NoSuchPath() {
  return detail::ProblemAnswer(404,
                               {ErrorKind::kNotFound, "there is no such path",
                                "see docs/operations/rules.md for the paths"});
}

[[nodiscard]] OperatorAnswer WrongMethod() {
  return detail::ProblemAnswer(
      405, {ErrorKind::kInvalidInput, "the path does not take this method",
            "use GET to read and POST to change"});
}

}  // namespace

OperatorsDuty::OperatorsDuty(boost::asio::io_context& io_context,
                             const Settings& settings,
                             Mailbox<Event>& decisions,
                             Mailbox<ChangeRules>& platform,
                             const OperatorsDutyOptions& options)
    : settings_(settings),
      decisions_(decisions),
      platform_(platform),
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
  edits_.clear();
}

void OperatorsDuty::Handle(PublishView&& effect) {
  view_ = std::move(effect.view);
}

void OperatorsDuty::Handle(RulesChanged&& reply) {
  const auto edit = edits_.find(reply.number);
  if (edit == edits_.end()) {
    return;
  }
  const AnswerHandler handler = std::move(edit->second);
  edits_.erase(edit);
  handler(detail::OutcomeAnswer(reply.outcome));
}

void OperatorsDuty::Serve(const OperatorRequest& request,
                          AnswerHandler handler) {
  const InstanceView& view = view_ == nullptr ? EmptyView() : *view_;
  const bool post = request.method == "POST";
  if (request.path == "/v1/rules" && post) {
    return ServeEdit(request, std::move(handler));
  }
  if (request.path == "/v1/drain") {
    return handler(post ? ServeDrain() : WrongMethod());
  }
  const bool get = request.method == "GET";
  if (request.path == "/v1/rules") {
    return handler(get ? detail::RulesAnswer(view) : WrongMethod());
  }
  if (request.path == "/v1/rules/status") {
    return handler(get ? detail::RulesStatusAnswer(settings_, view)
                       : WrongMethod());
  }
  if (request.path == "/v1/instances") {
    return handler(get ? detail::InstancesAnswer(settings_, view)
                       : WrongMethod());
  }
  if (request.path == "/v1/upstreams") {
    return handler(get ? detail::UpstreamsAnswer(view) : WrongMethod());
  }
  if (request.path == "/metrics") {
    return handler(
        get ? OperatorAnswer{200, "text/plain; version=0.0.4", view.metrics}
            : WrongMethod());
  }
  handler(NoSuchPath());
}

void OperatorsDuty::ServeEdit(const OperatorRequest& request,
                              AnswerHandler handler) {
  Result<RulesEdit> edit = detail::DecodeEdit(request.body);
  if (!edit) {
    return handler(detail::ProblemAnswer(400, edit.error()));
  }
  const bool known = view_ != nullptr && view_->rules != nullptr;
  const Revision in_force = known ? view_->rules->revision : Revision{};
  const std::uint64_t number = next_number_++;
  edits_.emplace(number, std::move(handler));
  platform_.Post({number, std::move(edit.value()), in_force});
}

OperatorAnswer OperatorsDuty::ServeDrain() {
  decisions_.Post(DrainRequested{});
  return {202, "application/json", R"({"draining":true})"};
}

}  // namespace mimosagauge
