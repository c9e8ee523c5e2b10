#include <hyssoprock/core/error_kind.hpp>

#include <array>
#include <cstddef>

namespace hyssoprock {

namespace {

constexpr std::size_t errorKindCount = static_cast<std::size_t>(ErrorKind::InvalidSettings) + 1;

constexpr int exitStatusRefused = 3;
constexpr int exitStatusConflict = 4;
constexpr int exitStatusUnreachable = 5;
constexpr int exitStatusUsage = 2;

// clang-format off
constexpr std::array<ErrorAnswer, errorKindCount> answers{{
    {ErrorKind::None, "none", "00000", "done", false, false, 0},
    {ErrorKind::QueueFull, "queue_full", "53400", "not run: too many requests are waiting", true, true, exitStatusRefused},
    {ErrorKind::DeadlineExceeded, "deadline_exceeded", "57014", "not run: no connection became free in time", true, true, exitStatusRefused},
    {ErrorKind::NoPrimary, "no_primary", "57P03", "not run: the group has no primary at present", true, true, exitStatusUnreachable},
    {ErrorKind::NoLease, "no_lease", "57P03", "not run: this host is cut off from the control group", true, true, exitStatusUnreachable},
    {ErrorKind::AgeNotProven, "age_not_proven", "72000", "not run: no endpoint has provably recent enough data", true, true, exitStatusUnreachable},
    {ErrorKind::HostLeaving, "host_leaving", "57P01", "not run: this host is shutting down", true, true, exitStatusUnreachable},
    {ErrorKind::VersionNotUnderstood, "version_not_understood", "0A000", "not run: no schema version that the caller understands is complete", true, false, exitStatusRefused},
    {ErrorKind::VersionNotWritable, "version_not_writable", "0A000", "not run: this schema version may not be written", true, false, exitStatusRefused},
    {ErrorKind::ReadOnlyEndpoint, "read_only_endpoint", "25006", "not run: the endpoint accepts no writes", true, true, exitStatusRefused},
    {ErrorKind::UnknownGroup, "unknown_group", "3D000", "not run: no such database group", true, false, exitStatusRefused},
    {ErrorKind::EndpointLost, "endpoint_lost", "08006", "not run: the connection to the endpoint broke and the work was rolled back", true, true, exitStatusUnreachable},
    {ErrorKind::RetryBudgetExhausted, "retry_budget_exhausted", "53400", "not run: too many retries lately", true, true, exitStatusRefused},
    {ErrorKind::AnswerWithheld, "answer_withheld", "0A000", "the answer held a schema version that was not asked for", false, false, exitStatusRefused},
    {ErrorKind::OutcomeUnknown, "outcome_unknown", "08007", "outcome unknown: the write may or may not have run", false, false, exitStatusRefused},
    {ErrorKind::InvalidToken, "invalid_token", "22023", "not run: the session token is not valid", true, false, exitStatusRefused},
    {ErrorKind::InvalidAttribute, "invalid_attribute", "22023", "not run: a request attribute is not valid", true, false, exitStatusRefused},
    {ErrorKind::InvalidValue, "invalid_value", "22023", "a value is out of range", true, false, exitStatusRefused},
    {ErrorKind::NotSupported, "not_supported", "0A000", "not run: not supported", true, false, exitStatusRefused},
    {ErrorKind::ProtocolViolation, "protocol_violation", "08P01", "the message cannot be understood", true, false, exitStatusRefused},
    {ErrorKind::MessageTooLarge, "message_too_large", "54000", "the message is over the size limit", true, false, exitStatusRefused},
    {ErrorKind::UnsupportedVersion, "unsupported_version", "08P01", "the protocol version is not supported", true, false, exitStatusRefused},
    {ErrorKind::ChecksumMismatch, "checksum_mismatch", "XX001", "the data is damaged", true, false, exitStatusRefused},
    {ErrorKind::TooManyConnections, "too_many_connections", "53300", "not run: no connection to spare", true, true, exitStatusRefused},
    {ErrorKind::RevisionConflict, "revision_conflict", "40001", "another change was accepted first", true, false, exitStatusConflict},
    {ErrorKind::Refused, "refused", "55000", "the present state does not allow this", true, false, exitStatusRefused},
    {ErrorKind::NotLeader, "not_leader", "55000", "this control host is not the leader", true, true, exitStatusUnreachable},
    {ErrorKind::Unreachable, "unreachable", "08001", "no answer", false, true, exitStatusUnreachable},
    {ErrorKind::StorageFull, "storage_full", "53100", "the disk is full", true, true, exitStatusRefused},
    {ErrorKind::StorageFailure, "storage_failure", "58030", "the disk cannot be read or written", false, false, exitStatusRefused},
    {ErrorKind::InvalidSettings, "invalid_settings", "F0000", "the settings file has an error", true, false, exitStatusUsage},
}};
// clang-format on

} // namespace

const ErrorAnswer &describe(ErrorKind kind) noexcept
{
    const auto index = static_cast<std::size_t>(kind);
    return index < answers.size() ? answers[index]
                                  : answers[static_cast<std::size_t>(ErrorKind::ProtocolViolation)];
}

} // namespace hyssoprock
