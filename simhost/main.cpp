// Runs routing policies for the simulator: reads batches from standard input and writes replies to standard
// output.
#include <exception>
#include <iostream>

#include "host.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    cressrill::simhost::BatchHandler handler;
    cressrill::simhost::Reply reply;
    std::vector<unsigned char> frame;
    while (cressrill::simhost::read_frame(std::cin, frame)) {
      const std::uint32_t batch = handler.handle(frame, reply);
      reply.write(std::cout, batch);
    }
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "cressrill_simhost: " << error.what() << '\n';
    return 1;
  }
}
