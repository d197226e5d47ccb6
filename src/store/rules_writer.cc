// The loop of one edit. It ends accepted, refused, or, at its deadline, with
// what is known then.

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
        pause_(io_context),
        deadline_(Clock::now() + settings_.timeout) {}

  void Read() {
    const auto store = store_.lock();
    if (store == nullptr) {
      return;
    }
    store->Get({RulesKey(settings_.prefix)},
               [self = shared_from_this()](Result<StoreRead>&& read) {
                 if (!read) {
                   return self->TryAgain(read.error());
                 }
                 self->HandleRead(read.value());
               });
  }

 private:
  void HandleRead(const StoreRead& read) {
    store_revision_ = read.revision;
    stored_ = {};
    modified_ = {};
    if (read.entries.empty()) {
      return Plan(std::nullopt);
    }
    modified_ = read.entries.front().modified;
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
               self->Plan(std::nullopt);
             });
  }

  // What the store holds is damaged; only a whole new text can mend it.
  void PlanWithoutText(const Error& error) {
    if (Overwrites(edit_)) {
      return Plan(std::nullopt);
    }
    Refuse(error);
  }

  [[nodiscard]] static Error MissingText() {
    return {ErrorKind::kNotFound,
            "the store no longer holds the text of the rules in force",
            "apply the whole rules with `rules apply --overwrite`"};
  }

  using TextHandler = std::function<void(std::optional<std::string>&&)>;

  void ReadText(Revision revision, TextHandler handler) {
    const auto store = store_.lock();
    if (store == nullptr) {
      return;
    }
    store->Get({RulesTextKey(settings_.prefix, revision)},
               [self = shared_from_this(),
                handler = std::move(handler)](Result<StoreRead>&& read) {
                 if (!read) {
                   return self->TryAgain(read.error());
                 }
                 if (read.value().entries.empty()) {
                   return handler(std::nullopt);
                 }
                 handler(std::move(read.value().entries.front().value));
               });
  }

  // The store's own revision rises also when the key is removed and written
  // anew, so that no number is used for two texts.
  [[nodiscard]] Revision Floor() const {
    return std::max(in_force_, Revision{store_revision_.value()});
  }

  void Plan(const std::optional<std::string>& base_text) {
    RulesPlan plan = PlanEdit(stored_, base_text, edit_, Floor());
    if (auto* write = std::get_if<WriteRules>(&plan)) {
      return Write(std::move(*write));
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
                 return self->RefuseBase();
               }
               self->Plan(text);
             });
  }

  void Write(WriteRules write) {
    StoreTransaction transaction;
    const std::string key = RulesKey(settings_.prefix);
    transaction.conditions.push_back({key, modified_});
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
                  [self = shared_from_this(),
                   write = std::move(write)](Result<StoreCommit>&& commit) {
                    self->HandleCommit(write, std::move(commit));
                  });
  }

  void HandleCommit(const WriteRules& write, Result<StoreCommit>&& commit) {
    if (!commit) {
      // A later read tells whether a write of unknown outcome took effect; it
      // cannot take effect after another one, for both name one revision.
      unknown_ = unknown_ || commit.error().kind == ErrorKind::kUnknownOutcome;
      return TryAgain(commit.error());
    }
    if (commit.value().applied) {
      return handler_(
          RulesAccepted{write.head.revision, write.text, write.merged, true});
    }
    // Somebody else was faster, or an earlier try of this edit.
    if (Clock::now() >= deadline_) {
      return Refuse(Error{ErrorKind::kConflict,
                          "others kept changing the rules", "try again"});
    }
    Read();
  }

  void TryAgain(const Error& error) {
    const bool final = error.kind != ErrorKind::kUnavailable &&
                       error.kind != ErrorKind::kTimeout &&
                       error.kind != ErrorKind::kOverloaded &&
                       error.kind != ErrorKind::kUnknownOutcome;
    if (final || Clock::now() + settings_.pause >= deadline_) {
      return Refuse(error);
    }
    pause_.expires_after(settings_.pause);
    pause_.async_wait([self = shared_from_this()](const auto& canceled) {
      if (!canceled) {
        self->Read();
      }
    });
  }

  void Refuse(Error error) {
    if (unknown_) {
      error = {ErrorKind::kUnknownOutcome,
               "the change may have been accepted: " + error.message,
               "send the same change again, with the same change id, or look "
               "at `mimosagauge rules show`"};
    }
    handler_(RulesRefused{std::move(error), {}, {}});
  }

  void RefuseBase() {
    handler_(RulesRefused{
        Error{ErrorKind::kConflict,
              "the revision that this text is based on is no longer kept",
              "take the rules from `rules show` and make the edit again"},
        {},
        {}});
  }

  std::weak_ptr<StoreClient> store_;  // The duty that owns it may stop.
  RulesWriterSettings settings_;
  RulesEdit edit_;
  Revision in_force_;
  RulesOutcomeHandler handler_;
  boost::asio::steady_timer pause_;
  Clock::time_point deadline_;
  StoredRules stored_;
  StoreRevision modified_;  // Of the rules key; zero: it does not exist.
  StoreRevision store_revision_;
  bool unknown_ = false;  // A write's answer has been lost.
};

}  // namespace

void WriteRulesEdit(boost::asio::io_context& io_context,
                    const std::shared_ptr<StoreClient>& store,
                    const RulesWriterSettings& settings, RulesEdit edit,
                    Revision in_force, RulesOutcomeHandler handler) {
  std::make_shared<EditLoop>(io_context, store, settings, std::move(edit),
                             in_force, std::move(handler))
      ->Read();
}

}  // namespace mimosagauge
