#ifndef VANILLASCALE_ANSWERCACHE_H
#define VANILLASCALE_ANSWERCACHE_H

#include "Messages.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace vanillascale {

/** The most memory that kept answers take on one node, in bytes. */
constexpr std::size_t kAnswerCacheMaxBytes = 4UL * 1024 * 1024;

/** Answers to keyed requests, kept for callers that send again. The oldest go
 * first when memory runs out; a caller is then told that the outcome is not
 * known, and nothing is run again. */
struct AnswerCache
{
  std::unordered_map<RequestKey, std::shared_ptr<const Answer>> mAnswers;
  std::deque<RequestKey> mInsertionOrder;
  std::size_t mBytes = 0;
};

/** Keeps an answer. */
void
CacheAnswer(AnswerCache& aKept,
            const RequestKey& aKey,
            std::shared_ptr<const Answer> aAnswer);

/** The answer kept for a key, or null. */
std::shared_ptr<const Answer>
FindCachedAnswer(const AnswerCache& aKept, const RequestKey& aKey);

} // namespace vanillascale

#endif
