#pragma once

/// @file
/// @brief Forward declarations of the registry module.

namespace hyssoprock {

class DeploymentView;
class DocumentFetchScheduler;
class EndpointRegistry;
class EntryReportSchedule;
struct DeploymentViewChanges;
struct DocumentFetchRequest;
struct KnownEndpoint;
struct RegistryChanges;

} // namespace hyssoprock
