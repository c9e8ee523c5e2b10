#include <hyssoprock/promotion/resume_log.hpp>

#include <utility>

namespace hyssoprock::internal {

void ResumeLog::restore(const std::vector<std::string> &endpoints)
{
    unfinished_.insert(endpoints.begin(), endpoints.end());
}

void ResumeLog::handle(const promotion::ResumeProposalCompleted &event, Instant now)
{
    if (!openProposal_ || openProposal_->id != event.proposalId) {
        return;
    }
    const auto ended = std::exchange(openProposal_, {});
    if (!event.committed) {
        // It may still be committed. The next proposal follows it in the log in either case.
        retryAt_ = now + proposalRetryDelay;
        return;
    }
    for (const auto &endpoint : ended->endpoints) {
        if (ended->isIntent) {
            intended_.insert(endpoint);
        } else {
            unfinished_.erase(endpoint);
        }
    }
}

void ResumeLog::update(const std::set<std::string> &toResume, const std::set<std::string> &finished,
                       Instant now)
{
    if (retryAt_ && now >= *retryAt_) {
        retryAt_.reset();
    }
    if (openProposal_ || retryAt_) {
        return;
    }
    std::set<std::string> missing;
    for (const auto &endpoint : toResume) {
        if (!isIntended(endpoint)) {
            missing.insert(endpoint);
        }
    }
    if (!missing.empty()) {
        propose(true, std::move(missing));
    } else if (!finished.empty()) {
        propose(false, finished);
    }
}

void ResumeLog::propose(bool isIntent, std::set<std::string> endpoints)
{
    std::vector<std::string> names{endpoints.begin(), endpoints.end()};
    std::uint64_t id = 0;
    if (isIntent) {
        unfinished_.insert(endpoints.begin(), endpoints.end());
        id = scope_.propose({IntendResume{scope_.service(), std::move(names)}});
    } else {
        // A resume that becomes due from now on needs an intent that follows in the log.
        for (const auto &endpoint : endpoints) {
            intended_.erase(endpoint);
        }
        id = scope_.propose({FinishResume{scope_.service(), std::move(names)}});
    }
    openProposal_ = Proposal{id, isIntent, std::move(endpoints)};
}

} // namespace hyssoprock::internal
