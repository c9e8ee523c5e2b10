#include <hyssoprock/daemon/log.hpp>

#include <array>
#include <cstddef>
#include <cstdio>
#include <string>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace hyssoprock {

namespace {

constexpr std::array<std::string_view, 10> prefixes{
    "[raft]",   "[failover]", "[route]",    "[limits]", "[session]",
    "[config]", "[member]",   "[endpoint]", "[wire]",   "[main]"};

constexpr std::array<std::string_view, 4> levelNames{"debug", "info", "warning", "error"};

LogLevel parseLevel(std::string_view name)
{
    for (std::size_t i = 0; i < levelNames.size(); ++i) {
        if (levelNames[i] == name) {
            return static_cast<LogLevel>(i);
        }
    }
    return LogLevel::Info;
}

void write(LogLevel level, const std::string &text)
{
    switch (level) {
    case LogLevel::Debug:
        LOG(DEBUG) << text;
        break;
    case LogLevel::Info:
        LOG(INFO) << text;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << text;
        break;
    case LogLevel::Error:
        LOG(ERROR) << text;
        break;
    }
}

/// Writes lines to the standard error stream that is already open. Opening it by name fails if /dev
/// is not accessible to the process.
class StandardErrorSink : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const auto *message = data->logMessage();
        const auto line = message->logger()->logBuilder()->build(message, true);
        std::fwrite(line.data(), 1, line.size(), stderr);
    }
};

} // namespace

std::string_view logPrefix(LogComponent component) noexcept
{
    return prefixes[static_cast<std::size_t>(component)];
}

void configureLog(const LogSettings &settings)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format,
                              "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    if (settings.file.empty()) {
        configuration.setGlobally(el::ConfigurationType::ToFile, "false");
        el::Helpers::installLogDispatchCallback<StandardErrorSink>("standard error");
    } else {
        configuration.setGlobally(el::ConfigurationType::ToFile, "true");
        configuration.setGlobally(el::ConfigurationType::Filename, settings.file);
    }
    const auto levelMin = parseLevel(settings.level);
    constexpr std::array levels{el::Level::Debug, el::Level::Info, el::Level::Warning,
                                el::Level::Error};
    for (std::size_t i = 0; i < levels.size(); ++i) {
        configuration.set(levels[i], el::ConfigurationType::Enabled,
                          i >= static_cast<std::size_t>(levelMin) ? "true" : "false");
    }
    el::Loggers::reconfigureAllLoggers(configuration);
}

void writeLog(LogLevel level, LogComponent component, std::string_view text)
{
    write(level, std::string{logPrefix(component)} + " " + std::string{text});
}

void writeLog(std::string_view text)
{
    write(LogLevel::Info, std::string{text});
}

} // namespace hyssoprock
