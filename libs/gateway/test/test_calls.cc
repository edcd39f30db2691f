#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "call_fixture.h"

namespace qh::gateway {

using namespace std::chrono_literals;

SCENARIO("The gateway forwards requests and responses unchanged") {
  Fixture fixture;
  GIVEN("no configuration yet") {
    const http::HttpResponse response = fixture.Call();
    THEN("the caller is told to retry, as the route may exist") {
      CHECK(response.status == 503);
      CHECK(http::FindHeader(response.headers, "retry-after").has_value());
    }
  }
  GIVEN("a configuration") {
    fixture.Configure(routes::RouteKind::kSafe);
    WHEN("a worker succeeds") {
      const http::HttpResponse response = fixture.Call();
      CHECK(response.status == 200);
      CHECK(http::FindHeader(response.headers, "x-signature") == "s");
      CHECK_FALSE(http::FindHeader(response.headers, "x-load").has_value());
      REQUIRE(fixture.ExecutedCount() == 1);
      const auto& executed =
          fixture.first.executed.empty() ? fixture.second.executed[0] : fixture.first.executed[0];
      THEN("it received method, path, body and headers, with remaining time and expected worker") {
        CHECK(executed.method == "POST");
        CHECK(executed.path == "/a/b?c=d");
        CHECK(executed.body == "body");
        CHECK(http::FindHeader(executed.headers, "host") == "shop.example");
        CHECK(http::FindHeader(executed.headers, "x-other") == "y");
        CHECK(http::CountHeaders(executed.headers, "x-left") == 1);
        const std::string left(*http::FindHeader(executed.headers, "x-left"));
        CHECK(std::stoi(left) <= 15000);
        CHECK(http::FindHeader(executed.headers, "x-expect").has_value());
      }
    }
    WHEN("no route matches") {
      THEN("the status is 404") { CHECK(fixture.Call("/b/").status == 404); }
    }
    WHEN("the machine of one worker is slow") {
      fixture.first.load = "0,0,6,700";
      for (int i = 0; i < 8; ++i) {
        CHECK(fixture.Call().body == "from w-2");
      }
      THEN("it receives no requests") { CHECK(fixture.first.executed.empty()); }
    }
    WHEN("one worker is full") {
      fixture.second.load = "6,3,6,100";
      for (int i = 0; i < 8; ++i) {
        CHECK(fixture.Call().body == "from w-1");
      }
    }
    WHEN("the process is shutting down") {
      fixture.service.RefuseNewCalls();
      THEN("new requests are refused and do not run") {
        CHECK(fixture.Call().status == 503);
        CHECK(fixture.ExecutedCount() == 0);
      }
    }
  }
}

SCENARIO("A request that is not safe to retry runs at most once") {
  Fixture fixture;
  fixture.Configure(routes::RouteKind::kUnsafe);
  WHEN("the response is lost") {
    fixture.SetBehaviour(Behaviour::kCloseConnection);
    const http::HttpResponse response = fixture.Call();
    THEN("it is not retried, and the status does not guarantee that it has not run") {
      CHECK(response.status == 502);
      CHECK(fixture.ExecutedCount() == 1);
    }
  }
  WHEN("a worker reports that it did not run the request") {
    fixture.first.behaviour = Behaviour::kShed;
    THEN("the other worker receives it") {
      for (int i = 0; i < 4; ++i) {
        CHECK(fixture.Call().status == 200);
      }
    }
  }
  WHEN("all workers report that they did not run the request") {
    fixture.SetBehaviour(Behaviour::kShed);
    const http::HttpResponse response = fixture.Call();
    THEN("the caller is refused with a retry-after header") {
      CHECK(response.status == 503);
      CHECK(http::FindHeader(response.headers, "retry-after").has_value());
      CHECK(fixture.ExecutedCount() == 0);
    }
  }
  WHEN("a worker sends a 503 without the header that the request did not run") {
    fixture.SetBehaviour(Behaviour::kShedWithoutHeader);
    const http::HttpResponse response = fixture.Call();
    THEN("the status does not guarantee that it has not run") {
      CHECK(response.status == 502);
      CHECK(fixture.ExecutedCount() == 1);
    }
  }
  // Guards against work that runs twice, or whose caller is told that it has not run, because a
  // refusal of an earlier request or probe is taken for the response.
  WHEN("a worker sends an earlier refusal once more before its response") {
    fixture.SetBehaviour(Behaviour::kRepeatOldRefusal);
    const http::HttpResponse response = fixture.Call();
    THEN("the refusal is discarded, because it does not name the request") {
      CHECK(response.status == 200);
      CHECK(fixture.ExecutedCount() == 1);
    }
  }
  // Guards against a caller that gets a second response of the worker, or none until its deadline,
  // after a response with an invalid status code.
  WHEN("a worker sends a response with status 000") {
    fixture.SetBehaviour(Behaviour::kStatusZero);
    const http::HttpResponse response = fixture.Call();
    THEN("the attempt has failed, and the request may have run") {
      CHECK(response.status == 502);
      CHECK(response.body.empty());
      CHECK(fixture.ExecutedCount() == 1);
    }
  }
  // Guards against a caller that gets a body that the worker did not send.
  WHEN("a worker sends a response with a blank in the name of a field") {
    fixture.SetBehaviour(Behaviour::kBlankInName);
    const http::HttpResponse response = fixture.Call();
    THEN("the attempt has failed, and the request may have run") {
      CHECK(response.status == 502);
      CHECK(response.body.empty());
      CHECK(fixture.ExecutedCount() == 1);
    }
  }
  // Guards against a caller that gets a part of a body as the whole one.
  WHEN("a worker resets the connection within a response without a length") {
    fixture.SetBehaviour(Behaviour::kResetDuringUpload);
    fixture.body.assign(200'000, 'u');
    const http::HttpResponse response = fixture.Call();
    THEN("the attempt has failed, and the request may have run") {
      CHECK(response.status == 502);
      CHECK(response.body.empty());
      CHECK(fixture.ExecutedCount() == 1);
    }
  }
  // Guards against a VM that buffers bytes without end until the deadline or the end of its memory.
  WHEN("a worker sends a body without end") {
    fixture.SetBehaviour(Behaviour::kEndlessBody);
    const http::HttpResponse response = fixture.Call();
    THEN("the attempt ends before the deadline, and the request may have run") {
      CHECK(response.status == 502);
      CHECK(fixture.ExecutedCount() == 1);
    }
  }
  WHEN("a worker sends a failure response") {
    fixture.SetBehaviour(Behaviour::kFail);
    const http::HttpResponse response = fixture.Call();
    THEN("the response is forwarded unchanged") {
      CHECK(response.status == 500);
      CHECK(response.body == "failed");
      CHECK(fixture.ExecutedCount() == 1);
    }
  }
}

SCENARIO("A safe request is retried") {
  Fixture fixture;
  fixture.Configure(routes::RouteKind::kSafe);
  WHEN("one worker closes its connections without a response") {
    fixture.first.behaviour = Behaviour::kCloseConnection;
    THEN("the other worker serves the request") {
      for (int i = 0; i < 6; ++i) {
        CHECK(fixture.Call().status == 200);
      }
    }
  }
  WHEN("one worker sends broken responses") {
    fixture.first.behaviour = GENERATE(Behaviour::kStatusZero, Behaviour::kBlankInName);
    THEN("the other worker serves the request") {
      for (int i = 0; i < 6; ++i) {
        CHECK(fixture.Call().body == "from w-2");
      }
    }
  }
  WHEN("both workers fail") {
    fixture.SetBehaviour(Behaviour::kFail);
    const http::HttpResponse response = fixture.Call();
    THEN("there are no more attempts than the route allows") {
      CHECK(response.status == 500);
      CHECK(fixture.ExecutedCount() == 2);
    }
  }
}

// Guards against a call that hangs until its deadline: the first attempt fails while a worker for
// the hedged request is picked, and no worker is found.
SCENARIO("A first attempt that fails while a hedged request is prepared is handled") {
  Fixture fixture;
  fixture.Configure(routes::RouteKind::kSafe, 20s, 400ms);
  fixture.first.behaviour = Behaviour::kNeverRespond;
  fixture.second.load = "6,3,6,100";
  std::optional<http::HttpCallResult> result;
  fixture.caller->Start(fixture.Request(),
                        [&](http::HttpCallResult value) { result = std::move(value); });
  fixture.RunUntil([&] { return fixture.first.executed.size() == 1; });
  // The second worker does not respond to the probe for the hedged request.
  fixture.second.responds_to_probes = false;
  const int probes = fixture.second.probes;
  const TimePoint sent_at = fixture.loop.Now();
  fixture.RunUntil([&] { return fixture.second.probes > probes; });
  fixture.first.BreakConnections();
  fixture.RunUntil([&] { return result.has_value(); });
  REQUIRE(std::holds_alternative<http::HttpResponse>(*result));
  // Half of the caller's deadline: the call did not wait until then.
  CHECK(fixture.loop.Now() - sent_at < 7500ms);
}

SCENARIO("Work is cancelled if the caller disconnects or the deadline passes") {
  Fixture fixture;
  WHEN("the caller disconnects") {
    fixture.Configure(routes::RouteKind::kSafe);
    fixture.SetBehaviour(Behaviour::kNeverRespond);
    fixture.caller->Start(fixture.Request(), [](const http::HttpCallResult&) {});
    fixture.RunUntil([&] { return fixture.ExecutedCount() == 1; });
    fixture.caller.reset();
    THEN("the connection to the worker is closed") {
      fixture.RunUntil(
          [&] { return fixture.first.closed_connections + fixture.second.closed_connections > 0; });
      CHECK(fixture.server.InProgress() == 0);
    }
  }
  WHEN("the time-out of the route passes") {
    fixture.Configure(routes::RouteKind::kUnsafe, 300ms);
    fixture.SetBehaviour(Behaviour::kNeverRespond);
    const http::HttpResponse response = fixture.Call();
    THEN("the status is 504 and the connection to the worker is closed") {
      CHECK(response.status == 504);
      fixture.RunUntil(
          [&] { return fixture.first.closed_connections + fixture.second.closed_connections > 0; });
    }
  }
}

SCENARIO("A caller refused by workers with free slots is told to retry soon") {
  Fixture fixture;
  fixture.Configure(routes::RouteKind::kUnsafe, 20s, 600ms);
  fixture.SetBehaviour(Behaviour::kShed);
  const http::HttpResponse response = fixture.Call();
  CHECK(response.status == 503);
  const auto wait = http::FindHeader(response.headers, "retry-after");
  REQUIRE(wait.has_value());
  CHECK(std::stod(std::string(*wait)) <= 0.06);
}

SCENARIO("A caller that is refused because all workers are full is told to wait for free slots") {
  Fixture fixture;
  fixture.Configure(routes::RouteKind::kSafe, 20s, 300ms);
  fixture.second.load = "6,3,6,100";
  for (int i = 0; i < 4; ++i) {
    REQUIRE(fixture.Call().body == "from w-1");
  }
  WHEN("the worker with free slots refuses the request because its slots are now in use") {
    fixture.first.behaviour = Behaviour::kShed;
    fixture.first.load = "6,3,6,100";
    const http::HttpResponse response = fixture.Call();
    CHECK(response.status == 503);
    const auto wait = http::FindHeader(response.headers, "retry-after");
    REQUIRE(wait.has_value());
    THEN("the retry-after time is long enough for slots to become free") {
      CHECK(std::stod(std::string(*wait)) >= 0.2);
    }
  }
}

// Guards against workers that get more requests than the limit that they state.
SCENARIO("A worker at the limit that it states gets no request") {
  Fixture fixture;
  fixture.Configure(routes::RouteKind::kUnsafe, 20s, 600ms);
  fixture.registry.Limits().SetVms("vm", {}, fixture.loop.Now());
  fixture.first.limit = "0";

  WHEN("another worker has no limit") {
    for (int i = 0; i < 4; ++i) {
      CHECK(fixture.Call().body == "from w-2");
    }
  }
  WHEN("all workers are at their limits") {
    fixture.second.limit = "0";
    const http::HttpResponse response = fixture.Call();
    THEN("the caller is told at once that the request has not run, and when to return") {
      CHECK(response.status == 503);
      CHECK(fixture.ExecutedCount() == 0);
      const auto wait = http::FindHeader(response.headers, "retry-after");
      REQUIRE(wait.has_value());
      CHECK(std::stod(std::string(*wait)) >= 0.2);
    }
    THEN("requests are served again when the worker states no limit any more") {
      fixture.second.limit = "";
      bool is_probed = false;
      fixture.worker_links.Probe("w-2", [&](bool /*is_healthy*/) { is_probed = true; });
      fixture.RunUntil([&] { return is_probed; });
      CHECK(fixture.Call().body == "from w-2");
    }
  }
}

SCENARIO("A request that crashes workers is quarantined") {
  Fixture fixture;
  fixture.Configure(routes::RouteKind::kSafe);
  fixture.SetBehaviour(Behaviour::kCrash);
  const http::HttpResponse first = fixture.Call();
  CHECK(first.status == 502);
  CHECK(fixture.ExecutedCount() == 2);
  fixture.RunUntil([&] {
    return std::any_of(fixture.notices.begin(), fixture.notices.end(), [](const auto& notice) {
      return notice.kind == membership::NoticeKind::kQuarantinedFingerprint;
    });
  });
  THEN("it is refused before it reaches a worker, and the other VMs are notified") {
    fixture.NewCaller();
    CHECK(fixture.Call().status == 503);
    CHECK(fixture.ExecutedCount() == 2);
  }
  THEN("another request is refused too, as no worker is left") {
    fixture.NewCaller();
    CHECK(fixture.Call("/a/other").status == 503);
    CHECK_FALSE(fixture.notices.empty());
  }
}

}  // namespace qh::gateway
