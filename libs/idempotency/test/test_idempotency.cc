#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>

#include "quetzalhinge/idempotency/key_table.h"

namespace qh::idempotency {
namespace {

constexpr UnixMicros kSecond = 1'000'000;
constexpr UnixMicros kNow = 1'796'378'000 * kSecond;
constexpr std::uint64_t kFingerprint = 7;

auth::MessageAuthenticator MakeAuthenticator(const std::string& key) {
  return TakeValue(auth::MessageAuthenticator::Create({key}));
}

KeyHolder Self() { return {"jb-1", "6f0c2d91a4"}; }

RequestKey MakeKey(const std::string& unique, UnixMicros issued_us = kNow) {
  return {Self(), issued_us / kSecond, "0123456789abcdef", unique};
}

KeyTable MakeTable(const KeyTableOptions& options = {}) {
  RandomGenerator generator(1);
  return {Self(), options, generator};
}

KeyRefusal RefusalOf(const BeginResult& result) { return std::get<KeyRefusal>(result); }
KeyRefusal RefusalOf(const ResolveResult& result) { return std::get<KeyRefusal>(result); }
KeyTicket TicketOf(const BeginResult& result) { return std::get<KeyStarted>(result).ticket; }

TEST_CASE("A caller builds a key from the prefix in an address response") {
  const auth::MessageAuthenticator authenticator = MakeAuthenticator("the deployment's key");
  const RequestKeyAuthority authority(authenticator);
  const std::string prefix = authority.IssuePrefix(Self(), kNow + 5);
  const Result<RequestKey> key = authority.Accept(prefix + ".order-17");
  REQUIRE(IsOk(key));
  CHECK(ValueOf(key).holder == Self());
  CHECK(ValueOf(key).issued_unix_s == kNow / kSecond);
  CHECK(ValueOf(key).unique == "order-17");
  CHECK(ValueOf(key).Text() == prefix + ".order-17");

  SECTION("a prefix with a wrong deployment, holder or time of issue is rejected") {
    const auth::MessageAuthenticator other = MakeAuthenticator("another deployment");
    CHECK(ErrorOf(RequestKeyAuthority(other).Accept(prefix + ".x")).code ==
          ErrorCode::kUnauthenticated);
    const std::string mac = prefix.substr(prefix.rfind('.'));
    for (const char* part : {"jb-2.6f0c2d91a4.1796378000", "jb-1.6f0c2d91a5.1796378000",
                             "jb-1.6f0c2d91a4.1796378001"}) {
      CHECK(ErrorOf(authority.Accept(part + mac + ".x")).code == ErrorCode::kUnauthenticated);
    }
  }
  SECTION("a non-canonical form is rejected, so that two spellings of a key cannot both run") {
    const std::string mac = ".0123456789abcdef";
    const std::vector<std::string> texts{
        "",
        "own-key",
        prefix,
        prefix + ".",
        prefix + ".a.b",
        prefix + ".a b",
        prefix + "." + std::string(65, 'x'),
        "jb-1.6F0C2D91A4.1796378000" + mac + ".x",
        "jb-1.6f0c2d91a4.01796378000" + mac + ".x",
        "jb-1.6f0c2d91a4.+1796378000" + mac + ".x",
        "jb-1.6f0c2d91a4.1796378000.0123456789ABCDEF.x",
        "jb-1.6f0c2d91a4.1796378000.01234567.x",
        ".6f0c2d91a4.1796378000" + mac + ".x",
    };
    for (const std::string& text : texts) {
      CAPTURE(text);
      CHECK_FALSE(IsOk(ParseRequestKey(text)));
    }
  }
}

TEST_CASE("A key is started only once") {
  KeyTable table = MakeTable();
  const RequestKey key = MakeKey("a");
  const KeyTicket ticket = TicketOf(table.Begin(key, kFingerprint, kNow));
  CHECK(RefusalOf(table.Begin(key, kFingerprint, kNow)) == KeyRefusal::kInProgress);
  CHECK(RefusalOf(table.Begin(key, kFingerprint + 1, kNow)) == KeyRefusal::kReused);
  CHECK(RefusalOf(table.ResolveForPeer(key, kFingerprint, kNow)) == KeyRefusal::kInProgress);

  SECTION("its response is replayed to callers and peers until retention ends") {
    REQUIRE(table.FinishDone(ticket, {201, {{"x", "y"}}, "entered"}));
    CHECK_FALSE(table.FinishUnknown(ticket));
    const UnixMicros late = kNow + 599 * kSecond;
    CHECK(std::get<KeyReplay>(table.Begin(key, kFingerprint, late)).response->body == "entered");
    CHECK(std::get<KeyReplay>(table.ResolveForPeer(key, kFingerprint, late)).response->status ==
          201);
    CHECK(table.ResponseBytes() > 0);
    CHECK(RefusalOf(table.Begin(key, kFingerprint, late + kSecond)) == KeyRefusal::kRetentionEnded);
    CHECK(table.Size() == 0);
    CHECK(table.ResponseBytes() == 0);
  }
  SECTION("an unknown outcome stays unknown") {
    REQUIRE(table.FinishUnknown(ticket));
    CHECK_FALSE(table.ReleaseNotRun(ticket));
    CHECK(RefusalOf(table.Begin(key, kFingerprint, kNow)) == KeyRefusal::kOutcomeUnknown);
  }
  SECTION("a released key can start again, and its earlier ticket has no effect") {
    REQUIRE(table.ReleaseNotRun(ticket));
    const KeyTicket second = TicketOf(table.Begin(key, kFingerprint, kNow));
    CHECK_FALSE(table.FinishDone(ticket, {}));
    CHECK(table.RefuseNotRun(second));
    CHECK(RefusalOf(table.Begin(key, kFingerprint, kNow)) == KeyRefusal::kRefused);
  }
  SECTION("a request that runs beyond the end of retention is unknown and cannot start again") {
    CHECK(RefusalOf(table.Begin(key, kFingerprint, kNow + 600 * kSecond)) ==
          KeyRefusal::kRetentionEnded);
    CHECK_FALSE(table.FinishDone(ticket, {}));
  }
}

TEST_CASE("A key can start only within its validity and at its holder") {
  KeyTable table = MakeTable();
  CHECK(RefusalOf(table.Begin(MakeKey("old", kNow - 121 * kSecond), kFingerprint, kNow)) ==
        KeyRefusal::kExpired);
  CHECK(RefusalOf(table.Begin(MakeKey("ahead", kNow + 31 * kSecond), kFingerprint, kNow)) ==
        KeyRefusal::kNotYetValid);
  CHECK(RefusalOf(table.ResolveForPeer(MakeKey("ahead", kNow + 31 * kSecond), kFingerprint,
                                       kNow)) == KeyRefusal::kNotBarred);
  CHECK(std::holds_alternative<KeyStarted>(
      table.Begin(MakeKey("edge", kNow - 120 * kSecond), kFingerprint, kNow)));
  RequestKey foreign = MakeKey("x");
  foreign.holder.incarnation = "00000000";
  CHECK(RefusalOf(table.Begin(foreign, kFingerprint, kNow)) == KeyRefusal::kLost);
  foreign.holder.vm = "jb-2";
  CHECK(RefusalOf(table.Begin(foreign, kFingerprint, kNow)) == KeyRefusal::kOtherHolder);

  SECTION("setting the wall clock back makes no key startable again") {
    const RequestKey key = MakeKey("a");
    table.FinishUnknown(TicketOf(table.Begin(key, kFingerprint, kNow)));
    table.Expire(kNow + 700 * kSecond);
    CHECK(RefusalOf(table.Begin(key, kFingerprint, kNow)) == KeyRefusal::kRetentionEnded);
  }
}

TEST_CASE("A full table rejects new keys and keeps the outcomes of earlier ones") {
  KeyTableOptions options;
  options.max_entries = 2;
  options.max_response_bytes = 1000;
  KeyTable table = MakeTable(options);
  const KeyTicket first = TicketOf(table.Begin(MakeKey("a"), kFingerprint, kNow));
  REQUIRE(table.FinishDone(first, {200, {}, std::string(2000, 'x')}));
  CHECK(RefusalOf(table.Begin(MakeKey("a"), kFingerprint, kNow)) == KeyRefusal::kOutcomeUnknown);
  table.Begin(MakeKey("b"), kFingerprint, kNow);
  CHECK(RefusalOf(table.Begin(MakeKey("c"), kFingerprint, kNow)) == KeyRefusal::kTableFull);
  // Guards against reporting "not run" to a peer without blocking the delayed original request.
  CHECK(RefusalOf(table.ResolveForPeer(MakeKey("c"), kFingerprint, kNow)) ==
        KeyRefusal::kNotBarred);
  CHECK_FALSE(AnswerTo(KeyRefusal::kNotBarred).not_run);
  CHECK(table.ResponseBytes() <= 1000);
}

TEST_CASE("A key that was first resolved for a peer does not start later") {
  KeyTable table = MakeTable();
  const RequestKey key = MakeKey("a");
  CHECK(RefusalOf(table.ResolveForPeer(key, kFingerprint, kNow)) == KeyRefusal::kRefused);
  CHECK(RefusalOf(table.Begin(key, kFingerprint, kNow)) == KeyRefusal::kRefused);
}

TEST_CASE("The status and outcome of each refusal agree") {
  for (int i = 0; i <= static_cast<int>(KeyRefusal::kNotBarred); ++i) {
    const KeyAnswer answer = AnswerTo(static_cast<KeyRefusal>(i));
    CAPTURE(answer.code);
    CHECK(answer.not_run == (answer.status == 422 || answer.status == 503));
  }
}

/** Expected state of one key in the property test. */
struct KeyHistory {
  int starts_not_released = 0;
  bool is_barred = false;
};

void CheckResult(KeyHistory& history, const KeyRefusal* refusal, bool is_started, bool is_peer) {
  if (is_started) {
    RC_ASSERT(!history.is_barred);
    RC_ASSERT(++history.starts_not_released == 1);
  } else if (refusal != nullptr && AnswerTo(*refusal).not_run) {
    RC_ASSERT(history.starts_not_released == 0);
    // With the other codes the caller may send the same key again.
    history.is_barred |= is_peer || std::string(AnswerTo(*refusal).code) == "key_refused";
  }
}

TEST_CASE(
    "Under any sequence of calls a key starts at most once and not-run is reported correctly") {
  // Guards against running a request twice (P4) and against reporting "not run" for a request that
  // ran or will run (P3). Time jumps forwards and backwards, tickets are finished twice and the
  // table fills up.
  const bool holds = rc::check([] {
    KeyTableOptions options;
    options.max_entries = 3;
    options.max_response_bytes = 400;
    KeyTable table = MakeTable(options);
    std::map<std::string, KeyHistory> histories;
    std::vector<std::pair<std::string, KeyTicket>> tickets;
    UnixMicros now = kNow;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 5)));
    for (const auto& [action, choice] : steps) {
      const RequestKey key = MakeKey(std::to_string(choice));
      KeyHistory& history = histories[key.unique];
      const bool has_ticket = !tickets.empty();
      const auto chosen = has_ticket ? tickets[static_cast<std::size_t>(choice) % tickets.size()]
                                     : std::pair<std::string, KeyTicket>{};
      if (action <= 2) {
        const BeginResult result = table.Begin(key, kFingerprint, now);
        const auto* started = std::get_if<KeyStarted>(&result);
        CheckResult(history, std::get_if<KeyRefusal>(&result), started != nullptr, false);
        if (started != nullptr) {
          tickets.emplace_back(key.unique, started->ticket);
        }
      } else if (action == 3) {
        const ResolveResult result = table.ResolveForPeer(key, kFingerprint, now);
        CheckResult(history, std::get_if<KeyRefusal>(&result), false, true);
      } else if (action == 4) {
        now += (choice == 4 ? -300 : 1 << (3 * choice)) * kSecond;
      } else if (has_ticket && action == 5) {
        table.FinishDone(chosen.second, {200, {}, std::string(100, 'x')});
      } else if (has_ticket && action == 6) {
        table.FinishUnknown(chosen.second);
      } else if (has_ticket && table.ReleaseNotRun(chosen.second)) {
        --histories[chosen.first].starts_not_released;
      }
      RC_ASSERT(table.Size() <= 3U);
      RC_ASSERT(table.ResponseBytes() <= 400U);
    }
  });
  CHECK(holds);
}

}  // namespace
}  // namespace qh::idempotency
