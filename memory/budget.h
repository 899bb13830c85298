// Accounts for memory whose amount peers decide: what a connection has sent, what a response brings, what a
// slow reader leaves unread. Buffers are charged before they grow and discharged when they are freed. At its
// limit the budget sheds load. It does no I/O and reads no clock; times are passed in. Not thread-safe.
#pragma once

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>

namespace cressrill::memory {

using Nanos = std::int64_t;

class Account;

// Whose bytes an account holds.
enum class PeerKind {
  client_connection,  // a request that is being read
  request,            // a request in service, with its attempts and its unread response
};
constexpr std::size_t kPeerKindCount = 2;
// Name of the value, as it is used in metrics and logs.
const char* to_string(PeerKind kind);

// What an account holds its bytes for; the order in which accounts are shed.
enum class Sheddable {
  first,  // a request that is not complete yet
  next,   // a response that its client does not read
  never,  // a complete request that is being served
};

// Thresholds of a budget, in bytes.
struct Limits {
  std::size_t total{};
  // Accounts that hold more than small_account_bytes may grow only up to this total, so that what many large
  // peers hold leaves room for small ones.
  std::size_t high_watermark{};
  std::size_t small_account_bytes{};
  // Accounts that hold less are not shed: it would free little.
  std::size_t min_shed_bytes{};
};

// The limits that follow from the memory that the process may use.
Limits limits_for_process(std::size_t process_bytes);

// The memory that all peers together hold, with an account for each.
class Budget {
 public:
  // Called for each account that is shed, before it is told.
  using ShedObserver = std::function<void(const Account&, Nanos held_for)>;

  explicit Budget(Limits limits) : limits_(limits) {}
  Budget(const Budget&) = delete;
  Budget& operator=(const Budget&) = delete;

  const Limits& limits() const { return limits_; }
  std::size_t held() const { return held_; }
  std::size_t held(PeerKind kind) const { return held_by_kind_[static_cast<std::size_t>(kind)]; }
  std::size_t shed_count() const { return shed_count_; }
  // Bytes freed since the last call of reset_freed(): whether it is worth returning memory to the system.
  std::size_t freed() const { return freed_; }
  void reset_freed() { freed_ = 0; }
  void observe_shedding(ShedObserver observer) { observe_shed_ = std::move(observer); }

 private:
  friend class Account;
  using AccountHook =
      boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
  struct Listed : AccountHook {};
  using Accounts = boost::intrusive::list<Listed, boost::intrusive::constant_time_size<false>>;

  std::size_t limit_for(std::size_t account_bytes) const {
    return account_bytes > limits_.small_account_bytes ? limits_.high_watermark : limits_.total;
  }
  bool has_room(std::size_t account_bytes, std::size_t growth) const {
    return held_ + growth <= limit_for(account_bytes + growth);
  }
  void shed_for(const Account& grower, std::size_t growth, Nanos now);
  Account* choose_account_to_shed(Nanos now);
  void change(PeerKind kind, std::size_t from, std::size_t to);

  Limits limits_;
  std::size_t held_{};
  std::size_t being_freed_{};  // held by accounts that were shed and have not freed it yet
  std::size_t freed_{};
  std::size_t shed_count_{};
  std::array<std::size_t, kPeerKindCount> held_by_kind_{};
  Accounts accounts_;
  ShedObserver observe_shed_;
};

// What one peer holds. Without a budget (a null pointer) all growth is admitted and nothing is counted.
class Account : private Budget::Listed {
 public:
  // shed: called at most once, when the account has to free its bytes; it must not charge or discharge.
  Account(Budget* budget, PeerKind kind, Nanos now, std::function<void()> shed = {});
  ~Account();
  Account(const Account&) = delete;
  Account& operator=(const Account&) = delete;

  PeerKind kind() const { return kind_; }
  std::size_t bytes() const { return bytes_; }
  bool was_shed() const { return was_shed_; }
  // Who the peer is, for the log.
  std::string_view peer() const { return peer_; }
  // The text must outlive the account.
  void set_peer(std::string_view peer) { peer_ = peer; }
  void set_shed_handler(std::function<void()> shed) { shed_ = std::move(shed); }
  void set_sheddable(Sheddable sheddable) { sheddable_ = sheddable; }
  // Records that the peer has sent or taken bytes.
  void record_progress(Nanos now) { last_progress_at_ = now; }

  enum class Admission {
    granted,  // the account may grow now
    wait,     // other accounts are about to free bytes: ask again after a turn of the event loop
    refused,  // this account has to end: it was shed, or nothing else can be shed
  };
  // Asks for that many more bytes, and sheds other accounts if that makes room.
  Admission request_growth(std::size_t bytes, Nanos now);

 private:
  friend class Budget;
  friend class Charge;
  void change(std::size_t from, std::size_t to);

  Budget* budget_;
  PeerKind kind_;
  Sheddable sheddable_{Sheddable::never};
  std::size_t bytes_{};
  Nanos opened_at_;
  Nanos last_progress_at_;
  bool was_shed_{};
  std::string_view peer_;
  std::function<void()> shed_;
};

// The size of one buffer, charged to an account for the lifetime of this object. The account must outlive it.
class Charge {
 public:
  Charge() = default;
  explicit Charge(Account& account) : account_(&account) {}
  Charge(Charge&& other) noexcept
      : account_(std::exchange(other.account_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
  Charge& operator=(Charge&& other) noexcept {
    if (this != &other) {
      resize(0);
      account_ = std::exchange(other.account_, nullptr);
      bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
  }
  ~Charge() { resize(0); }
  std::size_t bytes() const { return bytes_; }
  // Records the new size of the buffer.
  void resize(std::size_t bytes) {
    if (account_ == nullptr || bytes == bytes_) return;
    account_->change(bytes_, bytes);
    bytes_ = bytes;
  }

 private:
  Account* account_{};
  std::size_t bytes_{};
};

}  // namespace cressrill::memory
