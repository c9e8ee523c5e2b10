#pragma once

/// @file
/// @brief Forward declarations of the registry module.

namespace hyssoprock {

class EndpointRegistry;
struct KnownEndpoint;
struct RegistryChanges;

} // namespace hyssoprock
