#include <catch2/catch.hpp>

#include "quetzalhinge/auth/message_authenticator.h"
#include "quetzalhinge/auth/operator_token.h"

namespace qh::auth {
namespace {

constexpr UnixMicros kNow = 1'796'378'000'000'000;
constexpr UnixMicros kSecond = 1'000'000;
constexpr const char* kKey = "a deployment's key of 32 bytes..";
constexpr const char* kOtherKey = "another key, at least 16 bytes";

MessageAuthenticator MakeAuthenticator(std::vector<std::string> keys) {
  return TakeValue(MessageAuthenticator::Create(std::move(keys)));
}

ErrorCode CodeOf(const Result<OpenedDatagram>& result) { return ErrorOf(result).code; }

TEST_CASE("A datagram passes between VMs with the same key") {
  MessageAuthenticator sender = MakeAuthenticator({kKey});
  MessageAuthenticator receiver = MakeAuthenticator({kKey});
  const std::string datagram = sender.Seal("jb-1", "payload", kNow);
  CHECK(datagram.size() == 7 + MessageAuthenticator::OverheadBytes(4));
  const Result<OpenedDatagram> opened = receiver.Open(datagram, kNow + 500);
  REQUIRE(IsOk(opened));
  CHECK(ValueOf(opened).sender == "jb-1");
  CHECK(ValueOf(opened).payload == "payload");
  CHECK(ValueOf(opened).age == std::chrono::microseconds(500));

  SECTION("replayed and out-of-order datagrams are rejected and later ones accepted") {
    const std::string second = sender.Seal("jb-1", "2", kNow);
    const std::string third = sender.Seal("jb-1", "3", kNow);
    CHECK(CodeOf(receiver.Open(datagram, kNow + 600)) == ErrorCode::kConflict);
    CHECK(IsOk(receiver.Open(third, kNow)));
    CHECK(CodeOf(receiver.Open(second, kNow)) == ErrorCode::kConflict);
    CHECK(IsOk(receiver.Open(sender.Seal("jb-1", "4", kNow - kSecond), kNow)));
  }
  SECTION("a restarted receiver rejects datagrams with a stamp outside max_age") {
    MessageAuthenticator restarted = MakeAuthenticator({kKey});
    CHECK(CodeOf(restarted.Open(datagram, kNow + 2 * kSecond + 1)) == ErrorCode::kTimeout);
    CHECK(CodeOf(restarted.Open(datagram, kNow - 2 * kSecond - 1)) == ErrorCode::kTimeout);
    CHECK(IsOk(restarted.Open(datagram, kNow + 2 * kSecond)));
  }
  SECTION("modified and truncated datagrams are rejected") {
    for (std::size_t i = 0; i < datagram.size(); ++i) {
      std::string forged = sender.Seal("jb-1", "payload", kNow);
      forged[i] = static_cast<char>(forged[i] ^ 1);
      CHECK_FALSE(IsOk(receiver.Open(forged, kNow)));
      CHECK_FALSE(IsOk(receiver.Open(datagram.substr(0, i), kNow)));
    }
  }
  SECTION("replays are detected while stamps of thousands of old senders are evicted") {
    for (int i = 0; i < 5000; ++i) {
      const UnixMicros now = kNow + i * kSecond;
      const std::string other = sender.Seal("vm-" + std::to_string(i), "", now);
      REQUIRE(IsOk(receiver.Open(other, now)));
      REQUIRE(CodeOf(receiver.Open(other, now)) == ErrorCode::kConflict);
    }
  }
}

TEST_CASE("Keys are rotated without rejecting valid datagrams") {
  MessageAuthenticator old_vm = MakeAuthenticator({kKey});
  MessageAuthenticator both = MakeAuthenticator({kOtherKey, kKey});
  MessageAuthenticator new_vm = MakeAuthenticator({kOtherKey});
  CHECK(IsOk(both.Open(old_vm.Seal("a", "", kNow), kNow)));
  CHECK(IsOk(new_vm.Open(both.Seal("b", "", kNow), kNow)));
  CHECK(CodeOf(new_vm.Open(old_vm.Seal("a", "", kNow), kNow)) == ErrorCode::kUnauthenticated);
  CHECK_FALSE(IsOk(MessageAuthenticator::Create({})));
  CHECK_FALSE(IsOk(MessageAuthenticator::Create({kKey, "short"})));
}

TEST_CASE("A MAC is HMAC-SHA-256 and bound to its purpose") {
  // Computed with Python's hmac module over "use\0data" under kKey.
  const MessageAuthenticator authenticator = MakeAuthenticator({kKey});
  const std::string mac = authenticator.Mac("use", "data");
  CHECK(mac.substr(0, 4) == "\346\353\375\257");
  CHECK(authenticator.Verify("use", "data", mac));
  CHECK(authenticator.Verify("use", "data", mac.substr(0, 8)));
  CHECK_FALSE(authenticator.Verify("use", "data", mac.substr(0, 7)));
  CHECK_FALSE(authenticator.Verify("other", "data", mac));
  CHECK_FALSE(authenticator.Verify("use", "Data", mac));
}

TEST_CASE("An operator needs the bearer token") {
  const OperatorToken token("s3cret");
  CHECK(token.Accepts("Bearer s3cret"));
  CHECK(token.Accepts("bearer s3cret"));
  for (const char* wrong : {"", "Bearer", "Bearer ", "Bearer s3cre", "Bearer s3crets", "s3cret",
                            "Basic s3cret", "Bearer  s3cret"}) {
    CAPTURE(wrong);
    CHECK_FALSE(token.Accepts(wrong));
  }
  CHECK_FALSE(OperatorToken("").Accepts("Bearer "));
}

}  // namespace
}  // namespace qh::auth
