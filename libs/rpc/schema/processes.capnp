@0x95028854090f1a1b;

# Messages between the processes of the system. Regenerate the code with scripts/generate-rpc.sh.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("qh::rpc::wire");

enum MemberState {
  starting @0;
  live @1;
  leaving @2;
  gone @3;
}

struct Endpoint {
  ip @0 :Text;
  port @1 :UInt16;
}

# One entry VM as the sender sees it.
struct Member {
  name @0 :Text;
  zone @1 :Text;
  slot @2 :UInt32;
  state @3 :MemberState;
  # One run of qh-control; a restarted process has another one.
  incarnation @4 :UInt64;
  heartbeat @5 :UInt64;
  revision @6 :UInt64;
  callers @7 :Endpoint;
  operators @8 :Endpoint;
  gossip @9 :Endpoint;
  controlRpc @10 :Endpoint;
  entryRpc @11 :Endpoint;
  # One run of qh-entry; request keys are bound to it.
  entryIncarnation @12 :UInt64;
  inProgress @13 :UInt32;
}

# One worker as the platform's list names it.
struct Worker {
  name @0 :Text;
  service @1 :Text;
  zone @2 :Text;
  endpoint @3 :Endpoint;
  leaving @4 :Bool;
}

# A short fact that all entry VMs should hear of within seconds.
struct Notice {
  kind @0 :UInt8;
  subject @1 :Text;
  detail @2 :Text;
  value @3 :UInt64;
  stampMicros @4 :Int64;
  lifetimeMillis @5 :UInt32;
}

# A contract change in its JSON form (docs/interfaces.md), the same form as in the platform's table.
struct ContractChange {
  revision @0 :UInt64;
  json @1 :Text;
}

struct ContractChanges {
  # Whether the changes are the newest one of each customer instead of every one since a revision.
  isSnapshot @0 :Bool;
  # Newest revision known to the sender.
  revision @1 :UInt64;
  changes @2 :List(ContractChange);
}

# What an entry VM sees of the others and of the workers.
struct View {
  members @0 :List(Member);
  workers @1 :List(Worker);
}

# A request of one entry VM to use part of another one's share of a customer's contract.
struct BorrowRequest {
  requestId @0 :UInt64;
  borrowerSlot @1 :UInt32;
  lenderSlot @2 :UInt32;
  # Wanted part of the whole contract.
  fraction @3 :Float64;
  lifetimeMillis @4 :UInt32;
}

struct LoanGrant {
  requestId @0 :UInt64;
  borrowerSlot @1 :UInt32;
  lenderSlot @2 :UInt32;
  fraction @3 :Float64;
}

enum KeyState {
  refused @0;
  running @1;
  done @2;
  unknown @3;
  # The holder could not make sure that the key never starts.
  notBarred @6;
  # The address belongs to another incarnation than the key's.
  lost @4;
  # The fingerprint differs from the one that the key was first used with.
  reused @5;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct StoredResponse {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
}

struct EntryHello {
  vm @0 :Text;
  incarnation @1 :UInt64;
}

struct EntryStatus {
  inProgress @0 :UInt32;
  revision @1 :UInt64;
  # Whether the entry has contracts and workers and may take calls.
  ready @2 :Bool;
  draining @3 :Bool;
}

# Served by qh-control to the qh-entry of the same VM.
interface EntryControl {
  attach @0 (hello :EntryHello, agent :EntryAgent) -> ();
  reportStatus @1 (status :EntryStatus) -> ();
  publishNotice @2 (notice :Notice) -> ();
  # Asks the entry VM at the request's lender slot.
  borrow @3 (customer :Text, request :BorrowRequest) -> (granted :Bool, grant :LoanGrant);
}

# Served by qh-entry to the qh-control of the same VM.
interface EntryAgent {
  applyContracts @0 (changes :ContractChanges) -> (revision :UInt64);
  applyView @1 (view :View) -> ();
  applyNotice @2 (notice :Notice) -> ();
  # Confirms that the revision was the newest one known to the platform or to a peer.
  confirm @3 (revision :UInt64, ageMillis :UInt32) -> ();
  lend @4 (customer :Text, request :BorrowRequest) -> (granted :Bool, grant :LoanGrant);
  drain @5 () -> ();
  # Events as JSON array.
  timeline @6 (filterJson :Text) -> (eventsJson :Text);
}

# Served by qh-control to the qh-control of other entry VMs.
interface ControlPeer {
  changesSince @0 (revision :UInt64) -> (changes :ContractChanges);
  borrow @1 (customer :Text, request :BorrowRequest) -> (granted :Bool, grant :LoanGrant);
  # The workers that the platform's list named last, for a VM that starts while the platform is down.
  workers @2 () -> (known :Bool, workers :List(Worker));
}

# Served by qh-entry to the qh-entry of other entry VMs.
interface EntryPeer {
  resolveKey @0 (key :Text, fingerprint :UInt64) -> (state :KeyState, response :StoredResponse);
}

# What a server offers first. A capability is given out only against a message authentication code
# over the nonce of this connection, made with the deployment's key.
interface ControlGate {
  challenge @0 () -> (nonce :Data);
  openEntryControl @1 (caller :Text, code :Data) -> (service :EntryControl);
  openControlPeer @2 (caller :Text, code :Data) -> (service :ControlPeer);
}

interface EntryGate {
  challenge @0 () -> (nonce :Data);
  openEntryPeer @1 (caller :Text, code :Data) -> (service :EntryPeer);
}
