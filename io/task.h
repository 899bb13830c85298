// A lazy coroutine, owned by its Task object: it starts when it is awaited. Destroying a Task that has not
// finished cancels it: its frame and locals are destroyed, and each pending wait removes itself from the
// event loop's lists.
#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

#include "frames.h"

namespace cressrill::io {

template <class T>
class Task;

namespace detail {

struct PromiseBase : FrameAllocated {
  std::coroutine_handle<> caller;
  std::exception_ptr thrown;

  // Resumes the coroutine that awaited this one.
  struct FinalAwaiter {
    bool await_ready() noexcept { return false; }
    template <class PromiseType>
    std::coroutine_handle<> await_suspend(std::coroutine_handle<PromiseType> finished) noexcept {
      return finished.promise().caller ? finished.promise().caller : std::noop_coroutine();
    }
    void await_resume() noexcept {}
  };
  std::suspend_always initial_suspend() noexcept { return {}; }
  FinalAwaiter final_suspend() noexcept { return {}; }
  void unhandled_exception() noexcept { thrown = std::current_exception(); }
};

template <class T>
struct Promise : PromiseBase {
  std::optional<T> value;
  Task<T> get_return_object();
  template <class U>
  void return_value(U&& v) {
    value.emplace(std::forward<U>(v));
  }
  T take_value() { return std::move(*value); }
};

template <>
struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() noexcept {}
  void take_value() {}
};

}  // namespace detail

template <class T = void>
class [[nodiscard]] Task {
 public:
  using promise_type = detail::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  Task() = default;
  explicit Task(Handle handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  Task& operator=(Task&& other) noexcept {
    if (this != &other) {
      destroy();
      handle_ = std::exchange(other.handle_, {});
    }
    return *this;
  }
  ~Task() { destroy(); }

  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> caller) noexcept {
    handle_.promise().caller = caller;
    return handle_;
  }
  T await_resume() {
    if (handle_.promise().thrown) std::rethrow_exception(handle_.promise().thrown);
    return handle_.promise().take_value();
  }

 private:
  void destroy() {
    if (handle_) std::exchange(handle_, {}).destroy();
  }
  Handle handle_;
};

namespace detail {
template <class T>
Task<T> Promise<T>::get_return_object() {
  return Task<T>(std::coroutine_handle<Promise<T>>::from_promise(*this));
}
inline Task<void> Promise<void>::get_return_object() {
  return Task<void>(std::coroutine_handle<Promise<void>>::from_promise(*this));
}
}  // namespace detail

}  // namespace cressrill::io
