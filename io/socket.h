// TCP sockets (tcp(7)) on the scheduler. Every descriptor has one owner and closes with it; a wait that is
// cancelled leaves the socket usable. Errors are errno values in results; none is thrown but by make_listener.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "loop.h"

namespace cressrill::io {

// An IPv4 address and port, as "127.0.0.1:8080".
struct Address {
  std::uint32_t ip{};  // host byte order
  std::uint16_t port{};
  std::string to_string() const;
  friend bool operator==(const Address&, const Address&) = default;
};
std::optional<Address> parse_address(std::string_view text);

struct IoResult {
  std::size_t bytes{};  // read: 0 without an error means that the peer has ended
  int error{};          // errno, 0 for none
  bool ok() const { return error == 0; }
};

class Socket {
 public:
  Socket() = default;
  // Takes the descriptor, and closes it where it cannot be registered: throws std::system_error then.
  Socket(Loop& loop, int fd);
  // The same without an exception: an open socket, or errno and the descriptor still the caller's.
  static int adopt(Loop& loop, int fd, Socket& to);
  Socket(Socket&&) noexcept = default;
  Socket& operator=(Socket&&) noexcept;
  ~Socket() { close(); }

  bool is_open() const { return state_ != nullptr; }
  int fd() const { return state_->fd; }
  // Closes at once. With reset, the peer sees a broken connection (RST) instead of an ordered end (FIN).
  void close(bool reset = false);

  Task<IoResult> read_some(std::span<char> to);
  // All of it, or the error; bytes tells how much the kernel took. Several texts go in as few calls as can be
  // (sendmsg(2)); they stay the caller's until it is done.
  Task<IoResult> write_all(std::string_view from);
  Task<IoResult> write_all(std::span<const std::string_view> parts);
  // From now on a write of which the peer takes nothing for so long ends with ETIMEDOUT. 0, as at first: no such bound.
  void set_write_stall_timeout(Nanos span);
  // Waits until the peer ends or breaks the connection; what it sends meanwhile is left unread.
  Task<> wait_for_peer_close();
  // Whether it has, as far as the kernel has told.
  bool peer_closed() const;
  // The read that waits, or else the next one, ends with ECANCELED; the socket stays as it is.
  void cancel_read();
  // Whether the peer has closed or sent something unasked: such a kept connection is of no use.
  bool is_stale() const;
  // Whether bytes have come that nobody has read. Closing now would reset the connection.
  bool has_unread_data() const;
  // When the scheduler last heard that something came.
  Nanos last_readable_at() const { return state_ ? state_->readiness.last_readable_at : 0; }
  // When the last bytes came, as far as the kernel tells: before the scheduler heard of them, where the process was held up
  // or the connection stood in its listener's queue.
  Nanos last_received_at() const;

 private:
  friend Task<IoResult> connect(Loop&, Address, Socket&);
  friend class Listener;
  enum class Side { read, write };
  struct ReadyWait;
  struct State {
    Loop& loop;
    int fd;
    Readiness readiness;
    Nanos write_stall{};
    bool looked{};       // since its last read, it was looked whether more is there without word of it
    bool looking{};      // the next read is that look
    bool short_reads{};  // reads of this socket end short though more is there
  };
  Task<> wait_readable();
  Task<bool> wait_writable();
  // Whether the call that failed is to be made again: waits first as long as that takes.
  Task<bool> should_retry(SystemCall call, int error);
  // Bytes that were written and that the peer has not acknowledged, or 0 where the kernel does not tell.
  int unacknowledged_bytes() const;
  // Looks at the first unread byte and leaves it: recv(2)'s answer.
  ssize_t peek() const;
  std::unique_ptr<State> state_;
};

// bytes is 0; error is ECONNREFUSED, ETIMEDOUT and the like.
Task<IoResult> connect(Loop& loop, Address address, Socket& to);

class Listener {
 public:
  // Port 0 takes a free port; address() tells which. Throws std::system_error when the address is taken.
  Listener(Loop& loop, Address address, int backlog = 1024);
  ~Listener() { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  const Address& address() const { return address_; }
  // The next connection. None once the listener is closed.
  Task<Socket> accept();
  // The next of those that wait in the queue; none once the queue is empty. Lacks of this machine are waited out.
  Task<Socket> accept_queued();
  void close();
  bool is_open() const { return socket_.is_open(); }
  void set_backlog(int n);

  // One that waits in the queue, or errno.
  int try_accept(Socket& to);

 private:
  Task<> back_off(int error, int& failures);

  Loop& loop_;
  Socket socket_;
  Address address_;
  int unregistered_{-1};  // taken from the queue, and could not be registered yet
};

}  // namespace cressrill::io
