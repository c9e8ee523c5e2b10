#include <criterion/criterion.h>

#include <cstdlib>
#include <string>

#include <hyssoprock/pooler/control_replica.hpp>
#include <hyssoprock/pooler/endpoint_cache.hpp>
#include <hyssoprock/storage/posix_file_system.hpp>

using namespace hyssoprock;

namespace {

std::string put(std::uint64_t version)
{
    return encode(ControlCommand{PutDocument{version, "document " + std::to_string(version)}});
}

} // namespace

// Guards against entry hosts that wait for an elected leader after a restart of all hosts: the
// newest document of the log that is known to be committed is known at once.
Test(controlReplica, aCommittedDocumentIsKnownBeforeALeaderIs)
{
    ControlReplica replica;
    replica.restoreCommittedVersion(2);
    replica.recordLoggedCommand(put(1));
    replica.recordLoggedCommand(put(2));
    cr_assert_eq(replica.state().version(), 0U);
    cr_assert_eq(replica.newestCommittedDocument().version, 2U);
    cr_assert_eq(replica.newestCommittedDocument().document, "document 2");
}

// Guards against a document that is handed out although it was never committed: another one may
// get its version.
Test(controlReplica, whatMayNotBeCommittedIsNotHandedOut)
{
    ControlReplica replica;
    replica.recordLoggedCommand(put(3));
    cr_assert_eq(replica.newestCommittedDocument().version, 0U);
    replica.restoreCommittedVersion(2);
    replica.recordLoggedCommand(put(2));
    replica.recordLoggedCommand(put(3));
    cr_assert_eq(replica.newestCommittedDocument().version, 2U);
    replica.apply(put(4), 1);
    cr_assert_eq(replica.newestCommittedDocument().version, 4U);
}

// Guards against entry hosts that take the whole share of connections after a loss of power,
// because control hosts count only those that have come back, and against 5 of the findings: the
// version that is known to be committed has to survive the restart.
Test(endpointCache, theNumberOfEntryHostsSurvivesARestart)
{
    std::string folder = "/tmp/hyssoprock-cache-XXXXXX";
    cr_assert(::mkdtemp(folder.data()) != nullptr);
    EndpointRecord record;
    record.id = "d1";
    const auto files = std::make_shared<PosixFileSystem>();
    cr_assert((EndpointCache{folder, files}.store({{record}, 8, 5}).has_value()));
    const auto stored = EndpointCache{folder, files}.load();
    cr_assert_eq(stored.entryHosts, 8U);
    cr_assert_eq(stored.documentVersion, 5U);
    cr_assert(stored.endpoints == std::vector{record});
}
