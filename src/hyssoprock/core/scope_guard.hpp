#pragma once

#include <utility>

/// @file
/// @brief Runs a clean-up at the end of a scope.

namespace hyssoprock {

/// @brief Calls a function at the end of the scope, unless the guard was dismissed.
template <class Function>
class [[nodiscard]] ScopeGuard
{
public:
    /// @brief Registers the clean-up function.
    /// @param function Called once, without arguments; must not throw.
    explicit ScopeGuard(Function function) noexcept
        : function_{std::move(function)}
    {}
    ScopeGuard(const ScopeGuard &) = delete;
    ScopeGuard &operator=(const ScopeGuard &) = delete;
    ~ScopeGuard()
    {
        if (active_) {
            function_();
        }
    }

    /// @brief Cancels the clean-up.
    void dismiss() noexcept { active_ = false; }

private:
    Function function_;
    bool active_ = true;
};

} // namespace hyssoprock
