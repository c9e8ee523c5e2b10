#pragma once

/// @file
/// @brief Forward declarations of the registry module.

namespace hyssoprock {

class DeploymentView;
class DocumentFetch;
class EndpointRegistry;
class EntryReportSchedule;
struct DeploymentViewChanges;
struct DocumentAsk;
struct KnownEndpoint;
struct RegistryChanges;

} // namespace hyssoprock
