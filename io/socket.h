// TCP sockets (tcp(7)) on an event loop. A Socket or Listener owns its descriptor and closes it when
// destroyed. A cancelled wait leaves the socket usable. Errors are returned as errno values; only
// constructors throw.
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

// An IPv4 address and port; the text form is "127.0.0.1:8080".
struct Address {
  std::uint32_t ip{};  // host byte order
  std::uint16_t port{};
  std::string to_string() const;
  friend bool operator==(const Address&, const Address&) = default;
};
// Returns nothing if the text is not exactly an address and a port.
std::optional<Address> parse_address(std::string_view text);

// Result of a read or a write.
struct IoResult {
  std::size_t bytes{};  // read or written; a read of 0 bytes without an error is the end of the stream
  int error{};          // errno, 0 for none
  bool ok() const { return error == 0; }
};

// A connected, non-blocking TCP socket, or none (see is_open()). At most one coroutine may read or wait for
// the peer's close at a time, and at most one may write.
class Socket {
 public:
  Socket() = default;
  // Takes ownership of the descriptor. If it cannot be registered, closes it and throws std::system_error.
  Socket(Loop& loop, int fd);
  // The same without an exception: returns 0 and an open socket, or errno; the caller then still owns the
  // descriptor.
  static int adopt(Loop& loop, int fd, Socket& out);
  Socket(Socket&&) noexcept = default;
  Socket& operator=(Socket&&) noexcept;
  ~Socket() { close(); }

  bool is_open() const { return state_ != nullptr; }
  int fd() const { return state_->fd; }
  // Closes at once; a pending read or write fails with EBADF. With reset, the peer gets an RST instead of a
  // FIN.
  void close(bool reset = false);

  // Reads what has been received. Suspends until data, the end of the stream or an error is available, and
  // for a turn of the loop after some reads, however fast the peer sends.
  Task<IoResult> read_some(std::span<char> buffer);
  // Writes everything, or returns an error and the number of bytes that the kernel accepted. Several parts
  // are written with few system calls (sendmsg(2)). The data has to stay valid until the task has finished.
  Task<IoResult> write_all(std::string_view data);
  Task<IoResult> write_all(std::span<const std::string_view> parts);
  // A write fails with ETIMEDOUT once the peer has accepted no byte for this long. 0 (the default): no limit.
  void set_write_stall_timeout(Nanos timeout);
  // Waits until the peer closes or breaks the connection. Data that it sends meanwhile stays unread.
  Task<> wait_for_peer_close();
  // The same, but returns false once max_unread bytes or more are unread: the receive buffer may then have no
  // room for the end of the stream.
  Task<bool> wait_for_peer_close_or_unread(std::size_t max_unread);
  // Whether the peer has closed or broken the connection, as of the last epoll event.
  bool peer_closed() const;
  // The pending read, or else the next one, returns ECANCELED. The socket stays open and usable.
  void cancel_read();
  // For an idle connection: whether the peer has closed it or has sent unsolicited data, so that it cannot be
  // reused.
  bool is_stale() const;
  // Whether received data has not been read. Closing the socket now would reset the connection.
  bool has_unread_data() const;
  // When epoll last reported the socket readable.
  Nanos last_readable_at() const { return state_ ? state_->descriptor.last_readable_at : 0; }
  // When the kernel received the last data (TCP_INFO), never after last_readable_at(). It is earlier if the
  // process was delayed or the connection waited in the listener's accept queue.
  Nanos last_received_at() const;

 private:
  friend Task<IoResult> connect(Loop&, Address, Socket&);
  friend class Listener;
  enum class Side { read, write };
  struct ReadyWait;
  struct State {
    Loop& loop;
    int fd;
    DescriptorState descriptor;
    Nanos write_stall_timeout{};
    bool probed{};       // a probe read was made since the last read that returned data
    bool probing{};      // the next read is the probe read
    bool short_reads{};  // a probe read has found data: the receive buffer may hold data after a short read
    std::uint64_t read_poll{};  // Loop::poll_count() at the last read
    int reads_since_poll{};     // made since that poll
  };
  Task<> wait_readable();
  // Whether the socket has been read as often as is allowed between two polls of the loop.
  bool read_turn_is_over() const;
  void count_read();
  Task<bool> wait_writable();
  // Whether to retry a failed call. Suspends first for the retry delay, if the error asks for one.
  Task<bool> should_retry(SystemCall call, int error);
  // Bytes received that have not been read (SIOCINQ), or 0 if that is not known.
  std::size_t unread_bytes() const;
  // Bytes written that the peer has not acknowledged (SIOCOUTQ), or 0 if that is not known.
  int unacknowledged_bytes() const;
  // Result of recv(2) with MSG_PEEK for one byte.
  ssize_t peek() const;
  std::unique_ptr<State> state_;
};

// Connects a new socket and moves it to out. Returns 0 bytes and the error, if any (ECONNREFUSED, ETIMEDOUT,
// ...). Sets no deadline of its own.
Task<IoResult> connect(Loop& loop, Address address, Socket& out);

// A listening TCP socket. At most one coroutine may accept at a time.
class Listener {
 public:
  // Port 0 selects a free port; address() returns it. Throws std::system_error if the address cannot be
  // bound.
  Listener(Loop& loop, Address address, int backlog = 1024);
  ~Listener() { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  const Address& address() const { return address_; }
  // Waits for the next connection. Returns a closed socket once the listener is closed.
  Task<Socket> accept();
  // Returns the next connection in the accept queue, or a closed socket once the queue is empty. Retries
  // after a delay while this machine is short of a resource.
  Task<Socket> accept_queued();
  void close();
  bool is_open() const { return socket_.is_open(); }
  // Changes the maximum length of the accept queue.
  void set_backlog(int backlog);

  // Takes the next connection of the accept queue without waiting. Returns 0 or errno; EAGAIN if the queue is
  // empty.
  int try_accept(Socket& out);

 private:
  // Waits after a failed accept, if that is needed.
  Task<> back_off(int error, int& failures);

  Loop& loop_;
  Socket socket_;
  Address address_;
  int unregistered_{-1};  // accepted descriptor that could not be registered yet, or -1
};

}  // namespace cressrill::io
