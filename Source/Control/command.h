#ifndef HYSSOPBARROW_CONTROL_COMMAND_H_
#define HYSSOPBARROW_CONTROL_COMMAND_H_

#include <string>
#include <vector>

#include "Control/context.h"

namespace hyssopbarrow {

/// Text of `--help`: commands and exit codes.
std::string UsageText();

/// Runs one command, for example {"set", "team", "namche", "weight=3"}.
///
/// `set`, `withdraw` and `move` read the row, change it and write it back only
/// if its revision is still the same. `grant` only creates a new row.
ExitCode RunCommand(const CommandContext& context,
                    const std::vector<std::string>& arguments);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_CONTROL_COMMAND_H_
