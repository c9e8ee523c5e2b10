#pragma once

/// @file
/// @brief Forward declarations of the transport module.

namespace hyssoprock {

struct Frame;
class FrameReader;
class FrameConnection;
class FrameClient;
class FrameServer;
class DatagramSocket;
class PgConnection;
struct PgAnswer;

} // namespace hyssoprock
