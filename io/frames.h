// Allocator for coroutine frames: freed blocks go to per-thread free lists by size, so that in a steady state
// awaiting a call allocates nothing from the heap. A frame has to be freed on the thread that allocated it.
// Under AddressSanitizer the heap is used directly, so that a use of a freed frame is detected.
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
    if (size > kLargestBytes) return ::operator new(size);
    SizeClass& size_class = local().classes_[class_index(size)];
    if (size_class.free == nullptr) return ::operator new((class_index(size) + 1) * kClassStepBytes);
    --size_class.free_count;
    Block* block = size_class.free;
    size_class.free = block->next;
    return block;
#endif
  }
  static void deallocate(void* memory, std::size_t size) noexcept {
#ifdef __SANITIZE_ADDRESS__
    ::operator delete(memory, size);
#else
    if (size > kLargestBytes) return ::operator delete(memory);
    SizeClass& size_class = local().classes_[class_index(size)];
    if (size_class.free_count == kMaxFreeBlocks) return ::operator delete(memory);
    ++size_class.free_count;
    size_class.free = new (memory) Block{size_class.free};
#endif
  }
  ~FrameAllocator() {
    for (SizeClass& size_class : classes_)
      while (size_class.free != nullptr) {
        Block* next = size_class.free->next;
        ::operator delete(static_cast<void*>(size_class.free));
        size_class.free = next;
      }
  }

 private:
  static constexpr std::size_t kClassStepBytes = 64;
  static constexpr std::size_t kLargestBytes = 2048;
  static constexpr std::size_t kMaxFreeBlocks = 4096;  // in each size class
  struct Block {
    Block* next;
  };
  struct SizeClass {
    Block* free{};
    std::size_t free_count{};
  };
  static std::size_t class_index(std::size_t size) { return (size - 1) / kClassStepBytes; }
  static FrameAllocator& local() {
    static thread_local FrameAllocator allocator;
    return allocator;
  }
  std::array<SizeClass, kLargestBytes / kClassStepBytes> classes_{};
};

// Base of promise types whose coroutine frames come from FrameAllocator.
struct FrameAllocated {
  static void* operator new(std::size_t size) { return FrameAllocator::allocate(size); }
  static void operator delete(void* memory, std::size_t size) noexcept {
    FrameAllocator::deallocate(memory, size);
  }
};

}  // namespace cressrill::io
