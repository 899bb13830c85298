// Interposes functions of the C library and injects the faults of the fault plan: errors that Linux
// documents, short transfers, and a stepped wall clock. It is linked into a test program, or loaded into any
// program as a shared library with LD_PRELOAD.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>

#include "fault_plan.h"

using cressrill::rig::CallFault;
using cressrill::rig::FaultPlan;
using cressrill::rig::FaultyCall;

namespace {

template <class Function>
Function real_function(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

FaultPlan* map_plan() {
  static FaultPlan private_plan;
  const char* path = std::getenv(cressrill::rig::kFaultPlanVariable);
  if (path == nullptr) return &private_plan;
  const int descriptor = ::open(path, O_RDWR | O_CLOEXEC);
  if (descriptor < 0) return &private_plan;
  void* memory = mmap(nullptr, sizeof(FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
  ::close(descriptor);
  return memory == MAP_FAILED ? &private_plan : static_cast<FaultPlan*>(memory);
}

// Whether this call has to fail; if so, sets errno.
bool inject_failure(FaultyCall call) {
  CallFault& fault = cressrill_fault_plan()->of(call);
  const int error = fault.error;
  if (error == 0) return false;
  const std::uint32_t one_in = std::max<std::uint32_t>(1, fault.one_in);
  if (++fault.calls % one_in != 0) return false;
  if (++fault.injected == fault.max_injected) fault.error = 0;
  errno = error;
  return true;
}

// How many of these bytes the call may transfer.
std::size_t transfer_limit(FaultyCall call, std::size_t bytes) {
  CallFault& fault = cressrill_fault_plan()->of(call);
  const std::uint32_t max_bytes = fault.max_bytes;
  if (max_bytes == 0 || bytes <= max_bytes) return bytes;
  ++fault.injected;
  return max_bytes;
}

}  // namespace

extern "C" {

FaultPlan* cressrill_fault_plan() {
  static FaultPlan* const plan = map_plan();
  return plan;
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  static const auto real = real_function<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  return inject_failure(FaultyCall::accept) ? -1 : real(descriptor, address, size, flags);
}

int connect(int descriptor, const sockaddr* address, socklen_t size) {
  static const auto real = real_function<int (*)(int, const sockaddr*, socklen_t)>("connect");
  // An interrupted connect() continues in the background, so the real call is made too: see connect(2).
  if (!inject_failure(FaultyCall::connect)) return real(descriptor, address, size);
  if (errno != EINTR) return -1;
  real(descriptor, address, size);
  errno = EINTR;
  return -1;
}

int socket(int domain, int type, int protocol) noexcept {
  static const auto real = real_function<int (*)(int, int, int)>("socket");
  return inject_failure(FaultyCall::socket) ? -1 : real(domain, type, protocol);
}

ssize_t recv(int descriptor, void* to, std::size_t bytes, int flags) {
  static const auto real = real_function<ssize_t (*)(int, void*, std::size_t, int)>("recv");
  return inject_failure(FaultyCall::receive)
             ? -1
             : real(descriptor, to, transfer_limit(FaultyCall::receive, bytes), flags);
}

ssize_t send(int descriptor, const void* from, std::size_t bytes, int flags) {
  static const auto real = real_function<ssize_t (*)(int, const void*, std::size_t, int)>("send");
  return inject_failure(FaultyCall::send)
             ? -1
             : real(descriptor, from, transfer_limit(FaultyCall::send, bytes), flags);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static const auto real = real_function<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  if (inject_failure(FaultyCall::send)) return -1;
  // Only the first buffer is limited: if it is longer than the limit, its beginning is sent alone.
  const std::size_t first_bytes = message->msg_iovlen > 0 ? message->msg_iov[0].iov_len : 0;
  const std::size_t max_bytes = transfer_limit(FaultyCall::send, first_bytes);
  if (max_bytes == first_bytes) return real(descriptor, message, flags);
  iovec beginning{message->msg_iov[0].iov_base, max_bytes};
  msghdr shortened = *message;
  shortened.msg_iov = &beginning;
  shortened.msg_iovlen = 1;
  return real(descriptor, &shortened, flags);
}

int epoll_ctl(int epoll, int operation, int descriptor, epoll_event* event) noexcept {
  static const auto real = real_function<int (*)(int, int, int, epoll_event*)>("epoll_ctl");
  if (operation == EPOLL_CTL_ADD && inject_failure(FaultyCall::epoll_add)) return -1;
  return real(epoll, operation, descriptor, event);
}

int epoll_wait(int epoll, epoll_event* events, int max_events, int timeout) {
  static const auto real = real_function<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  return inject_failure(FaultyCall::epoll_wait) ? -1 : real(epoll, events, max_events, timeout);
}

int getsockopt(int descriptor, int level, int option, void* value, socklen_t* size) noexcept {
  static const auto real = real_function<int (*)(int, int, int, void*, socklen_t*)>("getsockopt");
  return inject_failure(FaultyCall::get_option) ? -1 : real(descriptor, level, option, value, size);
}

int shutdown(int descriptor, int how) noexcept {
  static const auto real = real_function<int (*)(int, int)>("shutdown");
  return inject_failure(FaultyCall::shutdown) ? -1 : real(descriptor, how);
}

ssize_t write(int descriptor, const void* from, std::size_t bytes) {
  static const auto real = real_function<ssize_t (*)(int, const void*, std::size_t)>("write");
  return inject_failure(FaultyCall::write) ? -1
                                           : real(descriptor, from, transfer_limit(FaultyCall::write, bytes));
}

ssize_t read(int descriptor, void* to, std::size_t bytes) {
  static const auto real = real_function<ssize_t (*)(int, void*, std::size_t)>("read");
  return inject_failure(FaultyCall::read) ? -1
                                          : real(descriptor, to, transfer_limit(FaultyCall::read, bytes));
}

int clock_gettime(clockid_t clock, timespec* to) noexcept {
  static const auto real = real_function<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, to);
  if (result != 0 || clock != CLOCK_REALTIME) return result;
  constexpr std::int64_t kSecond = 1'000'000'000;
  const std::int64_t now = to->tv_sec * kSecond + to->tv_nsec + cressrill_fault_plan()->wall_clock_offset;
  to->tv_sec = now / kSecond;
  to->tv_nsec = now % kSecond;
  return result;
}

}  // extern "C"
