// A fault plan in a file, for processes into which the fault shim is loaded.
#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <system_error>
#include <utility>

#include "fault_plan.h"

namespace cressrill::rig {

// A fault plan in a file that a router process maps too, so that it can be changed while the router runs.
class SharedFaultPlan {
 public:
  // Throws std::system_error if the file cannot be created or mapped.
  explicit SharedFaultPlan(std::string path) : path_(std::move(path)) {
    const int fd = ::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (fd < 0 || ::ftruncate(fd, sizeof(FaultPlan)) != 0)
      throw std::system_error(errno, std::generic_category(), path_);
    void* memory = ::mmap(nullptr, sizeof(FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    ::close(fd);
    if (memory == MAP_FAILED) throw std::system_error(errno, std::generic_category(), path_);
    plan_ = static_cast<FaultPlan*>(memory);
  }
  ~SharedFaultPlan() { ::munmap(plan_, sizeof(FaultPlan)); }
  SharedFaultPlan(const SharedFaultPlan&) = delete;
  SharedFaultPlan& operator=(const SharedFaultPlan&) = delete;
  FaultPlan* operator->() { return plan_; }
  const std::string& path() const { return path_; }
  std::uint64_t injected() const {
    std::uint64_t total = 0;
    for (const CallFault& fault : plan_->calls) total += fault.injected;
    return total;
  }

 private:
  std::string path_;
  FaultPlan* plan_{};
};

}  // namespace cressrill::rig
