#include <algorithm>
#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/settings/loader.hpp>

using namespace hyssoprock;

namespace {

const std::string entryText = R"([host]
name = "entry-1"
data_centre = "lulea-a"
role = "entry"
[listen]
callers = "127.0.0.1:6000"
ready = "127.0.0.1:6001"
internal = "127.0.0.1:6002"
[seeds]
control_hosts = ["127.0.0.2:7000", "127.0.0.3:7000"]
[raft]
heartbeat_ms = 50
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    cr_assert(at != std::string::npos, "the test text holds %s", from.c_str());
    return text.replace(at, from.size(), to);
}

bool hasErrorFor(const LoadedPooledSettings &loaded, const std::string &key)
{
    return std::any_of(loaded.errors.begin(), loaded.errors.end(),
                       [&](const SettingsError &error) { return error.key == key; });
}

} // namespace

// Guards against a key that is bound to the wrong member, and against lost defaults.
Test(pooledSettings, readsValuesAndDefaults)
{
    const auto loaded = parsePooledSettings(entryText);
    cr_assert(loaded.errors.empty(), "%s", loaded.errors.front().text.c_str());
    const auto &settings = loaded.settings;
    cr_assert(settings.host.role == "entry");
    cr_assert(settings.listen.internal == "127.0.0.1:6002");
    cr_assert(settings.seeds.controlHosts.size() == 2);
    cr_assert(settings.raft.heartbeat == std::chrono::milliseconds{50});
    cr_assert(settings.deployment.failuresTolerated == 1);
    cr_assert(settings.deployment.grace == std::chrono::milliseconds{10000});
    cr_assert(!settings.host.bootstrap);
    cr_assert(settings.log.level == "info");
}

// Guards against accepting a misspelt key, or a host without a required address or folder.
Test(pooledSettings, namesTheKeyOfEachError)
{
    struct Case
    {
        std::string from;
        std::string to;
        std::string key;
    };
    const Case cases[] = {
        {"ready =", "raedy =", "listen.raedy"},
        {"[raft]", "[lease]", "lease"},
        {"role = \"entry\"", "role = \"proxy\"", "host.role"},
        {"role = \"entry\"", "role = \"control\"", "host.data_folder"},
        {"role = \"entry\"", "role = \"control\"", "listen.control"},
        {"callers = \"127.0.0.1:6000\"", "", "listen.callers"},
        {"internal = \"127.0.0.1:6002\"", "internal = \"127.0.0.1:0\"", "listen.internal"},
        {"internal = \"127.0.0.1:6002\"", "", "listen.internal"},
        {"127.0.0.2:7000", "control-2:7000", "seeds.control_hosts"},
        {"heartbeat_ms = 50", "heartbeat_ms = 5000", "raft.election_timeout_min_ms"},
    };
    for (const auto &one : cases) {
        const auto loaded = parsePooledSettings(replaced(entryText, one.from, one.to));
        cr_expect(hasErrorFor(loaded, one.key), "%s is not blamed", one.key.c_str());
    }
}

// Guards against rejecting a grace period that a template has converted from seconds, so that it is
// written with an exponent. The process would not start.
Test(pooledSettings, durationMayBeDecimal)
{
    const auto loaded = parsePooledSettings(entryText + "[deployment]\ngrace_ms = 2.5e3\n");
    cr_assert(loaded.errors.empty(), "%zu errors", loaded.errors.size());
    cr_assert(loaded.settings.deployment.grace == std::chrono::milliseconds{2500});
}
