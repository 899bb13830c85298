// The lease on one request's KV cache is created when the request arrives. From just before the first byte of
// the first prefill is written, it tracks what workers may hold, until it is proved that nothing is held any
// more. KvReleaser owns every lease that may cover KV cache. A request has only a handle, through which it
// reports the events of its attempts; destroying the handle reports that no further event will follow.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "kv_hold.h"
#include "protocol.h"
#include "request_trace.h"

namespace cressrill::router {

// The lease and the state of its releases. Created by KvReleaser::open_lease().
struct KvLease {
  KvLease(io::Loop& loop, io::Nanos limit, std::string request_id, std::unique_ptr<Exchange> request_exchange)
      : id(std::move(request_id)),
        exchange(std::move(request_exchange)),
        hold(limit),
        changed(loop),
        prefill_unblocked(loop) {}

  static constexpr std::size_t kNotRegistered = static_cast<std::size_t>(-1);

  std::string id;  // the request's id
  std::unique_ptr<Exchange> exchange;
  KvHold hold;
  RequestTrace trace;
  std::vector<WorkerRef> prefilled_at;  // workers that a prefill was written to; releases go to them even if
                                        // they are no longer listed as running
  std::size_t index{kNotRegistered};    // position among the releaser's registered leases
  io::Nanos check_at{kNever};           // when the next check is scheduled
  io::Nanos request_over_at{};
  io::Nanos release_started_at{};  // when the latest release started
  int releases_confirmed{};        // number of releases that a worker has confirmed
  int open_calls{};  // calls of the current release that may still reach a worker, even after their timeout
  bool release_running{};  // a release task of the releaser works on this lease
  bool limit_violation_counted{};
  io::Signal changed;            // wakes the release task
  io::Signal prefill_unblocked;  // wakes a prefill that waits until a release is confirmed
};

class KvReleaser;

// A request's side of its lease. Reports the end of the request no later than its own destruction.
class KvLeaseHandle {
 public:
  KvLeaseHandle(KvReleaser& releaser, std::shared_ptr<KvLease> lease)
      : releaser_(releaser), lease_(std::move(lease)) {}
  ~KvLeaseHandle();
  KvLeaseHandle(const KvLeaseHandle&) = delete;
  KvLeaseHandle& operator=(const KvLeaseHandle&) = delete;

  KvLease& operator*() const { return *lease_; }
  KvLease* operator->() const { return lease_.get(); }
  const std::shared_ptr<KvLease>& shared() const { return lease_; }

  // The request has its final response, or its client has left, and no further attempt will follow. May be
  // called repeatedly.
  void request_over();

 private:
  KvReleaser& releaser_;
  std::shared_ptr<KvLease> lease_;
};

}  // namespace cressrill::router
