// Simulated instances, network and store for tests of allowances.

#include "tests/support/allowance_world.h"

#include <algorithm>
#include <utility>

namespace mimosagauge::testing {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr Duration kReadInterval = std::chrono::milliseconds(200);
constexpr int kRenewalsPerSession = 3;
constexpr std::uint64_t kMessageBytes = 90;  // Frame, tag and tables.
constexpr std::uint64_t kEntryBytes = 40;

}  // namespace

AllowanceWorld::AllowanceWorld(AllowanceWorldSettings settings)
    : settings_(std::move(settings)), random_(settings_.seed) {
  settings_.allowances.regions = settings_.instances.size();
  for (std::size_t region = 0; region < settings_.instances.size(); ++region) {
    for (std::size_t i = 0; i < settings_.instances[region]; ++i) {
      AllowanceNode& node = nodes_.emplace_back();
      node.region = region;
      node.clock_offset = std::chrono::seconds(random_() % 1000);
      index_.emplace(InstanceId{"i" + std::to_string(nodes_.size() - 1)},
                     nodes_.size() - 1);
    }
  }
  lives_.resize(nodes_.size());
  leases_.resize(nodes_.size());
  for (const Account& account : settings_.accounts.list) {
    const Allowance& limit = account.allowance;
    reference_[HashAccountId(account.id)] =
        AllowanceBucket{{limit.per_second, limit.burst}, limit.burst, now_};
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Start(i);
  }
}

void AllowanceWorld::At(TimePoint at, std::function<void()> action) {
  actions_.push({at, next_order_++, std::move(action)});
}

void AllowanceWorld::Run(Duration duration) {
  const TimePoint end = now_ + duration;
  while (!actions_.empty() && actions_.top().at <= end) {
    const Action action = actions_.top();
    actions_.pop();
    now_ = std::max(now_, action.at);
    ExpireLeases();
    action.run();
    for (std::size_t r = 0; watch_lenders && r < settings_.instances.size();
         ++r) {
      most_lenders_ = std::max(most_lenders_, Lenders(r).size());
    }
  }
  now_ = end;
  ExpireLeases();
}

// Work that reaches a frozen instance is done when it goes on.
void AllowanceWorld::Act(std::size_t instance,
                         const std::function<void()>& action) {
  AllowanceNode& node = nodes_[instance];
  if (!node.running) {
    return;
  }
  if (now_ < node.frozen_until) {
    const std::uint64_t life = lives_[instance];
    return At(node.frozen_until, [this, instance, life, action] {
      if (lives_[instance] == life) {
        Act(instance, action);
      }
    });
  }
  action();
}

void AllowanceWorld::Start(std::size_t instance) {
  AllowanceNode& node = nodes_[instance];
  node.running = true;
  node.frozen_until = TimePoint{};
  node.renewal_answers_lost = false;
  node.store_reachable = true;
  const std::uint64_t life = ++lives_[instance];
  leases_[instance] = 0;
  node.state = MakeAllowances(InstanceId{"i" + std::to_string(instance)},
                              RegionId{"r" + std::to_string(node.region)},
                              settings_.allowances, ClockOf(node), random_());
  SetAccounts(node.state, settings_.accounts, ClockOf(node));
  for (const auto& [id, index] : index_) {
    node.state.reachable.insert(id);
  }
  Renew(instance, life);
  ReadStore(instance, life);
  TickNode(instance, life);
}

void AllowanceWorld::Kill(std::size_t instance) {
  nodes_[instance].running = false;
  ++lives_[instance];
}

void AllowanceWorld::Restart(std::size_t instance) {
  Kill(instance);
  Start(instance);
}

// A planned stop: it ceases to lend, then its registration is revoked.
void AllowanceWorld::Leave(std::size_t instance) {
  Act(instance, [this, instance] {
    nodes_[instance].state.facts.leaving = true;
    lease_ends_[leases_[instance]] = now_;
    nodes_[instance].store_reachable = false;
  });
}

void AllowanceWorld::Freeze(std::size_t instance, Duration duration) {
  nodes_[instance].frozen_until = now_ + duration;
}

void AllowanceWorld::TickNode(std::size_t instance, std::uint64_t life) {
  Act(instance, [this, instance] {
    AllowanceOutput output;
    DoDueWork(nodes_[instance].state, ClockOf(nodes_[instance]), output);
    Deliver(instance, std::move(output));
  });
  At(now_ + kTickInterval, [this, instance, life] {
    if (lives_[instance] == life) {
      TickNode(instance, life);
    }
  });
}

// Like the duty that keeps a registration: writes the entry without a
// condition, and anew where it is not the one that this process created.
void AllowanceWorld::Register(std::size_t instance) {
  AllowanceNode& node = nodes_[instance];
  const std::uint64_t lease = ++revision_;
  lease_ends_[lease] = now_ + settings_.allowances.session;
  leases_[instance] = lease;
  Entry& entry = store_["i" + std::to_string(instance)];
  entry.modified = ++revision_;
  entry.created = entry.created == 0 ? entry.modified : entry.created;
  entry.lease = lease;
  entry.instance = instance;
  if (node.renewal_answers_lost) {
    leases_[instance] = 0;  // It registers again.
  } else {
    node.state.facts.lease = lease;
    node.state.facts.lease_end = ClockOf(node) + settings_.allowances.session;
  }
}

void AllowanceWorld::Renew(std::size_t instance, std::uint64_t life) {
  Act(instance, [this, instance] {
    AllowanceNode& node = nodes_[instance];
    if (!node.store_reachable) {
      return;
    }
    const auto lease = lease_ends_.find(leases_[instance]);
    if (lease == lease_ends_.end()) {
      return Register(instance);
    }
    lease->second = now_ + settings_.allowances.session;
    if (!node.renewal_answers_lost) {
      node.state.facts.lease_end = ClockOf(node) + settings_.allowances.session;
    }
  });
  At(now_ + settings_.allowances.session / kRenewalsPerSession,
     [this, instance, life] {
       if (lives_[instance] == life) {
         Renew(instance, life);
       }
     });
}

void AllowanceWorld::ReadStore(std::size_t instance, std::uint64_t life) {
  Act(instance, [this, instance] {
    AllowanceNode& node = nodes_[instance];
    if (!node.store_reachable) {
      return;
    }
    RegistrationTable table;
    table.revision = revision_;
    for (const auto& [name, entry] : store_) {
      table.list.push_back(
          {InstanceId{name},
           RegionId{"r" + std::to_string(nodes_[entry.instance].region)},
           entry.created, entry.modified});
    }
    const auto own = store_.find("i" + std::to_string(instance));
    table.own_entry_lease = own == store_.end() ? 0 : own->second.lease;
    if (table.own_entry_lease == leases_[instance] && own != store_.end() &&
        own->second.created != own->second.modified) {
      ReplaceLater(instance);
    }
    const auto delay = Duration(static_cast<Duration::rep>(
        std::uniform_real_distribution<double>()(random_) *
        static_cast<double>(store_delay.count())));
    const std::uint64_t life_now = lives_[instance];
    At(now_ + delay, [this, instance, life_now, table = std::move(table)] {
      if (lives_[instance] == life_now) {
        Act(instance, [this, instance, table] { Adopt(instance, table); });
      }
    });
  });
  At(now_ + kReadInterval, [this, instance, life] {
    if (lives_[instance] == life) {
      ReadStore(instance, life);
    }
  });
}

// An entry of an earlier process is removed and written anew after one session.
void AllowanceWorld::ReplaceLater(std::size_t instance) {
  const std::string key = "i" + std::to_string(instance);
  const std::uint64_t lease = leases_[instance];
  At(now_ + settings_.allowances.session, [this, instance, key, lease] {
    const auto entry = store_.find(key);
    const bool unchanged = entry != store_.end() &&
                           entry->second.lease == lease &&
                           entry->second.created != entry->second.modified;
    if (unchanged && nodes_[instance].running &&
        nodes_[instance].store_reachable) {
      entry->second.created = entry->second.modified = ++revision_;
    }
  });
}

void AllowanceWorld::Adopt(std::size_t instance, RegistrationTable table) {
  Allowances& state = nodes_[instance].state;
  if (table.revision < state.facts.registrations.revision) {
    return;  // Changes of the store are heard in their order.
  }
  if (without == WithoutAllowanceRule::kOlder) {
    std::erase_if(table.list, [&state](const Registration& entry) {
      return entry.region == state.region && entry.id != state.self;
    });
  }
  if (without == WithoutAllowanceRule::kOwnEntry) {
    for (Registration& entry : table.list) {
      if (entry.id == state.self) {
        entry.modified = entry.created;
        table.own_entry_lease = state.facts.lease;
      }
    }
  }
  if (without == WithoutAllowanceRule::kLeaseEnd) {
    state.facts.lease_end = TimePoint::max();
  }
  SetRegistrations(state, std::move(table));
}

void AllowanceWorld::ExpireLeases() {
  for (auto lease = lease_ends_.begin(); lease != lease_ends_.end();) {
    if (lease->second > now_) {
      ++lease;
      continue;
    }
    std::erase_if(store_, [id = lease->first](const auto& entry) {
      return entry.second.lease == id;
    });
    ++revision_;
    lease = lease_ends_.erase(lease);
  }
}

void AllowanceWorld::Request(std::size_t instance, AccountHash account,
                             double units) {
  Act(instance, [this, instance, account, units] {
    AllowanceNode& node = nodes_[instance];
    const RequestNumber number{next_number_++};
    AllowanceOutput output;
    const AllowanceDecision decision =
        Admit(node.state, account, units, number, ClockOf(node), output);
    if (decision.verdict == AllowanceVerdict::kWaiting) {
      waiting_[{instance, number}] = {now_, account, units};
    } else {
      Record(instance, account, units, now_, decision);
    }
    Deliver(instance, std::move(output));
  });
}

void AllowanceWorld::RefundLast(std::size_t instance) {
  const auto charge = last_charge_.find(instance);
  AllowanceNode& node = nodes_[instance];
  if (charge == last_charge_.end() || !node.running) {
    return;
  }
  ReturnCharge(node.state, charge->second, ClockOf(node));
  // It did not run after all.
  for (auto one = decided_.rbegin(); one != decided_.rend(); ++one) {
    if (one->instance == instance &&
        one->verdict == AllowanceVerdict::kAdmitted) {
      one->units = 0;
      break;
    }
  }
  last_charge_.erase(charge);
}

void AllowanceWorld::Record(std::size_t instance, AccountHash account,
                            double units, TimePoint since,
                            const AllowanceDecision& decision) {
  AllowanceBucket& reference = reference_[account];
  Refill(reference, now_);
  const bool below = reference.level >= units;
  if (decision.verdict == AllowanceVerdict::kAdmitted) {
    reference.level -= units;
    if (decision.charge) {
      last_charge_[instance] = *decision.charge;
    }
  }
  decided_.push_back({now_, instance, account, units, decision.verdict,
                      decision.retry_after, now_ - since, below});
}

void AllowanceWorld::Deliver(std::size_t from, AllowanceOutput&& output) {
  for (const AllowanceDecision& decision : output.decisions) {
    const auto found = waiting_.find({from, decision.number});
    if (found != waiting_.end()) {
      const Waiting waiting = found->second;
      waiting_.erase(found);
      Record(from, waiting.account, waiting.units, waiting.since, decision);
    }
  }
  for (const auto& [to, message] : output.messages) {
    Send(from, index_.at(to), message);
  }
}

void AllowanceWorld::Send(std::size_t from, std::size_t to,
                          const AllowanceMessage& message) {
  const std::uint64_t bytes =
      kMessageBytes +
      kEntryBytes * (message.requests.size() + message.grants.size());
  nodes_[from].bytes_out += bytes;
  std::uniform_real_distribution<double> draw;
  int copies = draw(random_) < loss ? 0 : 1;
  copies += draw(random_) < duplication ? 1 : 0;
  const Duration usual = nodes_[from].region == nodes_[to].region
                             ? settings_.in_region
                             : settings_.between_regions;
  for (int i = 0; i < copies; ++i) {
    const Duration delay =
        usual + Duration(static_cast<Duration::rep>(
                    draw(random_) * static_cast<double>(extra_delay.count())));
    At(now_ + delay, [this, from, to, message, bytes] {
      const bool lost = cut && cut(nodes_[from].region, nodes_[to].region);
      if (lost) {
        return;
      }
      Act(to, [this, from, to, message, bytes] {
        AllowanceNode& node = nodes_[to];
        ++node.messages_in;
        node.bytes_in += bytes;
        AllowanceOutput output;
        HandleMessage(node.state, InstanceId{"i" + std::to_string(from)},
                      message, ClockOf(node), output);
        Deliver(to, std::move(output));
      });
    });
  }
}

std::vector<std::size_t> AllowanceWorld::Lenders(std::size_t region) {
  std::vector<std::size_t> lenders;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const AllowanceNode& node = nodes_[i];
    const auto until = LendsUntil(node.state.facts, node.state.self,
                                  node.state.book.settings.session);
    if (node.running && node.region == region && until &&
        ClockOf(node) < *until) {
      lenders.push_back(i);
    }
  }
  return lenders;
}

double AllowanceWorld::LargestWindow(AccountHash account,
                                     Duration window) const {
  std::deque<const DecidedRequest*> inside;
  double sum = 0;
  double largest = 0;
  for (const DecidedRequest& one : decided_) {
    if (one.account != account || one.verdict != AllowanceVerdict::kAdmitted) {
      continue;
    }
    inside.push_back(&one);
    sum += one.units;
    while (inside.front()->at <= one.at - window) {
      sum -= inside.front()->units;
      inside.pop_front();
    }
    largest = std::max(largest, sum);
  }
  return largest;
}

}  // namespace mimosagauge::testing
