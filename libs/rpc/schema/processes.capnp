@0x95028854090f1a1b;

# RPC messages and interfaces between the processes of the system. Run scripts/generate-rpc.sh after
# a change to regenerate the C++ code.

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

# State of one entry VM as known to the sender.
struct Member {
  name @0 :Text;
  zone @1 :Text;
  slot @2 :UInt32;
  state @3 :MemberState;
  # Identifies one run of the qh-control process; changes with each restart.
  incarnation @4 :UInt64;
  heartbeat @5 :UInt64;
  revision @6 :UInt64;
  callers @7 :Endpoint;
  operators @8 :Endpoint;
  gossip @9 :Endpoint;
  controlRpc @10 :Endpoint;
  entryRpc @11 :Endpoint;
  # Identifies one run of the qh-entry process; request keys are bound to it.
  entryIncarnation @12 :UInt64;
  inProgress @13 :UInt32;
}

# One worker of the platform's VM list.
struct Worker {
  name @0 :Text;
  service @1 :Text;
  zone @2 :Text;
  endpoint @3 :Endpoint;
  leaving @4 :Bool;
}

# A short event that is distributed to all entry VMs within seconds.
struct Notice {
  kind @0 :UInt8;
  subject @1 :Text;
  detail @2 :Text;
  value @3 :UInt64;
  stampMicros @4 :Int64;
  lifetimeMillis @5 :UInt32;
}

# A contract change in JSON form (docs/interfaces.md), as stored in the platform's table.
struct ContractChange {
  revision @0 :UInt64;
  json @1 :Text;
}

struct ContractChanges {
  # Whether `changes` contains the latest change of each customer, rather than all changes since a
  # revision.
  isSnapshot @0 :Bool;
  # Latest revision known to the sender.
  revision @1 :UInt64;
  changes @2 :List(ContractChange);
}

# Members and workers as known to an entry VM.
struct View {
  members @0 :List(Member);
  workers @1 :List(Worker);
}

# Request from one entry VM (the borrower) to another one (the lender) for a loan of part of the
# lender's share of a customer's contract.
struct BorrowRequest {
  requestId @0 :UInt64;
  borrowerSlot @1 :UInt32;
  lenderSlot @2 :UInt32;
  # Requested part of the contract's total limit, from 0 to 1.
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
  # The holder could not guarantee that the key will never be started.
  notBarred @6;
  # The process at the address is a different incarnation from the one that the key is bound to.
  lost @4;
  # The key was first used with a different fingerprint.
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
  # Whether the entry has contracts and workers, and can accept calls.
  ready @2 :Bool;
  draining @3 :Bool;
}

# Provided by qh-control to the qh-entry process on the same VM.
interface EntryControl {
  attach @0 (hello :EntryHello, agent :EntryAgent) -> ();
  reportStatus @1 (status :EntryStatus) -> ();
  publishNotice @2 (notice :Notice) -> ();
  # Forwards the request to the entry VM at the request's lender slot.
  borrow @3 (customer :Text, request :BorrowRequest) -> (granted :Bool, grant :LoanGrant);
}

# Provided by qh-entry to the qh-control process on the same VM.
interface EntryAgent {
  applyContracts @0 (changes :ContractChanges) -> (revision :UInt64);
  applyView @1 (view :View) -> ();
  applyNotice @2 (notice :Notice) -> ();
  # Confirms that `revision` was the latest one known to the platform or to a peer `ageMillis` ago.
  confirm @3 (revision :UInt64, ageMillis :UInt32) -> ();
  lend @4 (customer :Text, request :BorrowRequest) -> (granted :Bool, grant :LoanGrant);
  drain @5 () -> ();
  # Returns events as a JSON array.
  timeline @6 (filterJson :Text) -> (eventsJson :Text);
}

# Provided by qh-control to the qh-control processes of other entry VMs.
interface ControlPeer {
  changesSince @0 (revision :UInt64) -> (changes :ContractChanges);
  borrow @1 (customer :Text, request :BorrowRequest) -> (granted :Bool, grant :LoanGrant);
  # Returns the workers of the last VM list read from the platform, for a VM that starts during an
  # outage of the platform.
  workers @2 () -> (known :Bool, workers :List(Worker));
}

# Provided by qh-entry to the qh-entry processes of other entry VMs.
interface EntryPeer {
  resolveKey @0 (key :Text, fingerprint :UInt64) -> (state :KeyState, response :StoredResponse);
}

# Bootstrap interface of qh-control. It returns a capability only to a caller that presents a
# session code: a message authentication code over the nonce of this connection, keyed with the
# deployment key.
interface ControlGate {
  challenge @0 () -> (nonce :Data);
  openEntryControl @1 (caller :Text, code :Data) -> (service :EntryControl);
  openControlPeer @2 (caller :Text, code :Data) -> (service :ControlPeer);
}

# Bootstrap interface of qh-entry; authenticates callers like ControlGate.
interface EntryGate {
  challenge @0 () -> (nonce :Data);
  openEntryPeer @1 (caller :Text, code :Data) -> (service :EntryPeer);
}
