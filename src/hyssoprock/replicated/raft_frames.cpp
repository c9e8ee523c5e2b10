#include <hyssoprock/replicated/raft_frames.hpp>

#include <utility>
#include <variant>

#include <hyssoprock/message/codec.hpp>

namespace hyssoprock {

namespace {

template <class... Messages>
Result<std::optional<RaftMessage>> parseAny(const Frame &frame,
                                            std::variant<Messages...> * /*types*/)
{
    Result<std::optional<RaftMessage>> result = std::optional<RaftMessage>{};
    const auto attempt = [&]<class Message>(std::in_place_type_t<Message> /*type*/) {
        if (!holds<Message>(frame)) {
            return;
        }
        auto message = decodeMessage<Message>(frame);
        if (message.has_error()) {
            result = message.as_failure();
        } else {
            result = std::optional<RaftMessage>{std::move(message.value())};
        }
    };
    (attempt(std::in_place_type<Messages>), ...);
    return result;
}

} // namespace

const std::string &senderOf(const RaftMessage &message)
{
    return std::visit([](const auto &body) -> const std::string & { return body.from; }, message);
}

Result<std::optional<RaftMessage>> parseRaftMessage(const Frame &frame)
{
    // The null pointer only carries the type of the variant.
    return parseAny(frame, static_cast<RaftMessage *>(nullptr));
}

} // namespace hyssoprock
