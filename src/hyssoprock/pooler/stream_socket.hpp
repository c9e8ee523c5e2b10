#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include <hyssoprock/core/result.hpp>

/// @file
/// @brief Non-blocking TCP socket with buffered output.

namespace hyssoprock {

/// @brief Buffers output until write(). Reads and writes never block; the owner waits for readiness
/// with async_wait() on socket().
class StreamSocket
{
public:
    /// @brief Result of a write.
    enum class Progress : std::uint8_t { Done, Partial, Failed };

    /// @param socket May still be closed.
    explicit StreamSocket(boost::asio::ip::tcp::socket socket);

    /// @brief Sets the socket options; the socket must be open.
    void configure();

    /// @brief Output buffer to which encoders append.
    [[nodiscard]] std::string &output() noexcept { return output_; }

    /// @brief Number of buffered bytes that are not yet written.
    [[nodiscard]] std::size_t pendingBytes() const noexcept
    {
        return output_.size() - writtenBytes_;
    }

    /// @brief Memory that the output buffer occupies, in bytes.
    [[nodiscard]] std::size_t heldBytes() const noexcept { return output_.capacity(); }

    /// @brief Writes as much as the socket accepts.
    /// @return Partial if the owner must wait until the socket is writable.
    [[nodiscard]] Progress write();

    /// @brief Reads available bytes.
    /// @return A view into the buffer, empty if no bytes are available; Unreachable at the end of
    /// the stream.
    [[nodiscard]] Result<std::string_view> read(std::span<char> buffer);

    /// @brief Closes the socket; pending waits complete with an error.
    void close() noexcept;

    [[nodiscard]] boost::asio::ip::tcp::socket &socket() noexcept { return socket_; }

private:
    boost::asio::ip::tcp::socket socket_;
    std::string output_{};
    std::size_t writtenBytes_ = 0;
};

} // namespace hyssoprock
