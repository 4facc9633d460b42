#ifndef HYSSOPBARROW_DAEMON_LOGGING_H_
#define HYSSOPBARROW_DAEMON_LOGGING_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "Daemon/settings.h"

namespace hyssopbarrow {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// Name and value of a field of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Sets the level and format of the log, which goes to standard error.
void ConfigureLogging(const std::string& level, LogFormat format);

/// Changes the level. Returns false if `level` is not debug, info, warn or
/// error.
bool SetLogLevel(const std::string& level);

/// Writes a line with an event and its fields. Fields must not hold secrets.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_DAEMON_LOGGING_H_
