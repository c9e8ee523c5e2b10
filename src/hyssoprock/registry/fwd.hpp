#pragma once

/// @file
/// @brief Forward declarations of the registry module.

namespace hyssoprock {

class DocumentFetch;
class EndpointRegistry;
struct DocumentAsk;
struct KnownEndpoint;
struct RegistryChanges;

} // namespace hyssoprock
