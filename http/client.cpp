#include "client.h"

#include <algorithm>
#include <cerrno>

namespace cressrill::http {

namespace {

// A release without a response for this long may be preempted by another release: most likely the peer has
// received it, or the connection is dead.
constexpr io::Nanos kReleasePreemptableAfter = 20 * io::kMs;

}  // namespace

bool ConnectionCount::admits(Priority priority) const {
  return priority == Priority::release || ordinary_in_use_ + reserved_for_releases_ < max_open_;
}

void ConnectionCount::subtract(const ConnectionCount& other) {
  open_count_ -= other.open_count_;
  ordinary_in_use_ -= other.ordinary_in_use_;
}

bool ConnectionBudget::make_room(Priority priority, io::Nanos now) {
  if (!count_.full() || close_oldest_idle_connection()) return true;
  return priority == Priority::release && preempt_oldest_release(now);
}

bool ConnectionBudget::close_oldest_idle_connection() {
  Pool* oldest = nullptr;
  for (Pool* pool : pools_)
    if (!pool->idle_.empty() &&
        (oldest == nullptr || pool->idle_.front().idle_since < oldest->idle_.front().idle_since))
      oldest = pool;
  if (oldest == nullptr) return false;
  oldest->close_oldest_idle();
  return true;
}

// Keeps releases to unresponsive workers from using up the connections for responsive ones.
bool ConnectionBudget::preempt_oldest_release(io::Nanos now) {
  if (releases_.empty() || now - releases_.front().started_at < kReleasePreemptableAfter) return false;
  releases_.front().pool->preempt(*releases_.front().connection);
  return true;
}

Pool::~Pool() {
  if (!limits_.budget) return;
  std::erase(limits_.budget->pools_, this);
  limits_.budget->count_.subtract(count_);
}

void Pool::opened() {
  count_.opened();
  if (limits_.budget) limits_.budget->count_.opened();
}

void Pool::closed() {
  count_.closed();
  if (limits_.budget) limits_.budget->count_.closed();
  available_.notify();
}

void Pool::use_started(Priority priority) {
  count_.use_started(priority);
  if (limits_.budget) limits_.budget->count_.use_started(priority);
}

void Pool::use_ended(Priority priority) {
  count_.use_ended(priority);
  if (limits_.budget) limits_.budget->count_.use_ended(priority);
}

void Pool::use_ended_and_closed(Priority priority) {
  use_ended(priority);
  closed();
}

void Pool::discard(std::unique_ptr<Connection> connection) {
  release_ended(*connection);
  const bool preempted = connection->preempted;
  const Priority priority = connection->priority;
  connection.reset();
  if (!preempted) use_ended_and_closed(priority);
}

void Pool::release_started(Connection& connection) {
  if (!limits_.budget || connection.priority != Priority::release) return;
  limits_.budget->releases_.push_back({this, &connection, loop_.now()});
}

void Pool::release_ended(const Connection& connection) {
  if (!limits_.budget || connection.priority != Priority::release) return;
  std::erase_if(limits_.budget->releases_,
                [&](const auto& release) { return release.connection == &connection; });
}

// A coroutine that waits on the socket notices the close. The connection stops counting at once, not only
// when its lease ends.
void Pool::preempt(Connection& connection) {
  release_ended(connection);
  connection.preempted = true;
  connection.socket.close();
  use_ended_and_closed(connection.priority);
}

void Pool::close_oldest_idle() {
  idle_.pop_front();
  closed();
}

void Pool::record_use(const Connection& connection, bool has_response) {
  if (!limits_.budget || !connection.reused || connection.preempted) return;
  IdleReuseTracker& tracker = limits_.budget->idle_reuse_;
  has_response ? tracker.record_response(connection.idle_time, loop_.now())
               : tracker.record_loss(connection.idle_time, loop_.now());
}

void Pool::close_idle() {
  while (!idle_.empty()) close_oldest_idle();
}

io::Task<std::unique_ptr<Connection>> Pool::acquire(bool& at_capacity, Reuse reuse, Priority priority) {
  const io::Nanos deadline = loop_.now() + limits_.dial_timeout;
  for (;;) {
    io::Nanos next_reuse_at = deadline;  // when the next idle connection becomes reusable
    if (count_.admits(priority)) {
      if (reuse == Reuse::allowed && budget_admits(priority))
        if (auto connection = take_idle(priority, next_reuse_at)) co_return connection;
      if (make_room(priority)) break;
    }
    if (loop_.now() >= deadline) co_return nullptr;
    co_await io::wait_until(loop_, available_, next_reuse_at);
  }
  if (!budget_admits(priority) || (limits_.budget && !limits_.budget->make_room(priority, loop_.now()))) {
    at_capacity = true;
    co_return nullptr;
  }
  co_return co_await dial(deadline, at_capacity, priority);
}

// Takes the most recently used idle connection that is worth reusing, or returns null. Lowers next_reuse_at
// to the time when an idle connection becomes reusable.
std::unique_ptr<Connection> Pool::take_idle(Priority priority, io::Nanos& next_reuse_at) {
  for (std::size_t i = idle_.size(); i-- > 0;) {
    const io::Nanos idle_time = loop_.now() - idle_[i].idle_since;
    if (idle_time < limits_.min_idle_before_reuse) {
      next_reuse_at = std::min(next_reuse_at, idle_[i].idle_since + limits_.min_idle_before_reuse);
      continue;
    }
    if (!worth_using(idle_time)) continue;
    auto connection = std::move(idle_[i].connection);
    connection->idle_time = idle_time;
    idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(i));
    // The peer may have closed it meanwhile. It is discarded here without risk, as no request has been sent
    // on it.
    if (!connection->socket.is_stale()) {
      connection->reused = true;
      connection->priority = priority;
      use_started(priority);
      release_started(*connection);
      return connection;
    }
    connection.reset();
    closed();
  }
  return nullptr;
}

// Returns whether another connection may be opened. At the limit, closes for a release an idle connection
// that it cannot reuse.
bool Pool::make_room(Priority priority) {
  if (count_.full() && priority == Priority::release && !idle_.empty()) close_oldest_idle();
  return !count_.full();
}

bool Pool::budget_admits(Priority priority) const {
  return !limits_.budget || limits_.budget->count_.admits(priority);
}

io::Task<std::unique_ptr<Connection>> Pool::dial(io::Nanos deadline, bool& at_capacity, Priority priority) {
  struct CountGuard {  // undoes opened() and use_started() if the dial fails or is cancelled
    Pool* pool;
    Priority priority;
    ~CountGuard() {
      if (pool != nullptr) pool->use_ended_and_closed(priority);
    }
  };
  opened();
  use_started(priority);
  ++dial_count_;
  CountGuard count_guard{this, priority};
  auto connection = std::make_unique<Connection>();
  connection->priority = priority;
  for (;;) {
    const auto result =
        co_await io::with_deadline(loop_, deadline, io::connect(loop_, peer_, connection->socket));
    if (result && result->ok()) break;
    // A resource shortage of this machine is not the fault of the peer and may end before the deadline.
    at_capacity = result && io::classify_error(io::SystemCall::connect, result->error) ==
                                io::ErrorClass::resource_shortage;
    if (!at_capacity || loop_.now() + io::kResourceRetryDelay >= deadline) co_return nullptr;
    co_await loop_.sleep_for(io::kResourceRetryDelay);
  }
  at_capacity = false;
  count_guard.pool = nullptr;
  connection->reader =
      std::make_unique<MessageReader>(connection->socket, MessageKind::response, limits_.messages);
  release_started(*connection);
  co_return connection;
}

bool Pool::has_reusable() const {
  return std::ranges::any_of(idle_, [this](const IdleEntry& entry) {
    const io::Nanos idle_time = loop_.now() - entry.idle_since;
    return idle_time >= limits_.min_idle_before_reuse && worth_using(idle_time);
  });
}

bool Pool::worth_using(io::Nanos idle_time) const {
  return !limits_.budget || limits_.budget->idle_reuse_.worth_using(idle_time, loop_.now());
}

void Pool::return_connection(std::unique_ptr<Connection> connection) {
  if (connection->preempted) return discard(std::move(connection));
  release_ended(*connection);
  use_ended(connection->priority);
  if (idle_.size() >= limits_.max_idle || connection->reader->has_leftover() ||
      !connection->socket.is_open()) {
    connection.reset();
    closed();
    return;
  }
  connection->reader->shrink();
  idle_.push_back({std::move(connection), loop_.now()});
  available_.notify();
  if (!closing_expired_) {
    closing_expired_ = true;
    expiry_scope_.spawn(close_expired());
  }
}

io::Task<> Pool::close_expired() {
  while (!idle_.empty()) {
    co_await loop_.sleep_until(idle_.front().idle_since + limits_.idle_timeout);
    while (!idle_.empty() && idle_.front().idle_since + limits_.idle_timeout <= loop_.now()) {
      close_oldest_idle();
    }
  }
  closing_expired_ = false;
}

io::Task<ExchangeResult> exchange(std::shared_ptr<Pool> pool, std::string request,
                                  std::function<bool()> still_wanted, Reuse reuse, Priority priority) {
  ExchangeResult result;
  ConnectionLease lease(std::move(pool), reuse, priority);
  result.connected = co_await lease.acquire();
  result.at_capacity = lease.at_capacity();
  if (!result.connected) co_return result;
  if (still_wanted && !still_wanted()) {
    lease.return_to_pool();
    result.error = MessageError::closed;
    co_return result;
  }
  const io::IoResult written = co_await lease->socket.write_all(request);
  result.sent = written.bytes > 0;
  if (!written.ok()) {
    if (result.sent) lease.record_loss();
    result.error = MessageError::closed;
    co_return result;
  }
  result.error = co_await lease->reader->read_head(result.head);
  result.error == MessageError::closed ? lease.record_loss() : lease.record_response();
  if (result.error == MessageError::none) result.error = co_await lease->reader->read_body(result.body);
  if (result.error == MessageError::none && result.head.keep_alive) lease.return_to_pool();
  co_return result;
}

}  // namespace cressrill::http
