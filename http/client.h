// HTTP/1.1 towards one peer: connections that are kept and used again, one request at a time on each.
#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "idle_reuse.h"
#include "message.h"

namespace cressrill::http {

// For whom a connection is taken. Ordinary work leaves some room to releases, so that these never wait for it.
enum class Priority { ordinary, release };

struct Connection {
  io::Socket socket;
  std::unique_ptr<MessageReader> reader;
  Priority priority{Priority::ordinary};  // of its present use
  bool preempted{};                       // was closed to make way for another release, and counts no more
  bool reused{};
  io::Nanos idle_time{};  // how long it was kept unused before this use
};

class Pool;

// Whether a connection that was kept will do. One may have fallen silent while its peer runs on.
enum class Reuse { allowed, never };

// Connections against a bound, of which ordinary work leaves some to releases. Kept ones count as open and not as in use.
class ConnectionCount {
 public:
  ConnectionCount(std::size_t most, std::size_t for_releases) : most_(most), for_releases_(for_releases) {}
  std::size_t open_count() const { return open_; }
  bool full() const { return open_ >= most_; }
  // Whether one more may be in use, be it kept or new.
  bool admits(Priority priority) const;
  void opened() { ++open_; }
  void closed() { --open_; }
  void use_started(Priority priority) { ordinary_in_use_ += priority == Priority::ordinary; }
  void use_ended(Priority priority) { ordinary_in_use_ -= priority == Priority::ordinary; }
  void subtract(const ConnectionCount& gone);

 private:
  std::size_t most_;
  std::size_t for_releases_;
  std::size_t open_{};
  std::size_t ordinary_in_use_{};
};

// What many pools share: a bound on their connections together, where kept ones make way for new ones, the oldest
// first; and what is known of kept ones.
class ConnectionBudget {
 public:
  // for_releases: so many of the most are never in use by ordinary work.
  explicit ConnectionBudget(std::size_t most, std::size_t for_releases = 0) : count_(most, for_releases) {}
  std::size_t open_count() const { return count_.open_count(); }

 private:
  friend class Pool;
  struct Release {  // that is out on a connection
    Pool* pool{};
    Connection* connection{};
    io::Nanos since{};
  };
  // Whether another may be opened.
  bool make_room(Priority priority, io::Nanos now);
  bool end_oldest_kept();
  bool end_oldest_release(io::Nanos now);
  IdleReuseTracker idle_reuse_;
  ConnectionCount count_;
  std::vector<Release> releases_;  // the earliest first
  std::vector<Pool*> pools_;
};

struct PoolLimits {
  io::Nanos dial_timeout = 250 * io::kMs;
  io::Nanos idle_timeout = 15 * io::kSecond;  // a kept connection is closed after so long
  std::size_t max_idle = 64;
  std::size_t max_open = 1024;                 // past this a request waits for one that is given back
  std::shared_ptr<ConnectionBudget> budget{};  // shared with other pools; none: no such bound
  io::Nanos
      min_idle_before_reuse{};  // a kept connection is not used again before: a peer's second answer would pass for the next one's
  std::size_t reserved_for_releases{};  // so many of those open are never in use by ordinary work
};

class Pool {
 public:
  Pool(io::Loop& loop, io::Address peer, PoolLimits bounds = {})
      : loop_(loop),
        peer_(peer),
        bounds_(std::move(bounds)),
        count_(bounds_.max_open, bounds_.reserved_for_releases),
        returned_(loop),
        sweeper_(loop) {
    if (bounds_.budget) bounds_.budget->pools_.push_back(this);
  }
  ~Pool();

  // A connection that is open as far as can be told, or none: it could not be made in time or, where crowded is set,
  // there was no room for it on this side.
  io::Task<std::unique_ptr<Connection>> acquire(bool& crowded, Reuse reuse = Reuse::allowed,
                                                Priority priority = Priority::ordinary);
  // A connection whose last response was read to its end. Others are dropped instead.
  void return_connection(std::unique_ptr<Connection> connection);
  // Closes a connection that was taken.
  void discard(std::unique_ptr<Connection> connection);
  void record_use(const Connection& connection, bool answered);
  // Closes what is kept and not in use.
  void close_idle();
  io::Address peer() const { return peer_; }
  std::size_t open_count() const { return count_.open_count(); }
  std::size_t idle_count() const { return kept_.size(); }
  // Whether one that is kept can be used now.
  bool has_reusable() const;
  std::size_t dial_count() const { return dialled_; }

 private:
  // Whether a connection that stood idle for so long is still open at its peer, by what others have shown.
  bool worth_using(io::Nanos stood) const;
  friend class ConnectionBudget;
  struct Kept {
    std::unique_ptr<Connection> connection;
    io::Nanos since;
  };
  std::unique_ptr<Connection> take_kept(Priority priority, io::Nanos& rested);
  bool has_room(Priority priority);
  bool budget_admits(Priority priority) const;
  io::Task<std::unique_ptr<Connection>> dial(io::Nanos until, bool& crowded, Priority priority);
  void opened();
  void closed();
  void use_begun(Priority priority);
  void use_ended(Priority priority);
  void dropped(Priority priority);
  void release_begun(Connection& connection);
  void release_ended(const Connection& connection);
  void yield(Connection& connection);
  void drop_oldest_kept();
  io::Task<> sweep();
  io::Loop& loop_;
  io::Address peer_;
  PoolLimits bounds_;
  std::deque<Kept> kept_;
  ConnectionCount count_;
  std::size_t dialled_{};
  bool sweeping_{};
  io::Signal returned_;
  io::Scope sweeper_;
};

// Takes a connection for one exchange and settles with the pool whatever becomes of it.
class ConnectionLease {
 public:
  explicit ConnectionLease(std::shared_ptr<Pool> pool, Reuse reuse = Reuse::allowed,
                           Priority priority = Priority::ordinary)
      : pool_(std::move(pool)), reuse_(reuse), priority_(priority) {}
  ~ConnectionLease() { discard(); }
  ConnectionLease(const ConnectionLease&) = delete;
  ConnectionLease& operator=(const ConnectionLease&) = delete;
  io::Task<bool> acquire() {
    connection_ = co_await pool_->acquire(crowded_, reuse_, priority_);
    co_return connection_ != nullptr;
  }
  // Its use brought an answer, or broke before any byte of one.
  void record_response() { pool_->record_use(*connection_, true); }
  void record_loss() { pool_->record_use(*connection_, false); }
  // Why none was taken: no room on this side, and no fault of the peer.
  bool at_capacity() const { return crowded_; }
  Connection& operator*() { return *connection_; }
  Connection* operator->() { return connection_.get(); }
  void return_to_pool() {
    if (connection_) pool_->return_connection(std::move(connection_));
  }
  void discard() {
    if (connection_) pool_->discard(std::move(connection_));
  }

 private:
  std::shared_ptr<Pool> pool_;
  std::unique_ptr<Connection> connection_;
  Reuse reuse_;
  Priority priority_;
  bool crowded_{};
};

// One whole exchange. What became of it: sent tells whether any byte left, so that it may have been acted on.
struct ExchangeResult {
  MessageError error{MessageError::none};
  bool connected{};
  bool at_capacity{};  // not connected as there was no room on this side
  bool sent{};
  Head head;
  std::string body;
  bool ok() const { return connected && error == MessageError::none; }
};
// still_wanted, where given, is asked once the connection is made: where it denies, nothing is sent.
io::Task<ExchangeResult> exchange(std::shared_ptr<Pool> pool, std::string text,
                                  std::function<bool()> still_wanted = {}, Reuse reuse = Reuse::allowed,
                                  Priority priority = Priority::ordinary);

}  // namespace cressrill::http
