#ifndef HYSSOPBARROW_CONTROL_JOB_COMMAND_H_
#define HYSSOPBARROW_CONTROL_JOB_COMMAND_H_

#include <string>
#include <vector>

#include "Control/context.h"

namespace hyssopbarrow {

/// `submit QUEUE [FIELD=VALUE...]`: prints the job's id when it is stored.
ExitCode SubmitJob(const CommandContext& context,
                   const std::vector<std::string>& arguments);

/// `status QUEUE JOB`: prints the job's state.
ExitCode ShowJob(const CommandContext& context,
                 const std::vector<std::string>& arguments);

/// `wait QUEUE JOB`: kOk if the job completes, kFailed if it ends in another
/// state or is still active at the timeout.
ExitCode WaitForJob(const CommandContext& context,
                    const std::vector<std::string>& arguments);

/// `cancel QUEUE JOB`: prints the job's state after the request.
ExitCode CancelJob(const CommandContext& context,
                   const std::vector<std::string>& arguments);

/// `fleet KIND`: prints the rows that the fleet's owner reports.
ExitCode ShowFleet(const CommandContext& context,
                   const std::vector<std::string>& arguments);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_CONTROL_JOB_COMMAND_H_
