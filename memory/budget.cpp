#include "budget.h"

#include <algorithm>

namespace cressrill::memory {

namespace {

constexpr Nanos kMillisecond = 1'000'000;
constexpr std::size_t kMiB = 1024 * 1024;

// Memory of the process that no account counts: the program, its fleet, its log, its coroutines.
constexpr std::size_t kProcessShareBytes = 4 * kMiB;
// Share of the rest that the accounts may hold. The allocator needs the remainder for fragmentation, and for
// what was freed and not returned to the system yet.
constexpr std::size_t kAccountPercent = 60;
constexpr std::size_t kMinAccountBytes = 2 * kMiB;
constexpr std::size_t kHighWatermarkPercent = 75;
constexpr std::size_t kSmallAccountBytes = 64 * 1024;
constexpr std::size_t kMinShedBytes = 12 * 1024;

// An account that has moved just now still counts as if it had not for this time.
constexpr Nanos kMinAge = 100 * kMillisecond;

}  // namespace

const char* to_string(PeerKind kind) {
  static constexpr const char* names[] = {"client_connection", "request"};
  return names[static_cast<std::size_t>(kind)];
}

Limits limits_for_process(std::size_t process_bytes) {
  const std::size_t rest = process_bytes - std::min(process_bytes, kProcessShareBytes);
  Limits limits;
  limits.total = std::max(kMinAccountBytes, rest / 100 * kAccountPercent);
  limits.high_watermark = limits.total / 100 * kHighWatermarkPercent;
  limits.small_account_bytes = kSmallAccountBytes;
  limits.min_shed_bytes = kMinShedBytes;
  return limits;
}

void Budget::change(PeerKind kind, std::size_t from, std::size_t to) {
  held_ += to - from;
  held_by_kind_[static_cast<std::size_t>(kind)] += to - from;
  if (to < from) freed_ += from - to;
}

// The account that holds most and has moved least, of the first group that has any.
Account* Budget::choose_account_to_shed(Nanos now) {
  Account* chosen = nullptr;
  double chosen_weight = 0;
  for (Listed& listed : accounts_) {
    auto& account = static_cast<Account&>(listed);
    if (account.sheddable_ == Sheddable::never || account.was_shed_ ||
        account.bytes_ < limits_.min_shed_bytes)
      continue;
    const Nanos age = now - account.last_progress_at_ + kMinAge;
    const double weight = static_cast<double>(account.bytes_) * static_cast<double>(age);
    const bool is_better = chosen == nullptr || account.sheddable_ < chosen->sheddable_ ||
                           (account.sheddable_ == chosen->sheddable_ && weight > chosen_weight);
    if (!is_better) continue;
    chosen = &account;
    chosen_weight = weight;
  }
  return chosen;
}

// Sheds accounts until what they free makes room for the growth. May shed the grower itself.
void Budget::shed_for(const Account& grower, std::size_t growth, Nanos now) {
  const std::size_t limit = limit_for(grower.bytes_ + growth);
  while (!grower.was_shed_ && held_ + growth > limit + being_freed_) {
    Account* account = choose_account_to_shed(now);
    if (account == nullptr) return;
    account->was_shed_ = true;
    being_freed_ += account->bytes_;
    ++shed_count_;
    if (observe_shed_) observe_shed_(*account, now - account->opened_at_);
    if (account->shed_) account->shed_();
  }
}

Account::Account(Budget* budget, PeerKind kind, Nanos now, std::function<void()> shed)
    : budget_(budget), kind_(kind), opened_at_(now), last_progress_at_(now), shed_(std::move(shed)) {
  if (budget_ != nullptr) budget_->accounts_.push_back(*this);
}

Account::~Account() { change(bytes_, 0); }

void Account::change(std::size_t from, std::size_t to) {
  if (budget_ == nullptr) return;
  bytes_ += to - from;
  if (was_shed_) budget_->being_freed_ += to - from;
  budget_->change(kind_, from, to);
}

Account::Admission Account::request_growth(std::size_t bytes, Nanos now) {
  if (budget_ == nullptr) return Admission::granted;
  if (was_shed_) return Admission::refused;
  if (budget_->has_room(bytes_, bytes)) return Admission::granted;
  budget_->shed_for(*this, bytes, now);
  if (was_shed_) return Admission::refused;
  return budget_->being_freed_ > 0 ? Admission::wait : Admission::refused;
}

}  // namespace cressrill::memory
