#include "client.h"

#include <algorithm>
#include <cerrno>

namespace cressrill::http {

namespace {

// A release that has no answer after so long makes way for another one: it has most likely arrived, or its link is silent.
constexpr io::Nanos kReleaseYieldsAfter = 20 * io::kMs;

}  // namespace

bool ConnectionCount::admits(Priority priority) const {
  return priority == Priority::release || ordinary_in_use_ + for_releases_ < most_;
}

void ConnectionCount::subtract(const ConnectionCount& gone) {
  open_ -= gone.open_;
  ordinary_in_use_ -= gone.ordinary_in_use_;
}

bool ConnectionBudget::make_room(Priority priority, io::Nanos now) {
  if (!count_.full() || end_oldest_kept()) return true;
  return priority == Priority::release && end_oldest_release(now);
}

bool ConnectionBudget::end_oldest_kept() {
  Pool* oldest = nullptr;
  for (Pool* p : pools_)
    if (!p->kept_.empty() && (oldest == nullptr || p->kept_.front().since < oldest->kept_.front().since))
      oldest = p;
  if (oldest == nullptr) return false;
  oldest->drop_oldest_kept();
  return true;
}

// Guards against releases to silent workers that leave no connection to the one in reach.
bool ConnectionBudget::end_oldest_release(io::Nanos now) {
  if (releases_.empty() || now - releases_.front().since < kReleaseYieldsAfter) return false;
  releases_.front().pool->yield(*releases_.front().connection);
  return true;
}

Pool::~Pool() {
  if (!bounds_.budget) return;
  std::erase(bounds_.budget->pools_, this);
  bounds_.budget->count_.subtract(count_);
}

void Pool::opened() {
  count_.opened();
  if (bounds_.budget) bounds_.budget->count_.opened();
}

void Pool::closed() {
  count_.closed();
  if (bounds_.budget) bounds_.budget->count_.closed();
  returned_.notify();
}

void Pool::use_begun(Priority priority) {
  count_.use_started(priority);
  if (bounds_.budget) bounds_.budget->count_.use_started(priority);
}

void Pool::use_ended(Priority priority) {
  count_.use_ended(priority);
  if (bounds_.budget) bounds_.budget->count_.use_ended(priority);
}

void Pool::dropped(Priority priority) {
  use_ended(priority);
  closed();
}

void Pool::discard(std::unique_ptr<Connection> connection) {
  release_ended(*connection);
  const bool yielded = connection->preempted;
  const Priority priority = connection->priority;
  connection.reset();
  if (!yielded) dropped(priority);
}

void Pool::release_begun(Connection& connection) {
  if (!bounds_.budget || connection.priority != Priority::release) return;
  bounds_.budget->releases_.push_back({this, &connection, loop_.now()});
}

void Pool::release_ended(const Connection& connection) {
  if (!bounds_.budget || connection.priority != Priority::release) return;
  std::erase_if(bounds_.budget->releases_, [&](const auto& r) { return r.connection == &connection; });
}

// Whoever waits on it sees it closed, and its room is free at once.
void Pool::yield(Connection& connection) {
  release_ended(connection);
  connection.preempted = true;
  connection.socket.close();
  dropped(connection.priority);
}

void Pool::drop_oldest_kept() {
  kept_.pop_front();
  closed();
}

void Pool::record_use(const Connection& connection, bool answered) {
  if (!bounds_.budget || !connection.reused || connection.preempted) return;
  IdleReuseTracker& reuse = bounds_.budget->idle_reuse_;
  answered ? reuse.record_response(connection.idle_time, loop_.now())
           : reuse.record_loss(connection.idle_time, loop_.now());
}

void Pool::close_idle() {
  while (!kept_.empty()) drop_oldest_kept();
}

io::Task<std::unique_ptr<Connection>> Pool::acquire(bool& crowded, Reuse reuse, Priority priority) {
  const io::Nanos until = loop_.now() + bounds_.dial_timeout;
  for (;;) {
    io::Nanos rested = until;  // when the next of those that rest may be used
    if (count_.admits(priority)) {
      if (reuse == Reuse::allowed && budget_admits(priority))
        if (auto connection = take_kept(priority, rested)) co_return connection;
      if (has_room(priority)) break;
    }
    if (loop_.now() >= until) co_return nullptr;
    co_await io::wait_until(loop_, returned_, rested);
  }
  if (!budget_admits(priority) || (bounds_.budget && !bounds_.budget->make_room(priority, loop_.now()))) {
    crowded = true;
    co_return nullptr;
  }
  co_return co_await dial(until, crowded, priority);
}

// The latest of those that are kept and of use, or none. rested: when the next of those that rest may be used.
std::unique_ptr<Connection> Pool::take_kept(Priority priority, io::Nanos& rested) {
  for (std::size_t i = kept_.size(); i-- > 0;) {
    const io::Nanos stood = loop_.now() - kept_[i].since;
    if (stood < bounds_.min_idle_before_reuse) {
      rested = std::min(rested, kept_[i].since + bounds_.min_idle_before_reuse);
      continue;
    }
    if (!worth_using(stood)) continue;
    auto connection = std::move(kept_[i].connection);
    connection->idle_time = stood;
    kept_.erase(kept_.begin() + static_cast<std::ptrdiff_t>(i));
    // The peer may have closed it meanwhile: seen here, nothing was sent and nothing can have run.
    if (!connection->socket.is_stale()) {
      connection->reused = true;
      connection->priority = priority;
      use_begun(priority);
      release_begun(*connection);
      return connection;
    }
    connection.reset();
    closed();
  }
  return nullptr;
}

// At the bound a release takes the place of a connection that is kept and of no use to it.
bool Pool::has_room(Priority priority) {
  if (count_.full() && priority == Priority::release && !kept_.empty()) drop_oldest_kept();
  return !count_.full();
}

bool Pool::budget_admits(Priority priority) const {
  return !bounds_.budget || bounds_.budget->count_.admits(priority);
}

io::Task<std::unique_ptr<Connection>> Pool::dial(io::Nanos until, bool& crowded, Priority priority) {
  struct Counted {  // a dial that is cancelled counts no more
    Pool* pool;
    Priority priority;
    ~Counted() {
      if (pool != nullptr) pool->dropped(priority);
    }
  };
  opened();
  use_begun(priority);
  ++dialled_;
  Counted counted{this, priority};
  auto connection = std::make_unique<Connection>();
  connection->priority = priority;
  for (;;) {
    const auto moved =
        co_await io::with_deadline(loop_, until, io::connect(loop_, peer_, connection->socket));
    if (moved && moved->ok()) break;
    // What this machine lacks just now is no fault of the peer, and may be there again in time.
    crowded = moved &&
              io::classify_error(io::SystemCall::connect, moved->error) == io::ErrorClass::resource_shortage;
    if (!crowded || loop_.now() + io::kResourceRetryDelay >= until) co_return nullptr;
    co_await loop_.sleep_for(io::kResourceRetryDelay);
  }
  crowded = false;
  counted.pool = nullptr;
  connection->reader = std::make_unique<MessageReader>(connection->socket, MessageKind::response);
  release_begun(*connection);
  co_return connection;
}

bool Pool::has_reusable() const {
  return std::ranges::any_of(kept_, [this](const Kept& kept) {
    const io::Nanos stood = loop_.now() - kept.since;
    return stood >= bounds_.min_idle_before_reuse && worth_using(stood);
  });
}

bool Pool::worth_using(io::Nanos stood) const {
  return !bounds_.budget || bounds_.budget->idle_reuse_.worth_using(stood, loop_.now());
}

void Pool::return_connection(std::unique_ptr<Connection> connection) {
  if (connection->preempted) return discard(std::move(connection));
  release_ended(*connection);
  use_ended(connection->priority);
  if (kept_.size() >= bounds_.max_idle || connection->reader->has_leftover() ||
      !connection->socket.is_open()) {
    connection.reset();
    closed();
    return;
  }
  kept_.push_back({std::move(connection), loop_.now()});
  returned_.notify();
  if (!sweeping_) {
    sweeping_ = true;
    sweeper_.spawn(sweep());
  }
}

io::Task<> Pool::sweep() {
  while (!kept_.empty()) {
    co_await loop_.sleep_until(kept_.front().since + bounds_.idle_timeout);
    while (!kept_.empty() && kept_.front().since + bounds_.idle_timeout <= loop_.now()) {
      drop_oldest_kept();
    }
  }
  sweeping_ = false;
}

io::Task<ExchangeResult> exchange(std::shared_ptr<Pool> pool, std::string text,
                                  std::function<bool()> still_wanted, Reuse reuse, Priority priority) {
  ExchangeResult out;
  ConnectionLease lease(std::move(pool), reuse, priority);
  out.connected = co_await lease.acquire();
  out.at_capacity = lease.at_capacity();
  if (!out.connected) co_return out;
  if (still_wanted && !still_wanted()) {
    lease.return_to_pool();
    out.error = MessageError::closed;
    co_return out;
  }
  const io::IoResult moved = co_await lease->socket.write_all(text);
  out.sent = moved.bytes > 0;
  if (!moved.ok()) {
    if (out.sent) lease.record_loss();
    out.error = MessageError::closed;
    co_return out;
  }
  out.error = co_await lease->reader->read_head(out.head);
  out.error == MessageError::closed ? lease.record_loss() : lease.record_response();
  if (out.error == MessageError::none) out.error = co_await lease->reader->read_body(out.body);
  if (out.error == MessageError::none && out.head.keep_alive) lease.return_to_pool();
  co_return out;
}

}  // namespace cressrill::http
