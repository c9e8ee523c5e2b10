#pragma once

/// @file
/// @brief Forward declarations of the pooler module.

namespace hyssoprock {

class ControlGroup;
class ControlPeers;
class ControlReplica;
class ControlVisitors;
class DocumentFrames;
class EntryHostFeed;
class ForwardedCalls;
class PoolerControlNode;
struct ControlNodeSettings;
struct ControlVisitor;
struct KnownDocument;

} // namespace hyssoprock
