#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "quetzalhinge/contract/contract_book.h"

namespace qh::contract {
namespace {

using std::chrono::milliseconds;

ContractChange MakeChange(Revision revision, const std::string& customer, bool is_removal = false) {
  ContractChange change{revision, revision, customer, "op-" + std::to_string(revision),
                        "dewi",   0,        nullptr};
  if (!is_removal) {
    Contract contract;
    contract.customer = customer;
    contract.limits.requests_per_second = static_cast<double>(revision);
    contract.limits.burst = 1;
    contract.limits.requests_in_progress = 1;
    contract.services.push_back({"katalog", milliseconds(100), {}});
    change.contract = std::make_shared<const Contract>(std::move(contract));
  }
  return change;
}

/** Returns a history in which every seventh change removes a contract. */
std::vector<ContractChange> MakeHistory(std::size_t length) {
  std::vector<ContractChange> history;
  for (Revision revision = 1; revision <= length; ++revision) {
    history.push_back(MakeChange(revision, "c" + std::to_string(revision % 5), revision % 7 == 0));
  }
  return history;
}

ContractBook BookAt(const std::vector<ContractChange>& history, Revision revision,
                    ContractBookOptions options = {}) {
  ContractBook book(options);
  for (Revision i = 0; i < revision; ++i) {
    book.Apply(history[i]);
  }
  return book;
}

bool HaveSameContracts(const ContractBook& a, const ContractBook& b) {
  if (a.Customers() != b.Customers() || a.CurrentRevision() != b.CurrentRevision()) {
    return false;
  }
  for (const std::string& customer : a.Customers()) {
    if (!(*a.Find(customer) == *b.Find(customer))) {
      return false;
    }
  }
  return true;
}

TEST_CASE("A book applies accepted changes in order") {
  const std::vector<ContractChange> history = MakeHistory(20);
  ContractBook book = BookAt(history, 3);
  CHECK(book.Apply(history[2]) == ApplyOutcome::kAlreadyKnown);
  CHECK(book.Apply(history[5]) == ApplyOutcome::kGap);
  CHECK(book.CurrentRevision() == 3);
  CHECK(book.IsBehind());
  CHECK(book.RevisionOfOperation("op-2") == Revision{2});

  SECTION("a different change at a known revision, or an invalid one, is a conflict") {
    CHECK(book.Apply(MakeChange(2, "intruder")) == ApplyOutcome::kConflict);
    ContractChange invalid = MakeChange(4, "c4");
    invalid.customer = "c3";
    CHECK(book.Apply(invalid) == ApplyOutcome::kConflict);
    CHECK(book.CurrentRevision() == 3);
  }
  SECTION("the changes from a peer close the gap") {
    const ContractBook peer = BookAt(history, 20);
    const ChangesAnswer changes = peer.ChangesSince(book.CurrentRevision());
    for (const ContractChange& change : std::get<std::vector<ContractChange>>(changes)) {
      CHECK(book.Apply(change) == ApplyOutcome::kApplied);
    }
    CHECK(HaveSameContracts(book, peer));
    CHECK(std::get<std::vector<ContractChange>>(peer.ChangesSince(3, 2)).size() == 2);
    CHECK(std::get<std::vector<ContractChange>>(peer.ChangesSince(25)).empty());
  }
  SECTION("a peer whose log is too short returns a snapshot") {
    ContractBookOptions options;
    options.log_capacity = 4;
    const ContractBook peer = BookAt(history, 20, options);
    const auto snapshot = std::get<ContractSnapshot>(peer.ChangesSince(3));
    CHECK(book.ApplySnapshot(snapshot));
    CHECK(HaveSameContracts(book, peer));
    CHECK_FALSE(book.ApplySnapshot(snapshot));
    CHECK(std::holds_alternative<ContractSnapshot>(book.ChangesSince(19)));
    CHECK(std::get<std::vector<ContractChange>>(peer.ChangesSince(16)).size() == 4);
  }
  SECTION("a contract in use remains valid after its removal") {
    const auto in_use = book.Find("c1");
    ContractSnapshot empty;
    empty.revision = 9;
    CHECK(book.ApplySnapshot(empty));
    CHECK(book.Find("c1") == nullptr);
    CHECK(in_use->customer == "c1");
  }
}

TEST_CASE("The revision of a book never decreases and no change is skipped") {
  // Guards against an accepted contract being reverted (guarantee P7) when changes and snapshots
  // are lost, duplicated or reordered.
  const bool holds = rc::check([] {
    const std::vector<ContractChange> history = MakeHistory(30);
    ContractBook book;
    for (const int arrival : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60))) {
      const Revision before = book.CurrentRevision();
      if (arrival < 30) {
        book.Apply(history[static_cast<std::size_t>(arrival)]);
        RC_ASSERT(book.CurrentRevision() <= before + 1);
      } else if (arrival < 35) {
        book.ApplySnapshot(BookAt(history, static_cast<Revision>(arrival - 30) * 6).Snapshot());
      } else {
        book.Apply(history[before % 30]);
      }
      RC_ASSERT(book.CurrentRevision() >= before);
      RC_ASSERT(HaveSameContracts(book, BookAt(history, book.CurrentRevision())));
    }
  });
  CHECK(holds);
}

TEST_CASE("A book is confirmed only by recent statements of its current revision") {
  const TimePoint start{};
  const std::vector<ContractChange> history = MakeHistory(5);
  ContractBook book = BookAt(history, 3);
  CHECK_FALSE(book.IsConfirmed(start));
  book.Confirm(3, start);
  CHECK(book.IsConfirmed(start + milliseconds(4000)));
  CHECK_FALSE(book.IsConfirmed(start + milliseconds(4001)));

  SECTION("an older statement that arrives late does not shorten the confirmation") {
    book.Confirm(3, start - milliseconds(3000));
    CHECK(book.IsConfirmed(start + milliseconds(4000)));
  }
  SECTION("a peer with an older revision does not confirm the book") {
    book.Confirm(2, start + milliseconds(1000));
    CHECK_FALSE(book.IsConfirmed(start + milliseconds(4001)));
  }
  SECTION("after a newer revision is observed, only that revision can be confirmed") {
    book.Confirm(4, start + milliseconds(1000));
    book.Confirm(3, start + milliseconds(2000));
    CHECK_FALSE(book.IsConfirmed(start + milliseconds(4001)));
    book.Apply(history[3]);
    book.Confirm(4, start + milliseconds(3000));
    CHECK(book.IsConfirmed(start + milliseconds(7000)));
  }
}

}  // namespace
}  // namespace qh::contract
