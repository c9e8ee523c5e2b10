#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the load module.

namespace hyssoprock::load {

enum class Outcome : std::uint8_t;
enum class RequestKind : std::uint8_t;
class FailoverGap;
class HistoryChecker;
class LatencyHistogram;
class LoadRunner;
class LoadSession;
class LoadTimeline;
class PgConnection;
struct QueryResult;
struct GroupStatistics;
struct IntervalStatistics;
struct KindStatistics;
struct LoadReport;
struct LoadSettings;
struct RequestRecord;
struct Operation;
struct OperationResult;
struct StoredRow;
struct Violation;
struct WriteGap;

} // namespace hyssoprock::load
