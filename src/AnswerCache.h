#ifndef VANILLASCALE_ANSWERCACHE_H
#define VANILLASCALE_ANSWERCACHE_H

#include "Messages.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace vanillascale {

/** Maximum memory of one node's cached answers, in bytes. */
constexpr std::size_t kAnswerCacheMaxBytes = 4UL * 1024 * 1024;

/** Answers to keyed requests, cached for resends of their keys. The oldest
 * entries are evicted when the cache exceeds kAnswerCacheMaxBytes. The caller
 * of a resend of an evicted key is told that the outcome is not known; the
 * request is not run again. */
struct AnswerCache
{
  std::unordered_map<RequestKey, std::shared_ptr<const Answer>> mAnswers;
  /** Keys of mAnswers, oldest first. */
  std::deque<RequestKey> mInsertionOrder;
  /** Approximate memory of all entries. */
  std::size_t mBytes = 0;
};

/** Adds an answer unless the key already has one, and evicts the oldest answers
 * above the memory limit. */
void
CacheAnswer(AnswerCache& aCache,
            const RequestKey& aKey,
            std::shared_ptr<const Answer> aAnswer);

/** Returns the answer cached for a key, or null. */
std::shared_ptr<const Answer>
FindCachedAnswer(const AnswerCache& aCache, const RequestKey& aKey);

} // namespace vanillascale

#endif
