#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include <hyssoprock/core/result.hpp>

/// @file
/// @brief A non-blocking TCP socket with collected output.

namespace hyssoprock {

/// @brief Output is collected and written with one call. Reads and writes never block; the owner
/// waits for readiness with async_wait() on socket().
class StreamSocket
{
public:
    /// @brief How far a write got.
    enum class Progress : std::uint8_t { Done, Partial, Failed };

    /// @brief Takes a socket.
    /// @param socket Open or closed.
    explicit StreamSocket(boost::asio::ip::tcp::socket socket);

    /// @brief Sets options; called once the socket is open.
    void configure();

    /// @brief Where encoders append.
    [[nodiscard]] std::string &output() noexcept { return output_; }

    /// @brief Bytes that are not written yet.
    [[nodiscard]] std::size_t pendingBytes() const noexcept { return output_.size() - written_; }

    /// @brief Writes as much as the socket takes.
    /// @return Partial if the owner has to wait until the socket is writable.
    [[nodiscard]] Progress write();

    /// @brief Reads what has arrived.
    /// @param buffer Where to.
    /// @return The bytes, none if nothing has arrived; or Unreachable at the end of the stream.
    [[nodiscard]] Result<std::string_view> read(std::span<char> buffer);

    /// @brief Closes the socket; waits on it end with an error.
    void close() noexcept;

    [[nodiscard]] boost::asio::ip::tcp::socket &socket() noexcept { return socket_; }

private:
    boost::asio::ip::tcp::socket socket_;
    std::string output_{};
    std::size_t written_ = 0;
};

} // namespace hyssoprock
