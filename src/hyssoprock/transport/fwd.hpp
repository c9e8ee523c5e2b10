#pragma once

/// @file
/// @brief Forward declarations of the transport module.

namespace hyssoprock {

struct Frame;
class FrameReader;
class FrameConnection;
class FrameClient;
class TcpListener;
class HttpServer;
struct HttpRequest;
struct HttpResponse;
class HttpClient;
struct HttpCall;
struct HttpAnswer;
class DatagramSocket;
class PgConnection;
struct PgAnswer;

} // namespace hyssoprock
