#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the pgwire module.

namespace hyssoprock::pgwire {

enum class ObjectKind : std::uint8_t;
enum class TransactionStatus : char;
enum class TypeOid : std::uint32_t;
class BackendEncoder;
class FrontendDecoder;
struct Bind;
struct CancelRequest;
struct Close;
struct Column;
struct Describe;
struct Execute;
struct Flush;
struct GssEncRequest;
struct Notice;
struct Parse;
struct Query;
struct SslRequest;
struct StartupMessage;
struct StartupParameter;
struct Sync;
struct Terminate;
struct UnsupportedMessage;

} // namespace hyssoprock::pgwire
