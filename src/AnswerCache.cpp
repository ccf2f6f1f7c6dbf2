#include "AnswerCache.h"

namespace vanillascale {

namespace {

/** What an entry takes beside the answer's own bytes, about. */
constexpr std::size_t kEntryOverheadBytes = 256;

std::size_t
SizeOf(const Answer& aAnswer)
{
  std::size_t size = aAnswer.mBody.size() + kEntryOverheadBytes;
  for (const Header& it : aAnswer.mHeaders) {
    size += it.mName.size() + it.mValue.size();
  }
  return size;
}

} // namespace

void
CacheAnswer(AnswerCache& aKept,
            const RequestKey& aKey,
            std::shared_ptr<const Answer> aAnswer)
{
  std::size_t size = SizeOf(*aAnswer);
  if (!aKept.mAnswers.emplace(aKey, std::move(aAnswer)).second) {
    return;
  }
  aKept.mInsertionOrder.push_back(aKey);
  aKept.mBytes += size;
  while (aKept.mBytes > kAnswerCacheMaxBytes) {
    auto it = aKept.mAnswers.find(aKept.mInsertionOrder.front());
    aKept.mBytes -= SizeOf(*it->second);
    aKept.mAnswers.erase(it);
    aKept.mInsertionOrder.pop_front();
  }
}

std::shared_ptr<const Answer>
FindCachedAnswer(const AnswerCache& aKept, const RequestKey& aKey)
{
  auto it = aKept.mAnswers.find(aKey);
  return it == aKept.mAnswers.end() ? nullptr : it->second;
}

} // namespace vanillascale
