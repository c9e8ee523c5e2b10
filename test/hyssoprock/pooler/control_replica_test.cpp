#include <criterion/criterion.h>

#include <cstdlib>
#include <string>

#include <hyssoprock/pooler/control_replica.hpp>
#include <hyssoprock/pooler/endpoint_cache.hpp>
#include <hyssoprock/storage/posix_file_system.hpp>

using namespace hyssoprock;

namespace {

std::string encodePutDocument(std::uint64_t version)
{
    return encode(ControlCommand{PutDocument{version, "document " + std::to_string(version)}});
}

} // namespace

// Guards against entry hosts that have no document until a leader is elected after a restart of all
// hosts: the newest logged document that is known to be committed must be available immediately.
Test(controlReplica, committedDocumentIsAvailableBeforeALeader)
{
    ControlReplica replica;
    replica.restoreCommittedVersion(2);
    replica.recordLoggedCommand(encodePutDocument(1));
    replica.recordLoggedCommand(encodePutDocument(2));
    cr_assert_eq(replica.state().version(), 0U);
    cr_assert_eq(replica.newestCommittedDocument().version, 2U);
    cr_assert_eq(replica.newestCommittedDocument().document, "document 2");
}

// Guards against handing out a logged document that is not known to be committed: another document
// may be committed with the same version.
Test(controlReplica, uncommittedDocumentIsNotHandedOut)
{
    ControlReplica replica;
    replica.recordLoggedCommand(encodePutDocument(3));
    cr_assert_eq(replica.newestCommittedDocument().version, 0U);
    replica.restoreCommittedVersion(2);
    replica.recordLoggedCommand(encodePutDocument(2));
    replica.recordLoggedCommand(encodePutDocument(3));
    cr_assert_eq(replica.newestCommittedDocument().version, 2U);
    replica.apply(encodePutDocument(4), 1);
    cr_assert_eq(replica.newestCommittedDocument().version, 4U);
}

// Guards against entry hosts that take too large a share of the connections after a power loss,
// because control hosts count only the reconnected ones. The version that is known to be committed
// must survive the restart, too.
Test(endpointCache, entryHostCountSurvivesRestart)
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
