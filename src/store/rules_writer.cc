// The loop of one edit. It ends when the edit is accepted or refused, or at the
// deadline with the last error.

#include "mimosagauge/impl/store/rules_writer.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <utility>

namespace mimosagauge {
namespace {

using Clock = std::chrono::steady_clock;

class EditLoop : public std::enable_shared_from_this<EditLoop> {
 public:
  EditLoop(boost::asio::io_context& io_context,
           const std::shared_ptr<StoreClient>& store,
           RulesWriterSettings settings, RulesEdit edit, Revision in_force,
           RulesOutcomeHandler handler)
      : store_(store),
        settings_(std::move(settings)),
        edit_(std::move(edit)),
        in_force_(in_force),
        handler_(std::move(handler)),
        retry_timer_(io_context),
        deadline_(Clock::now() + settings_.timeout) {}

  void ReadHead() {
    const auto store = store_.lock();
    if (store == nullptr) {
      return;
    }
    store->Get({RulesHeadKey(settings_.prefix)},
               [self = shared_from_this()](Result<StoreReadResult>&& read) {
                 if (!read) {
                   return self->RetryOrRefuse(read.error());
                 }
                 self->HandleHead(read.value());
               });
  }

 private:
  void HandleHead(const StoreReadResult& read) {
    store_revision_ = read.revision;
    stored_ = {};
    head_modified_ = {};
    if (read.entries.empty()) {
      return ExecutePlan(std::nullopt);
    }
    head_modified_ = read.entries.front().modified;
    const auto head = DecodeRulesHead(read.entries.front().value);
    if (!head) {
      return PlanWithoutText(head.error());
    }
    stored_.head = head.value();
    ReadText(stored_.head.revision,
             [self = shared_from_this()](std::optional<std::string>&& text) {
               if (!text) {
                 return self->PlanWithoutText(MissingText());
               }
               self->stored_.text = std::move(*text);
               self->ExecutePlan(std::nullopt);
             });
  }

  // The head or text in the store is damaged, and only an edit that replaces
  // the whole text can repair it.
  void PlanWithoutText(const Error& error) {
    if (IsOverwrite(edit_)) {
      return ExecutePlan(std::nullopt);
    }
    Refuse(error);
  }

  [[nodiscard]] static Error MissingText() {
    return {ErrorKind::kNotFound,
            "the store no longer holds the text of the rules in force",
            "replace all rules with `rules apply --overwrite`"};
  }

  using TextHandler = std::function<void(std::optional<std::string>&&)>;

  void ReadText(Revision revision, TextHandler handler) {
    const auto store = store_.lock();
    if (store == nullptr) {
      return;
    }
    store->Get({RulesTextKey(settings_.prefix, revision)},
               [self = shared_from_this(),
                handler = std::move(handler)](Result<StoreReadResult>&& read) {
                 if (!read) {
                   return self->RetryOrRefuse(read.error());
                 }
                 if (read.value().entries.empty()) {
                   return handler(std::nullopt);
                 }
                 handler(std::move(read.value().entries.front().value));
               });
  }

  // The store's own revision also increases when the rules key is removed and
  // written again. Including it ensures that no revision is used for two texts.
  [[nodiscard]] Revision RevisionFloor() const {
    return std::max(in_force_, Revision{store_revision_.value()});
  }

  void ExecutePlan(const std::optional<std::string>& base_text) {
    RulesPlan plan = PlanEdit(stored_, base_text, edit_, RevisionFloor());
    if (auto* write = std::get_if<WriteRules>(&plan)) {
      return CommitWrite(std::move(*write));
    }
    if (const auto* read = std::get_if<ReadBaseText>(&plan)) {
      return ReadBase(read->base);
    }
    if (auto* accepted = std::get_if<RulesAccepted>(&plan)) {
      return handler_(std::move(*accepted));
    }
    handler_(std::get<RulesRefused>(std::move(plan)));
  }

  void ReadBase(Revision base) {
    ReadText(base,
             [self = shared_from_this()](std::optional<std::string>&& text) {
               if (!text) {
                 return self->RefuseMissingBase();
               }
               self->ExecutePlan(text);
             });
  }

  void CommitWrite(WriteRules write) {
    StoreTransaction transaction;
    const std::string key = RulesHeadKey(settings_.prefix);
    transaction.conditions.push_back({key, head_modified_});
    transaction.writes.emplace_back(
        StorePut{key, EncodeRulesHead(write.head), {}});
    transaction.writes.emplace_back(StorePut{
        RulesTextKey(settings_.prefix, write.head.revision), write.text, {}});
    for (const Revision revision : write.forgotten) {
      transaction.writes.emplace_back(
          StoreDelete{RulesTextKey(settings_.prefix, revision)});
    }
    const auto store = store_.lock();
    if (store == nullptr) {
      return;
    }
    store->Commit(transaction,
                  [self = shared_from_this(), write = std::move(write)](
                      Result<StoreCommitResult>&& commit) {
                    self->HandleCommit(write, std::move(commit));
                  });
  }

  void HandleCommit(const WriteRules& write,
                    Result<StoreCommitResult>&& commit) {
    if (!commit) {
      // A later read shows whether a write of unknown outcome took effect. It
      // cannot take effect after another write, because both are conditional on
      // the same revision of the rules key.
      outcome_unknown_ =
          outcome_unknown_ || commit.error().kind == ErrorKind::kUnknownOutcome;
      return RetryOrRefuse(commit.error());
    }
    if (commit.value().applied) {
      return handler_(
          RulesAccepted{write.head.revision, write.text, write.merged, true});
    }
    // Another edit changed the rules first, or an earlier attempt of this edit
    // took effect.
    if (Clock::now() >= deadline_) {
      return Refuse(
          Error{ErrorKind::kConflict,
                "other edits kept changing the rules until the time limit",
                "retry the edit"});
    }
    ReadHead();
  }

  void RetryOrRefuse(const Error& error) {
    const bool final = error.kind != ErrorKind::kUnavailable &&
                       error.kind != ErrorKind::kTimeout &&
                       error.kind != ErrorKind::kOverloaded &&
                       error.kind != ErrorKind::kUnknownOutcome;
    if (final || Clock::now() + settings_.retry_delay >= deadline_) {
      return Refuse(error);
    }
    retry_timer_.expires_after(settings_.retry_delay);
    retry_timer_.async_wait([self = shared_from_this()](const auto& canceled) {
      if (!canceled) {
        self->ReadHead();
      }
    });
  }

  void Refuse(Error error) {
    if (outcome_unknown_) {
      error = {ErrorKind::kUnknownOutcome,
               "the change may have been accepted: " + error.message,
               "send the same change again, with the same change id, or check "
               "`mimosagauge rules show`"};
    }
    handler_(RulesRefused{std::move(error), {}, {}});
  }

  void RefuseMissingBase() {
    handler_(RulesRefused{
        Error{ErrorKind::kConflict,
              "the store no longer holds the text of the base revision",
              "get the current rules with `rules show` and repeat the edit"},
        {},
        {}});
  }

  // Weak, because the duty that owns the client may stop during the edit.
  std::weak_ptr<StoreClient> store_;
  RulesWriterSettings settings_;
  RulesEdit edit_;
  Revision in_force_;
  RulesOutcomeHandler handler_;
  boost::asio::steady_timer retry_timer_;
  Clock::time_point deadline_;
  StoredRules stored_;
  // Store revision of the rules key; zero: it does not exist.
  StoreRevision head_modified_;
  StoreRevision store_revision_;
  // A write of this edit may have taken effect, but its answer was lost.
  bool outcome_unknown_ = false;
};

}  // namespace

void ExecuteRulesEdit(boost::asio::io_context& io_context,
                      const std::shared_ptr<StoreClient>& store,
                      const RulesWriterSettings& settings, RulesEdit edit,
                      Revision in_force, RulesOutcomeHandler handler) {
  std::make_shared<EditLoop>(io_context, store, settings, std::move(edit),
                             in_force, std::move(handler))
      ->ReadHead();
}

}  // namespace mimosagauge
