#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

#include "Standalone/worker_server.h"

DEFINE_string(name, "worker", "name in the header x-worker of each answer");

namespace hyssopbarrow {
namespace {

/// Serves one fake worker on a free port and prints its address.
int Main() {
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  WorkerServer server(loop, FLAGS_name);
  if (absl::Status s = server.Listen({"127.0.0.1", 0}); !s.ok()) {
    std::cerr << s.message() << "\n";
    return 1;
  }
  std::cout << ToString(server.BoundAddress()) << std::endl;
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace hyssopbarrow

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hyssopbarrow::Main();
}
