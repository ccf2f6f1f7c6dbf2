#ifndef VANILLASCALE_BYTEBUDGET_H
#define VANILLASCALE_BYTEBUDGET_H

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>

namespace vanillascale {

/** Counts the bytes that a process holds on behalf of callers, targets and
 * peers. It allocates nothing and refuses nothing by itself: whoever buffers
 * asks MayTake, and reads no further if the answer is no. The loop's thread
 * only. */
class ByteBudget
{
public:
  /** aTotal: the bytes that may be held; without it, any number. */
  static std::shared_ptr<ByteBudget> Make(
    std::size_t aTotal = std::numeric_limits<std::size_t>::max());

  std::size_t Total() const { return mTotal; }
  std::size_t Held() const { return mHeld; }
  std::size_t MostHeld() const { return mMostHeld; }

  /** What may be held for large messages together. The rest is kept for small
   * ones, so that ordinary requests go on while large ones fill their part. */
  std::size_t LargeTotal() const;

  /** Whether so many bytes more may be held, for a message of aMessageBytes in
   * all. */
  bool MayTake(std::size_t aBytes, std::size_t aMessageBytes) const;

  /** Whether so many bytes could be held for a large message if nothing else
   * were. */
  bool CanEverTake(std::size_t aBytes) const { return aBytes <= LargeTotal(); }

  /** Code that could not take bytes states it as long as it waits; whoever can
   * free some looks at IsAwaited. */
  void AddWaiter() { ++mWaiters; }
  void RemoveWaiter() { --mWaiters; }
  bool IsAwaited() const { return mWaiters > 0; }

private:
  friend class BudgetCharge;
  explicit ByteBudget(std::size_t aTotal)
    : mTotal(aTotal)
  {
  }
  void Change(std::size_t aFrom, std::size_t aTo);

  std::size_t mTotal;
  std::size_t mHeld = 0;
  std::size_t mMostHeld = 0;
  std::size_t mWaiters = 0;
};

/** Bytes that count against a budget for as long as the object lives. */
class BudgetCharge
{
public:
  /** Without a budget nothing is counted. */
  explicit BudgetCharge(std::shared_ptr<ByteBudget> aBudget = nullptr)
    : mBudget(std::move(aBudget))
  {
  }
  BudgetCharge(const BudgetCharge&) = delete;
  BudgetCharge& operator=(const BudgetCharge&) = delete;
  ~BudgetCharge() { Set(0); }

  /** Sets the number of bytes. The budget may be exceeded: what has been
   * received is held, whether it was asked for or not. */
  void Set(std::size_t aBytes);
  std::size_t Bytes() const { return mBytes; }
  const std::shared_ptr<ByteBudget>& Budget() const { return mBudget; }

private:
  std::shared_ptr<ByteBudget> mBudget;
  std::size_t mBytes = 0;
};

/** States for as long as the object lives that something waits for bytes of a
 * budget. */
class BudgetWait
{
public:
  explicit BudgetWait(std::shared_ptr<ByteBudget> aBudget)
    : mBudget(std::move(aBudget))
  {
    mBudget->AddWaiter();
  }
  BudgetWait(const BudgetWait&) = delete;
  BudgetWait& operator=(const BudgetWait&) = delete;
  ~BudgetWait() { mBudget->RemoveWaiter(); }

private:
  std::shared_ptr<ByteBudget> mBudget;
};

/** The budget of a process on a machine with so much memory, in MB (10^6
 * bytes); 0 stands for an unknown machine. Pure. */
std::size_t
BudgetOfMachine(unsigned aMemoryMb);

} // namespace vanillascale

#endif
