#include "quetzalhinge/gateway/table_follower.h"

#include <algorithm>
#include <random>
#include <utility>

#include "quetzalhinge/net/timer.h"

namespace qh::gateway {
namespace {

using std::chrono::milliseconds;

/** How long one wait for changes lasts; the store allows 30 s. */
constexpr milliseconds kWait{25000};

/** Pause between two waits, so that changes that come together are taken together. */
constexpr milliseconds kTogether{20};

/** Pause after a failure, doubled with each up to the longest. */
constexpr milliseconds kFirstPause{100};
constexpr milliseconds kLongestPause{800};

}  // namespace

struct TableFollower::Impl : public std::enable_shared_from_this<TableFollower::Impl> {
  net::EventLoop& loop;
  RandomGenerator& random;
  store::TableStore& store;
  std::string table;
  CatchUp catch_up;
  TableFollowerObserver& observer;
  net::Timer timer;
  std::uint64_t version = 0;
  bool must_read_whole = true;
  /** Whether the timer runs that ends the pause after a failure. */
  bool is_pausing = false;
  milliseconds pause = kFirstPause;
  std::optional<TimePoint> lost_since;

  Impl(net::EventLoop& event_loop, RandomGenerator& generator, store::TableStore& table_store,
       std::string table_name, CatchUp way_to_catch_up, TableFollowerObserver& follower_observer)
      : loop(event_loop),
        random(generator),
        store(table_store),
        table(std::move(table_name)),
        catch_up(way_to_catch_up),
        observer(follower_observer),
        timer(loop, [this] { Next(); }) {}

  void Next() {
    is_pausing = false;
    const auto weak = weak_from_this();
    if (must_read_whole) {
      store.ReadTable(table, [weak](const Result<store::TableRows>& result) {
        if (const auto self = weak.lock()) {
          self->Take(result, true);
        }
      });
      return;
    }
    store.AwaitChanges(table, version, kWait, [weak](const Result<store::TableRows>& result) {
      if (const auto self = weak.lock()) {
        self->Take(result, false);
      }
    });
  }

  void Take(const Result<store::TableRows>& result, bool is_whole) {
    if (!IsOk(result)) {
      Fail(ErrorOf(result));
      return;
    }
    NoteBack();
    must_read_whole = false;
    const store::TableRows& rows = ValueOf(result);
    // A peer may be behind what another one has told.
    if (rows.version >= version) {
      version = rows.version;
      if (is_whole || !rows.rows.empty()) {
        observer.OnRows(table, rows, is_whole);
      }
    }
    timer.StartOnce(kTogether);
  }

  void NoteBack() {
    pause = kFirstPause;
    if (lost_since.has_value()) {
      const Duration outage = loop.Now() - *lost_since;
      lost_since.reset();
      observer.OnStoreBack(table, outage);
    }
  }

  void Fail(const Error& error) {
    if (error.code == ErrorCode::kConflict) {
      must_read_whole = true;
      timer.StartOnce(kFirstPause);
      return;
    }
    if (!lost_since.has_value()) {
      lost_since = loop.Now();
      observer.OnStoreLost(table, error);
    }
    must_read_whole = must_read_whole || catch_up == CatchUp::kByWholeTable;
    is_pausing = true;
    std::uniform_int_distribution<std::int64_t> jitter(pause.count() / 2, pause.count());
    timer.StartOnce(milliseconds(jitter(random)));
    pause = std::min(pause * 2, kLongestPause);
  }
};

TableFollower::TableFollower(net::EventLoop& loop, RandomGenerator& random,
                             store::TableStore& store, const std::string& table, CatchUp catch_up,
                             TableFollowerObserver& observer)
    : m_impl(std::make_shared<Impl>(loop, random, store, table, catch_up, observer)) {}
TableFollower::~TableFollower() { m_impl->timer.Stop(); }

void TableFollower::Start() { m_impl->Next(); }

void TableFollower::RetryNow() {
  if (m_impl->is_pausing) {
    m_impl->timer.StartOnce(milliseconds(0));
  }
}

std::optional<TimePoint> TableFollower::LostSince() const noexcept { return m_impl->lost_since; }

}  // namespace qh::gateway
