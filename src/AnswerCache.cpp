#include "AnswerCache.h"

namespace vanillascale {

namespace {

/** Approximate memory of an entry besides the answer's own bytes. */
constexpr std::size_t kEntryOverheadBytes = 256;

std::size_t
EntrySize(const Answer& aAnswer)
{
  std::size_t size = aAnswer.mBody.size() + kEntryOverheadBytes;
  for (const Header& it : aAnswer.mHeaders) {
    size += it.mName.size() + it.mValue.size();
  }
  return size;
}

} // namespace

void
CacheAnswer(AnswerCache& aCache,
            const RequestKey& aKey,
            std::shared_ptr<const Answer> aAnswer)
{
  std::size_t size = EntrySize(*aAnswer);
  if (!aCache.mAnswers.emplace(aKey, std::move(aAnswer)).second) {
    return;
  }
  aCache.mInsertionOrder.push_back(aKey);
  aCache.mBytes += size;
  while (aCache.mBytes > kAnswerCacheMaxBytes) {
    auto it = aCache.mAnswers.find(aCache.mInsertionOrder.front());
    aCache.mBytes -= EntrySize(*it->second);
    aCache.mAnswers.erase(it);
    aCache.mInsertionOrder.pop_front();
  }
}

std::shared_ptr<const Answer>
FindCachedAnswer(const AnswerCache& aCache, const RequestKey& aKey)
{
  auto it = aCache.mAnswers.find(aKey);
  return it == aCache.mAnswers.end() ? nullptr : it->second;
}

} // namespace vanillascale
