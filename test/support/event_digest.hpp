#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

/// @file
/// @brief Digest of the events of a simulation, to compare runs of two machines.

namespace hyssoprock::test {

/// @brief Digest of a sequence of events.
///
/// Two runs with equal digests have handled the same events in the same order. The digest depends
/// only on the recorded values, not on sizes of types, signedness of char or addresses.
class EventDigest
{
public:
    /// @brief Begins a new sequence.
    /// @param label Start of each printed line.
    /// @param printInterval Events between two printed lines; 0 prints none.
    void begin(std::string label, std::uint64_t printInterval);

    /// @brief Records an event.
    /// @param parts Integers, enumerators, durations, instants and texts that describe the event.
    template <class... Parts>
    void record(const Parts &...parts)
    {
        (mix(parts), ...);
        ++count_;
        if (printInterval_ != 0 && count_ % printInterval_ == 0) {
            print();
        }
    }

    /// @brief Digest of all events since begin().
    [[nodiscard]] std::uint64_t value() const noexcept { return value_; }
    /// @brief Number of events since begin().
    [[nodiscard]] std::uint64_t count() const noexcept { return count_; }

private:
    template <class Part>
    void mix(const Part &part)
    {
        if constexpr (std::is_convertible_v<const Part &, std::string_view>) {
            mixText(part);
        } else if constexpr (requires { part.time_since_epoch(); }) {
            mixNumber(static_cast<std::uint64_t>(part.time_since_epoch().count()));
        } else if constexpr (requires { part.count(); }) {
            mixNumber(static_cast<std::uint64_t>(part.count()));
        } else {
            static_assert(std::is_integral_v<Part> || std::is_enum_v<Part>);
            mixNumber(static_cast<std::uint64_t>(part));
        }
    }

    void mixNumber(std::uint64_t number) noexcept;
    void mixText(std::string_view text) noexcept;
    void print() const;

    std::string label_;
    std::uint64_t printInterval_ = 0;
    std::uint64_t count_ = 0;
    std::uint64_t value_ = 0;
};

/// @brief Digest of the simulation that runs in this process; only one runs at a time.
[[nodiscard]] EventDigest &eventDigest() noexcept;

} // namespace hyssoprock::test
