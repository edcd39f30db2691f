@0xc3e1f0a97d5b2846;

# UDP messages between the qh-control processes of entry VMs. A datagram has at most 1,100 bytes, so
# records contain endpoints as plain numbers instead of nested structures, which take more space.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("qh::rpc::wire");

struct GossipRecord {
  vm @0 :Text;
  zone @1 :Text;
  entryIncarnation @2 :Text;
  generation @3 :UInt64;
  # Lower 48 bits of the revision; see revisionEra.
  revision @4 :UInt64;
  version @5 :UInt32;
  heartbeat @6 :UInt32;
  slot @7 :UInt16;
  state @8 :UInt8;
  callsAddress @9 :UInt32;
  callsPort @10 :UInt16;
  entryRpcAddress @11 :UInt32;
  entryRpcPort @12 :UInt16;
  controlRpcAddress @13 :UInt32;
  controlRpcPort @14 :UInt16;
  gossipAddress @15 :UInt32;
  gossipPort @16 :UInt16;
  operatorsAddress @17 :UInt32;
  operatorsPort @18 :UInt16;
  # Age of the heartbeat in tenths of a second, rounded down; 255 for greater ages.
  heartbeatAge @19 :UInt8;
  # Upper 16 bits of the revision: the number of the store's history. Releases without this field
  # compare the lower bits, which are ordered as long as the store does not lose changes.
  revisionEra @20 :UInt16;
}

struct GossipNotice {
  kind @0 :UInt8;
  subject @1 :Text;
  detail @2 :Text;
  # Lower 48 bits of the value; see valueEra.
  value @3 :UInt64;
  stampMicros @4 :Int64;
  lifetimeMillis @5 :UInt32;
  # Upper 16 bits of the value, as for GossipRecord.revisionEra.
  valueEra @6 :UInt16;
}

struct GossipHeartbeat {
  slot @0 :UInt16;
  generationTag @1 :UInt16;
  heartbeat @2 :UInt32;
}

struct GossipDatagram {
  sender @0 :GossipRecord;
  notices @1 :List(GossipNotice);
  heartbeats @2 :List(GossipHeartbeat);
  records @3 :List(GossipRecord);
  # Number of other members that the sender receives heartbeats from.
  knownMembers @4 :UInt16;
  # Ages of the elements of `heartbeats`, in the same order; the unit is that of
  # GossipRecord.heartbeatAge.
  heartbeatAges @5 :Data;
}
