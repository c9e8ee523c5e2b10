#pragma once

#include <functional>
#include <utility>

#include <hyssoprock/catalog/catalog.hpp>
#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/message/codec.hpp>
#include <hyssoprock/replicated/replicated_state.hpp>

/// @file
/// @brief The catalogue as the state of a Raft group.

namespace hyssoprock {

/// @brief Replicates a Catalog. The address of the catalogue remains valid across reset().
class CatalogReplica final : public ReplicatedState
{
public:
    using Applied = std::function<void(const CatalogCommand &command, const CatalogResult &result)>;

    /// @param applied Called after each applied command.
    explicit CatalogReplica(Applied applied)
        : applied_{std::move(applied)}
    {}

    void reset() override { catalog_ = Catalog{}; }

    void apply(std::string_view bytes, std::uint64_t index) override
    {
        const auto command = decode<CatalogCommand>(bytes);
        check(command.has_value(), "a committed command can be decoded");
        const auto result = catalog_.apply(command.value(), index);
        applied_(command.value(), result);
    }

    [[nodiscard]] std::string encodeSnapshot() const override { return catalog_.encodeSnapshot(); }

    [[nodiscard]] Result<void> restoreSnapshot(std::string_view bytes) override
    {
        return catalog_.restoreSnapshot(bytes);
    }

    /// @brief The replicated state.
    [[nodiscard]] const Catalog &catalog() const noexcept { return catalog_; }

private:
    Applied applied_;
    Catalog catalog_{};
};

} // namespace hyssoprock
