#include "Daemon/logging.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <map>
#include <nlohmann/json.hpp>

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

LogFormat g_format = LogFormat::kText;

log4cxx::LoggerPtr RootLogger() { return log4cxx::Logger::getRootLogger(); }

log4cxx::LevelPtr ToLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

std::string FormatText(std::string_view event,
                       std::initializer_list<LogField> fields) {
  std::string line(event);
  for (const LogField& field : fields) {
    StrAppend(line, " ", field.first, "=", field.second);
  }
  return line;
}

std::string FormatJson(LogLevel level, std::string_view event,
                       std::initializer_list<LogField> fields) {
  nlohmann::json line = {{"event", event},
                         {"level", ToLevel(level)->toString()}};
  for (const LogField& field : fields) {
    line[std::string(field.first)] = field.second;
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

void ConfigureLogging(const std::string& level, LogFormat format) {
  g_format = format;
  const char* pattern =
      format == LogFormat::kJson ? "%m%n" : "%d{ISO8601} %p %m%n";
  auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  RootLogger()->removeAllAppenders();
  RootLogger()->addAppender(appender);
  SetLogLevel(level);
}

bool SetLogLevel(const std::string& level) {
  static const std::map<std::string, LogLevel> kLevels = {
      {"debug", LogLevel::kDebug},
      {"info", LogLevel::kInfo},
      {"warn", LogLevel::kWarn},
      {"error", LogLevel::kError}};
  auto it = kLevels.find(level);
  if (it == kLevels.end()) return false;
  RootLogger()->setLevel(ToLevel(it->second));
  return true;
}

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  if (!RootLogger()->isEnabledFor(ToLevel(level))) return;
  const std::string line = g_format == LogFormat::kJson
                               ? FormatJson(level, event, fields)
                               : FormatText(event, fields);
  RootLogger()->forcedLog(ToLevel(level), line);
}

}  // namespace hyssopbarrow
