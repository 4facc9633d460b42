#ifndef HYSSOPBARROW_CONTROL_COMPLETION_H_
#define HYSSOPBARROW_CONTROL_COMPLETION_H_

#include <string_view>

namespace hyssopbarrow {

/// Bash script that completes commands, kinds and names.
std::string_view BashCompletion();

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_CONTROL_COMPLETION_H_
