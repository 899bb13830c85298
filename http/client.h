// HTTP/1.1 client connections: a pool of persistent connections for each peer, one request at a time on each
// connection.
#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "idle_reuse.h"
#include "message.h"

namespace cressrill::http {

// What a connection is used for. Some connections are reserved for releases (calls that free KV cache at a
// worker), so that these never wait for ordinary work.
enum class Priority { ordinary, release };

// A connection of a pool.
struct Connection {
  io::Socket socket;
  std::unique_ptr<MessageReader> reader;
  Priority priority{Priority::ordinary};  // of the current use
  bool preempted{};                       // closed in favour of another release, and no longer counted
  bool reused{};                          // it was idle in the pool before its current use
  io::Nanos idle_time{};                  // for how long, if reused
};

class Pool;

// Whether an idle connection may be reused. It may be dead without notice although its peer is healthy.
enum class Reuse { allowed, never };

// Counts connections against a limit, part of which is reserved for releases. Idle connections count as open,
// but not as in use.
class ConnectionCount {
 public:
  ConnectionCount(std::size_t max_open, std::size_t reserved_for_releases)
      : max_open_(max_open), reserved_for_releases_(reserved_for_releases) {}
  std::size_t open_count() const { return open_count_; }
  bool full() const { return open_count_ >= max_open_; }
  // Whether one more connection may be in use, idle or new.
  bool admits(Priority priority) const;
  void opened() { ++open_count_; }
  void closed() { --open_count_; }
  void use_started(Priority priority) { ordinary_in_use_ += priority == Priority::ordinary; }
  void use_ended(Priority priority) { ordinary_in_use_ -= priority == Priority::ordinary; }
  void subtract(const ConnectionCount& other);

 private:
  std::size_t max_open_;
  std::size_t reserved_for_releases_;
  std::size_t open_count_{};
  std::size_t ordinary_in_use_{};
};

// Shared by several pools: a limit on the connections of all of them, and the reuse statistics of idle
// connections. At the limit, the oldest idle connection of any pool is closed for a new one.
class ConnectionBudget {
 public:
  // reserved_for_releases: part of max_open that ordinary work never uses.
  explicit ConnectionBudget(std::size_t max_open, std::size_t reserved_for_releases = 0)
      : count_(max_open, reserved_for_releases) {}
  std::size_t open_count() const { return count_.open_count(); }

 private:
  friend class Pool;
  struct Release {  // a release whose connection is in use
    Pool* pool{};
    Connection* connection{};
    io::Nanos started_at{};
  };
  // Whether another connection may be opened; closes or preempts one first if that is needed and allowed.
  bool make_room(Priority priority, io::Nanos now);
  bool close_oldest_idle_connection();
  bool preempt_oldest_release(io::Nanos now);
  IdleReuseTracker idle_reuse_;
  ConnectionCount count_;
  std::vector<Release> releases_;  // the oldest first
  std::vector<Pool*> pools_;
};

struct PoolLimits {
  io::Nanos dial_timeout = 250 * io::kMs;     // to wait for capacity and to connect, together
  io::Nanos idle_timeout = 15 * io::kSecond;  // an idle connection is closed after this time
  std::size_t max_idle = 64;
  std::size_t max_open = 1024;  // at this limit, a request waits for a connection to be returned
  std::shared_ptr<ConnectionBudget> budget{};  // shared with other pools; null: no shared limit
  // A returned connection is not reused before it has been idle for this time. A second response from a
  // faulty peer that arrives meanwhile is not taken for the response to the next request.
  io::Nanos min_idle_before_reuse{};
  std::size_t reserved_for_releases{};  // part of max_open that ordinary work never uses
  MessageLimits messages{};             // of responses
};

// Connections to one peer. A connection that was acquired has to be passed to return_connection() or
// discard(); use a ConnectionLease for that.
class Pool {
 public:
  Pool(io::Loop& loop, io::Address peer, PoolLimits limits = {})
      : loop_(loop),
        peer_(peer),
        limits_(std::move(limits)),
        count_(limits_.max_open, limits_.reserved_for_releases),
        available_(loop),
        expiry_scope_(loop) {
    if (limits_.budget) limits_.budget->pools_.push_back(this);
  }
  ~Pool();

  // Returns an idle connection that appears open, or a new one, within dial_timeout; else null. at_capacity
  // is set to true if a local limit or a shortage of this machine is the reason, not the peer.
  io::Task<std::unique_ptr<Connection>> acquire(bool& at_capacity, Reuse reuse = Reuse::allowed,
                                                Priority priority = Priority::ordinary);
  // Takes back a connection whose last response was read to its end; any other one has to be discarded.
  void return_connection(std::unique_ptr<Connection> connection);
  // Closes a connection that was acquired.
  void discard(std::unique_ptr<Connection> connection);
  // Records for reuse decisions whether a reused connection brought a response. No effect for a new or
  // preempted connection, or without a shared budget.
  void record_use(const Connection& connection, bool has_response);
  // Closes all idle connections.
  void close_idle();
  io::Address peer() const { return peer_; }
  std::size_t open_count() const { return count_.open_count(); }
  std::size_t idle_count() const { return idle_.size(); }
  // Whether an idle connection can be reused now.
  bool has_reusable() const;
  // Number of connections that were dialled so far, including failed attempts.
  std::size_t dial_count() const { return dial_count_; }

 private:
  // Whether the reuse statistics favour reusing a connection that has been idle for this long.
  bool worth_using(io::Nanos idle_time) const;
  friend class ConnectionBudget;
  struct IdleEntry {
    std::unique_ptr<Connection> connection;
    io::Nanos idle_since;
  };
  std::unique_ptr<Connection> take_idle(Priority priority, io::Nanos& next_reuse_at);
  bool make_room(Priority priority);
  bool budget_admits(Priority priority) const;
  io::Task<std::unique_ptr<Connection>> dial(io::Nanos deadline, bool& at_capacity, Priority priority);
  // Keep count_ and the budget's count in step.
  void opened();
  void closed();
  void use_started(Priority priority);
  void use_ended(Priority priority);
  void use_ended_and_closed(Priority priority);
  void release_started(Connection& connection);
  void release_ended(const Connection& connection);
  void preempt(Connection& connection);
  void close_oldest_idle();
  io::Task<> close_expired();
  io::Loop& loop_;
  io::Address peer_;
  PoolLimits limits_;
  std::deque<IdleEntry> idle_;  // the oldest first
  ConnectionCount count_;
  std::size_t dial_count_{};
  bool closing_expired_{};
  io::Signal available_;  // a connection was returned or closed
  io::Scope expiry_scope_;
};

// Acquires a connection for one exchange, and discards it on destruction unless it was returned to the pool.
// Keeps the pool alive meanwhile.
class ConnectionLease {
 public:
  explicit ConnectionLease(std::shared_ptr<Pool> pool, Reuse reuse = Reuse::allowed,
                           Priority priority = Priority::ordinary)
      : pool_(std::move(pool)), reuse_(reuse), priority_(priority) {}
  ~ConnectionLease() { discard(); }
  ConnectionLease(const ConnectionLease&) = delete;
  ConnectionLease& operator=(const ConnectionLease&) = delete;
  // Returns whether a connection was acquired.
  io::Task<bool> acquire() {
    connection_ = co_await pool_->acquire(at_capacity_, reuse_, priority_);
    co_return connection_ != nullptr;
  }
  // Outcome of the use: a response arrived, or the connection broke before its first byte.
  void record_response() { pool_->record_use(*connection_, true); }
  void record_loss() { pool_->record_use(*connection_, false); }
  // If none was acquired: whether the reason is a local limit and not the peer.
  bool at_capacity() const { return at_capacity_; }
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
  bool at_capacity_{};
};

// Result of one request and its complete response.
struct ExchangeResult {
  MessageError error{MessageError::none};
  bool connected{};
  bool at_capacity{};  // not connected because of a local limit
  bool sent{};         // any byte was written: the peer may have acted on the request
  Head head;
  std::string body;
  bool ok() const { return connected && error == MessageError::none; }
};
// Sends a formatted request and reads the complete response. still_wanted, if given, is called once a
// connection has been acquired: if it returns false, nothing is sent and the error is MessageError::closed.
io::Task<ExchangeResult> exchange(std::shared_ptr<Pool> pool, std::string request,
                                  std::function<bool()> still_wanted = {}, Reuse reuse = Reuse::allowed,
                                  Priority priority = Priority::ordinary);

}  // namespace cressrill::http
