#pragma once

/// @file
/// @brief Forward declarations of the promotion module.

namespace hyssoprock {

class PromotionCaller;
class PromotionController;
struct EndpointStatusRow;

} // namespace hyssoprock
