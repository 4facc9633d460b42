#ifndef HYSSOPBARROW_CONTROL_COMMAND_H_
#define HYSSOPBARROW_CONTROL_COMMAND_H_

#include <string>
#include <vector>

#include "Control/context.h"

namespace hyssopbarrow {

/// Text of `--help`: all commands and exit codes.
std::string UsageText();

/// Runs one command, for example {"set", "team", "namche", "weight=3"}.
///
/// `set`, `grant`, `withdraw` and `move` read the row, change it and write it
/// back only if nobody else changed it in between.
ExitCode RunCommand(const CommandContext& context,
                    const std::vector<std::string>& arguments);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_CONTROL_COMMAND_H_
