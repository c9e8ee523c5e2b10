#pragma once

/// @file
/// @brief Forward declarations of the pgwire module.

namespace hyssoprock::pgwire {

struct StartupMessage;
struct Query;
struct Parse;
struct Bind;
struct Column;
struct Notice;
class FrontendDecoder;
class BackendEncoder;

} // namespace hyssoprock::pgwire
