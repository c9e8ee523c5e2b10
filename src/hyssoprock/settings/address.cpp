#include <hyssoprock/settings/address.hpp>

#include <charconv>

#include <boost/asio/ip/address.hpp>

namespace hyssoprock {

namespace {

auto invalidAddress(std::string_view text, std::string_view reason)
{
    return failure(ErrorKind::InvalidValue,
                   "\"" + std::string{text}
                       + "\" is not an IP number and port: " + std::string{reason});
}

} // namespace

Result<SocketAddress> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalidAddress(text, "the port is missing");
    }
    auto host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(std::string{host}, error);
    if (error || ip.is_v6() != bracketed) {
        return invalidAddress(text, "the IP number is malformed");
    }
    SocketAddress address{ip.to_string(), 0};
    const auto port = text.substr(colon + 1);
    const auto [end, code] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (port.empty() || code != std::errc{} || end != port.data() + port.size()) {
        return invalidAddress(text, "the port is not in 0..65535");
    }
    return address;
}

Result<NamedAddress> parseNamedAddress(std::string_view text)
{
    const auto equals = text.find('=');
    if (equals == std::string_view::npos || equals == 0) {
        return failure(ErrorKind::InvalidValue,
                       "\"" + std::string{text} + "\" is not of the form name=IP:port");
    }
    auto address = parseAddress(text.substr(equals + 1));
    if (address.has_error()) {
        return address.as_failure();
    }
    return NamedAddress{std::string{text.substr(0, equals)}, std::move(address.value())};
}

std::string toString(const SocketAddress &address)
{
    const bool v6 = address.ip.find(':') != std::string::npos;
    return (v6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

} // namespace hyssoprock
