#pragma once

/// @file
/// @brief Forward declarations of the storage module.

namespace hyssoprock {

class DurableValue;
class File;
class FileSystem;
class PosixFileSystem;
class RaftStorage;
class SegmentedLog;
struct RecordScan;

} // namespace hyssoprock
