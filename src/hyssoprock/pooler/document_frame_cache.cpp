#include <hyssoprock/pooler/document_frame_cache.hpp>

#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/deployment/document_delta.hpp>

namespace hyssoprock {

DocumentFrameCache::DocumentFrameCache(DocumentCache &documents)
    : documents_{documents}
{}

void DocumentFrameCache::refresh(const ControlReplica &replica)
{
    const auto known = replica.newestCommittedDocument();
    if (known.version <= parsedVersion_) {
        return;
    }
    parsedVersion_ = known.version;
    const auto document = documents_.parse(known.document);
    if (document.has_error()) {
        writeLog(LogLevel::Error, LogComponent::Config,
                 "document " + std::to_string(known.version)
                     + " is not sent to entry hosts: " + document.error().detail);
        return;
    }
    archive_.add(document.value());
    frames_.clear();
}

std::uint64_t DocumentFrameCache::version() const
{
    const auto newest = archive_.newest();
    return newest ? newest->version : 0;
}

SharedFrame DocumentFrameCache::frameFor(std::uint64_t held, std::uint64_t digest)
{
    if (version() <= held) {
        return nullptr;
    }
    const auto base = archive_.deltaBase(held, digest);
    auto &frame = frames_[base];
    if (!frame) {
        frame = sharedFrameOf(compressDelta(archive_.deltaFrom(base)));
    }
    return frame;
}

} // namespace hyssoprock
