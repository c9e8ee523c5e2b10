#pragma once

/// @file
/// @brief Forward declarations of the catalog module.

namespace hyssoprock {

class Catalog;
struct CatalogResult;

} // namespace hyssoprock
