// The lease on one request's KV cache: what workers may hold of it, from before the first byte of its first prefill until it
// is proved that nothing is held. KvReleaser owns every lease that may cover something; a request holds only a handle, through
// which it reports what happens to its attempts, and whose end is the end of the request.
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

struct KvLease {
  KvLease(io::Loop& loop, io::Nanos limit, std::string request_id, std::unique_ptr<Exchange> request_talk)
      : id(std::move(request_id)),
        exchange(std::move(request_talk)),
        hold(limit),
        changed(loop),
        settled(loop) {}

  static constexpr std::size_t kNotOwned = static_cast<std::size_t>(-1);

  std::string id;  // of the request
  std::unique_ptr<Exchange> exchange;
  KvHold hold;
  RequestTrace trace;
  std::vector<WorkerRef> prefilled_at;  // told of a release whatever the list says of them
  std::size_t slot{kNotOwned};          // among the releaser's leases
  io::Nanos due_at{kNever};             // when it is looked at next
  io::Nanos over_at{};                  // when the request ended
  io::Nanos asked_at{};                 // when its latest release began
  int releases_confirmed{};
  int calls_open{};    // of the release that goes on: those that a worker may still hear, timed out or not
  bool releasing{};    // a task of the releaser has it
  bool violated{};     // was counted as held too long
  io::Signal changed;  // for that task,
  io::Signal settled;  // and for an attempt that a release comes before
};

class KvReleaser;

// A request's side of its lease. The request's end is reported at the latest when the handle is destroyed.
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

  // The request has its final answer, or its client has left, and no attempt will follow. May be said more than once.
  void request_over();

 private:
  KvReleaser& releaser_;
  std::shared_ptr<KvLease> lease_;
};

}  // namespace cressrill::router
