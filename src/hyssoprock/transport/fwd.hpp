#pragma once

/// @file
/// @brief Forward declarations of the transport module.

namespace hyssoprock {

class DatagramSocket;
class FrameClient;
class FrameConnection;
class FrameReader;
class HttpClient;
class HttpServer;
class PgConnection;
class StreamWatch;
class TcpListener;
struct Frame;
struct HttpCallResponse;
struct HttpCall;
struct HttpHeader;
struct HttpRequest;
struct HttpResponse;
struct HttpServerLimits;
struct PgAnswer;
struct PgColumn;
struct PgStatementResult;
struct PgStatementError;
struct PgTarget;
struct StreamLimits;

} // namespace hyssoprock
