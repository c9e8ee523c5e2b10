#pragma once

/// @file
/// @brief Forward declarations of the leasing module.

namespace hyssoprock {

class HostLeaseGrantor;
class HostLeaseHolder;
struct AddressedLeaseRequest;

} // namespace hyssoprock
