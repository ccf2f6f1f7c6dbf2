// The node that schedules a service is cut off from the store. It goes on to
// grant targets by its old list: the other nodes, which know that workers are
// leaving, send posts to these workers on its word, and the posts are cut when
// the workers exit.

#include "../standin/Standin.h"

using namespace review;

namespace {

constexpr int kNodes = 3;
constexpr int kWorkers = 12;
/** A quarter of the workers: the largest share of `scale_in` on the site. */
constexpr std::size_t kLeaving = 3;
/** The longest `core_cut` on the site is 5.5 s. */
constexpr double kCut = 5.4;
constexpr double kDrain = 2;
/** A worker that leaves exits a little later than `drain_s`. */
constexpr double kExit = 2.35;
constexpr double kBurst = 2.25;
constexpr int kPostsAtOnce = 30;

struct Sent
{
  std::string mId;
  double mSentAt = 0;
};

} // namespace

int
main(int, char** aArguments)
{
  Record record(aArguments[1]);
  auto place = Place::Make();
  if (!place) {
    return kCouldNotRun;
  }
  Store store(record);
  Runs runs;
  store.Put(
    "keyed.op",
    "config",
    ConfigText("00000007",
               { { "/invoices/", "unsafe", "billing", 1.2, 0.5, 0, 2 } },
               { "billing" }));
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < kWorkers; ++i) {
    WorkerOptions options;
    options.mId = "i-billing" + std::to_string(i);
    options.mService = "billing";
    options.mAddress = { place->mPrefix + std::to_string(50 + i),
                         place->mPort + 5 };
    options.mZone = "zone-" + std::to_string(1 + i % kNodes);
    options.mWorkSeconds = 0.13;
    workers.push_back(std::make_unique<Worker>(options, store, runs, record));
    if (!workers.back()->Start()) {
      return kCouldNotRun;
    }
  }
  std::vector<std::unique_ptr<Node>> nodes;
  for (int i = 1; i <= kNodes; ++i) {
    nodes.push_back(std::make_unique<Node>(*place,
                                           store,
                                           record,
                                           i,
                                           "zone-" + std::to_string(i),
                                           SeedsOf(*place, kNodes)));
    if (!nodes.back()->HasStore() || !nodes.back()->Start(true)) {
      return kCouldNotRun;
    }
  }
  for (const auto& it : nodes) {
    if (!it->AwaitReady(20)) {
      return kCouldNotRun;
    }
  }
  Sleep(4);

  std::mutex mutex;
  std::vector<Sent> sent;
  auto send = [&](Node& aNode) {
    std::string id = NewRequestId();
    {
      std::lock_guard<std::mutex> lock(mutex);
      sent.push_back({ id, Seconds() });
    }
    SendOne(record, aNode, "PUT", "/invoices/1", id, 1200, "invoice=1");
  };
  for (int i = 0; i < 3; ++i) {
    send(*nodes[static_cast<std::size_t>(i)]);
  }
  Sleep(0.3);
  Node* scheduler = nullptr;
  for (const auto& it : nodes) {
    if (it->Output().find("name=SchedulerStarted") != std::string::npos) {
      scheduler = it.get();
    }
  }
  if (!scheduler) {
    return kCouldNotRun;
  }
  std::vector<Node*> others;
  for (const auto& it : nodes) {
    if (it.get() != scheduler) {
      others.push_back(it.get());
    }
  }
  if (HasTrouble()) {
    record.Line("%s, which schedules billing, is cut off from the store",
                scheduler->Name().c_str());
    scheduler->StorePath().mIsCut = true;
  }
  double cutAt = Seconds();
  Sleep(0.3);
  std::set<std::string> leaving;
  for (std::size_t i = kWorkers - kLeaving; i < kWorkers; ++i) {
    // Not one of those that the first posts went to: they go there again.
    Worker& worker = *workers[i - 3];
    leaving.insert(worker.Options().mId);
    worker.Drain();
  }
  double drainedAt = Seconds();
  std::thread exits([&] {
    Sleep(drainedAt + kExit - Seconds());
    for (const auto& it : workers) {
      if (leaving.count(it->Options().mId) > 0) {
        it->Exit();
      }
    }
  });
  // Clients of the other two nodes: a few posts, and then many at once.
  std::vector<std::thread> clients;
  for (int i = 1; i <= 3; ++i) {
    Sleep(drainedAt + 0.5 * i - Seconds());
    clients.emplace_back(send,
                         std::ref(*others[clients.size() % others.size()]));
  }
  Sleep(drainedAt + kBurst - Seconds());
  for (int i = 0; i < kPostsAtOnce; ++i) {
    clients.emplace_back(send,
                         std::ref(*others[clients.size() % others.size()]));
  }
  exits.join();
  Sleep(cutAt + kCut - Seconds());
  scheduler->StorePath().mIsCut = false;
  record.Line("%s reaches the store again", scheduler->Name().c_str());
  for (auto& it : clients) {
    it.join();
  }

  int late = 0;
  int cut = 0;
  for (const Sent& it : sent) {
    for (const Run& run : runs.Of(it.mId)) {
      bool isLeaving = leaving.count(run.mWorker) > 0;
      if (isLeaving && run.mArrivedAt > drainedAt + kDrain) {
        ++late;
        cut += run.mIsAnswered ? 0 : 1;
        record.Line("DRAIN: post %s reached %s %.3f s after the store had "
                    "accepted that it is "
                    "draining; it was sent %.3f s after that%s",
                    it.mId.c_str(),
                    run.mWorker.c_str(),
                    run.mArrivedAt - drainedAt,
                    it.mSentAt - drainedAt,
                    run.mIsAnswered ? ""
                                    : ", and was cut when the worker exited");
      }
    }
  }
  record.Line("%d requests reached a leaving worker later than drain_s, %d of "
              "these were cut",
              late,
              cut);
  printf(
    "requests at leaving workers later than drain_s: %d, cut: %d\n", late, cut);
  nodes.clear();
  fflush(stdout);
  _exit(late > 0 ? kBroken : kHeld);
}
