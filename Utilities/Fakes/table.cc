#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

#include "Standalone/table_server.h"

namespace hyssopbarrow {
namespace {

/// Serves an empty table on a free port and prints its address.
int Main() {
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  Table table;
  TableServer server(loop, table);
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
