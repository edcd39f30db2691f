#include "quetzalhinge/gateway/table_follower.h"

#include <algorithm>
#include <random>
#include <utility>

#include "quetzalhinge/logging/log.h"
#include "quetzalhinge/net/timer.h"

namespace qh::gateway {
namespace {

using std::chrono::milliseconds;

/** Time-out of one wait for changes; the store allows up to 30 s. */
constexpr milliseconds kChangeWait{25000};

/** Pause between two waits, so that changes in quick succession are read in one batch. */
constexpr milliseconds kBatchPause{20};

/** Backoff after a failure, doubled with each further failure up to the maximum. */
constexpr milliseconds kMinBackoff{100};
constexpr milliseconds kMaxBackoff{800};

}  // namespace

struct TableFollower::Impl : public std::enable_shared_from_this<TableFollower::Impl> {
  net::EventLoop& loop;
  RandomGenerator& random;
  ConfirmedTableStore& store;
  std::string table;
  CatchUp catch_up;
  TableFollowerObserver& observer;
  net::Timer timer;
  ConfirmationSchedule schedule;
  net::Timer check_timer;
  std::uint64_t version = 0;
  bool needs_full_read = true;
  /** Whether the next check reads the whole table, because the last one failed. */
  bool check_needs_full_read = false;
  /** Whether the check that is due waits for the end of a response. */
  bool is_check_postponed = false;
  /** Whether the timer runs for the backoff after a failure. */
  bool is_backing_off = false;
  milliseconds backoff = kMinBackoff;
  std::optional<TimePoint> unavailable_since;

  Impl(net::EventLoop& event_loop, RandomGenerator& generator, ConfirmedTableStore& table_store,
       std::string table_name, CatchUp catch_up_mode, const ConfirmationLimits& limits,
       TableFollowerObserver& follower_observer)
      : loop(event_loop),
        random(generator),
        store(table_store),
        table(std::move(table_name)),
        catch_up(catch_up_mode),
        observer(follower_observer),
        timer(loop, [this] { StartRead(); }),
        schedule(limits, loop.Now()),
        check_timer(loop, [this] { CheckIfDue(); }) {}

  void Start() {
    schedule.OnConfirmed(loop.Now());
    ScheduleCheck();
    StartRead();
  }

  void StartRead() {
    is_backing_off = false;
    const auto weak = weak_from_this();
    if (needs_full_read) {
      store.ReadTable(table, [weak](const Result<store::TableRows>& result) {
        if (const auto self = weak.lock()) {
          self->OnResult(result, true);
        }
      });
      return;
    }
    store.AwaitChanges(table, version, kChangeWait, [weak](const Result<store::TableRows>& result) {
      if (const auto self = weak.lock()) {
        self->OnResult(result, false);
      }
    });
  }

  void OnResult(const Result<store::TableRows>& result, bool is_complete) {
    if (!IsOk(result)) {
      OnFailure(ErrorOf(result));
      return;
    }
    Accept(ValueOf(result), is_complete);
    timer.StartOnce(kBatchPause);
  }

  void Accept(const store::TableRows& rows, bool is_complete) {
    MarkAvailable();
    needs_full_read = needs_full_read && !is_complete;
    // A peer may be behind the version that another peer has sent.
    if (rows.version >= version) {
      version = rows.version;
      if (is_complete || !rows.rows.empty()) {
        observer.OnRows(table, rows, is_complete);
      }
    }
  }

  void ScheduleCheck() {
    const Duration left = std::max(Duration{}, schedule.NextCheck() - loop.Now());
    check_timer.StartOnce(std::chrono::ceil<milliseconds>(left));
  }

  void CheckIfDue() {
    const auto confirmed_at = store.ConfirmedAt(table);
    if (confirmed_at.has_value()) {
      schedule.OnConfirmed(*confirmed_at);
    }
    if (loop.Now() < schedule.NextCheck()) {
      ScheduleCheck();
    } else if (store.IsReceiving(table)) {
      PostponeCheck();
    } else {
      is_check_postponed = false;
      StartCheck();
      ScheduleCheck();
    }
  }

  /** Waits with the check of the store, which would only delay the rows that are arriving. */
  void PostponeCheck() {
    if (!std::exchange(is_check_postponed, true)) {
      logging::LogDecision("store", "check postponed",
                           {{"table", table}, {"reason", "rows are arriving"}});
      StartPeerCheck();
    }
    check_timer.StartOnce(kReceivingPause);
  }

  void CheckNow() {
    if (store.IsReceiving(table)) {
      StartPeerCheck();
    } else {
      StartCheck();
    }
  }

  void StartCheck() {
    schedule.OnCheckStarted(loop.Now());
    StartPeerCheck();
    CheckStore();
  }

  void CheckStore() {
    const bool is_complete = needs_full_read || check_needs_full_read;
    store.CheckStore(
        table, is_complete ? std::nullopt : std::optional(version),
        [weak = weak_from_this(), is_complete](const Result<store::TableRows>& result) {
          if (const auto self = weak.lock()) {
            self->OnCheckResult(result, is_complete);
          }
        });
  }

  /** Asks other VMs beside the store, since the store may answer them but not this VM. */
  void StartPeerCheck() {
    store.CheckPeers(table, version,
                     [weak = weak_from_this()](const store::TableRows& rows, bool is_complete) {
                       if (const auto self = weak.lock()) {
                         self->OnPeerCheckResult(rows, is_complete);
                       }
                     });
  }

  void OnPeerCheckResult(const store::TableRows& rows, bool is_complete) {
    if (rows.version >= version && !rows.rows.empty()) {
      version = rows.version;
      observer.OnRows(table, rows, is_complete);
    }
  }

  void OnCheckResult(const Result<store::TableRows>& result, bool is_complete) {
    if (IsOk(result)) {
      check_needs_full_read = false;
      Accept(ValueOf(result), is_complete);
      EndBackoff();
    } else if (ErrorOf(result).code == ErrorCode::kConflict && !is_complete) {
      check_needs_full_read = true;
      CheckStore();
    } else {
      check_needs_full_read = check_needs_full_read || catch_up == CatchUp::kFullRead;
    }
  }

  /** Starts the next read at once if it waits for the end of the backoff. */
  void EndBackoff() {
    if (is_backing_off) {
      timer.StartOnce(milliseconds(0));
    }
  }

  void MarkAvailable() {
    backoff = kMinBackoff;
    if (unavailable_since.has_value()) {
      const Duration outage = loop.Now() - *unavailable_since;
      unavailable_since.reset();
      observer.OnStoreAvailable(table, outage);
    }
  }

  void OnFailure(const Error& error) {
    if (error.code == ErrorCode::kConflict) {
      needs_full_read = true;
      timer.StartOnce(kMinBackoff);
      return;
    }
    if (!unavailable_since.has_value()) {
      unavailable_since = loop.Now();
      observer.OnStoreUnavailable(table, error);
    }
    needs_full_read = needs_full_read || catch_up == CatchUp::kFullRead;
    is_backing_off = true;
    std::uniform_int_distribution<std::int64_t> jitter(backoff.count() / 2, backoff.count());
    timer.StartOnce(milliseconds(jitter(random)));
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
};

TableFollower::TableFollower(net::EventLoop& loop, RandomGenerator& random,
                             ConfirmedTableStore& store, const std::string& table, CatchUp catch_up,
                             const ConfirmationLimits& limits, TableFollowerObserver& observer)
    : m_impl(std::make_shared<Impl>(loop, random, store, table, catch_up, limits, observer)) {}

TableFollower::~TableFollower() {
  m_impl->timer.Stop();
  m_impl->check_timer.Stop();
}

void TableFollower::Start() { m_impl->Start(); }

void TableFollower::RetryNow() { m_impl->EndBackoff(); }

void TableFollower::CheckNow() { m_impl->CheckNow(); }

void TableFollower::SetMinCheckRetry(Duration interval) { m_impl->schedule.SetMinRetry(interval); }

std::optional<TimePoint> TableFollower::UnavailableSince() const noexcept {
  return m_impl->unavailable_since;
}

}  // namespace qh::gateway
