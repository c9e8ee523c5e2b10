#include <hyssoprock/promotion/resume_log.hpp>

#include <utility>

namespace hyssoprock::internal {

void ResumeLog::restore(const std::vector<std::string> &endpoints)
{
    unfinished_.insert(endpoints.begin(), endpoints.end());
}

void ResumeLog::take(const promotion::ResumeProposalCompleted &event, Instant now)
{
    if (!open_ || open_->number != event.proposalId) {
        return;
    }
    const auto ended = std::exchange(open_, {});
    if (!event.committed) {
        // It may be committed yet. The next one follows it in the log either way.
        retryAt_ = now + proposalPause;
        return;
    }
    for (const auto &endpoint : ended->endpoints) {
        if (ended->intends) {
            intended_.insert(endpoint);
        } else {
            unfinished_.erase(endpoint);
        }
    }
}

void ResumeLog::update(const std::set<std::string> &wanted, const std::set<std::string> &finished,
                       Instant now)
{
    if (retryAt_ && now >= *retryAt_) {
        retryAt_.reset();
    }
    if (open_ || retryAt_) {
        return;
    }
    std::set<std::string> missing;
    for (const auto &endpoint : wanted) {
        if (!intended(endpoint)) {
            missing.insert(endpoint);
        }
    }
    if (!missing.empty()) {
        propose(true, std::move(missing));
    } else if (!finished.empty()) {
        propose(false, finished);
    }
}

void ResumeLog::propose(bool intends, std::set<std::string> endpoints)
{
    std::vector<std::string> names{endpoints.begin(), endpoints.end()};
    std::uint64_t number = 0;
    if (intends) {
        unfinished_.insert(endpoints.begin(), endpoints.end());
        number = scope_.propose({IntendResume{scope_.service(), std::move(names)}});
    } else {
        // A resume that becomes due from now on needs an intention that follows in the log.
        for (const auto &endpoint : endpoints) {
            intended_.erase(endpoint);
        }
        number = scope_.propose({FinishResume{scope_.service(), std::move(names)}});
    }
    open_ = Proposal{number, intends, std::move(endpoints)};
}

} // namespace hyssoprock::internal
