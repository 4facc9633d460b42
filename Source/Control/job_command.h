#ifndef HYSSOPBARROW_CONTROL_JOB_COMMAND_H_
#define HYSSOPBARROW_CONTROL_JOB_COMMAND_H_

#include <string>
#include <vector>

#include "Control/context.h"

namespace hyssopbarrow {

/// `submit QUEUE [FIELD=VALUE...]`: prints the job's id once it is stored.
ExitCode SubmitJob(const CommandContext& context,
                   const std::vector<std::string>& arguments);

/// `status QUEUE JOB`.
ExitCode ShowJob(const CommandContext& context,
                 const std::vector<std::string>& arguments);

/// `wait QUEUE JOB`: kOk if the job completes, kFailed if it ends otherwise.
ExitCode WaitForJob(const CommandContext& context,
                    const std::vector<std::string>& arguments);

/// `cancel QUEUE JOB`.
ExitCode CancelJob(const CommandContext& context,
                   const std::vector<std::string>& arguments);

/// `fleet KIND`.
ExitCode ShowFleet(const CommandContext& context,
                   const std::vector<std::string>& arguments);

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_CONTROL_JOB_COMMAND_H_
