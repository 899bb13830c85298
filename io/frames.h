// Memory for coroutine frames: blocks of a few sizes that are used again, so that an awaited call in a steady state
// asks the heap for nothing. Each thread has its own; a block goes back on the thread that took it. Under the
// address sanitizer the heap itself is used, so that a frame used after its end is seen.
#pragma once

#include <array>
#include <cstddef>
#include <new>

namespace cressrill::io {

class FrameAllocator {
 public:
  static void* allocate(std::size_t size) {
#ifdef __SANITIZE_ADDRESS__
    return ::operator new(size);
#else
    if (size > kLargest) return ::operator new(size);
    Class& c = mine().classes_[at(size)];
    if (c.free == nullptr) return ::operator new((at(size) + 1) * kStep);
    --c.kept;
    Block* block = c.free;
    c.free = block->next;
    return block;
#endif
  }
  static void deallocate(void* memory, std::size_t size) noexcept {
#ifdef __SANITIZE_ADDRESS__
    ::operator delete(memory, size);
#else
    if (size > kLargest) return ::operator delete(memory);
    Class& c = mine().classes_[at(size)];
    if (c.kept == kMost) return ::operator delete(memory);
    ++c.kept;
    c.free = new (memory) Block{c.free};
#endif
  }
  ~FrameAllocator() {
    for (Class& c : classes_)
      while (c.free != nullptr) {
        Block* next = c.free->next;
        ::operator delete(static_cast<void*>(c.free));
        c.free = next;
      }
  }

 private:
  static constexpr std::size_t kStep = 64;
  static constexpr std::size_t kLargest = 2048;
  static constexpr std::size_t kMost = 4096;  // blocks of a size that are kept
  struct Block {
    Block* next;
  };
  struct Class {
    Block* free{};
    std::size_t kept{};
  };
  static std::size_t at(std::size_t size) { return (size - 1) / kStep; }
  static FrameAllocator& mine() {
    static thread_local FrameAllocator frames;
    return frames;
  }
  std::array<Class, kLargest / kStep> classes_{};
};

// For promise types: their frames come from Frames.
struct FrameAllocated {
  static void* operator new(std::size_t size) { return FrameAllocator::allocate(size); }
  static void operator delete(void* memory, std::size_t size) noexcept {
    FrameAllocator::deallocate(memory, size);
  }
};

}  // namespace cressrill::io
