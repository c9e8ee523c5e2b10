#pragma once

/// @file
/// @brief Forward declarations of the load module.

namespace hyssoprock::load {

struct RequestRecord;
struct StoredRow;
struct Violation;
class HistoryChecker;
class LatencyHistogram;
class FailoverGap;
class Workload;
class PgConnection;
class LoadRunner;

} // namespace hyssoprock::load
