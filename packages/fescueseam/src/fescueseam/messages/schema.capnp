@0xb7f3c1d2e4a59680;
# Messages between the processes of fescueseam. A datagram consists of a header of 32 bytes, one
# Message, and the caller's packet of a Carry or Place. The header holds an authentication tag over
# everything after the tag, the sequence number, key number, protocol version and length of the
# message. Its numbers are little-endian.

struct Message {
  sender @0 :Text;
  incarnation @1 :UInt64;
  target @2 :Text;
  service @3 :Text;
  className @4 :Text;
  epoch @5 :UInt64;
  configVersion @6 :UInt64;
  body :union {
    carry @7 :Carry;
    place @8 :Place;
    placed @9 :Placed;
    full @10 :Full;
    notHere @11 :NotHere;
    ask @12 :Ask;
    askAnswer @13 :AskAnswer;
    release @14 :Release;
    free @15 :Load;
    announce @16 :Announce;
    announceAnswer @17 :AnnounceAnswer;
    gossipDigest @18 :GossipDigest;
    gossipValues @19 :GossipValues;
    gossipKeys @20 :GossipKeys;
  }
}

struct Flow {
  protocol @0 :UInt8;
  sourcePort @1 :UInt16;
  destinationPort @2 :UInt16;
  source @3 :Data;
  destination @4 :Data;
}

struct Load {
  busy @0 :UInt32;
  slots @1 :UInt32;
  connections @2 :UInt32;
  connectionBound @3 :UInt32;
  utilisation @4 :Float64;
}

struct Carry {
  homed @0 :Bool;
}

struct Place {
  attempt @0 :UInt64;
  ageSeconds @1 :Float64;
}

struct Placed {
  attempt @0 :UInt64;
  flow @1 :Flow;
  load @2 :Load;
}

struct Full {
  attempt @0 :UInt64;
  flow @1 :Flow;
  load @2 :Load;
  known @3 :Bool;
}

struct NotHere {
  flow @0 :Flow;
  packet @1 :Data;
}

struct Ask {
  flow @0 :Flow;
  claim @1 :UInt64;
}

struct Release {
  flow @0 :Flow;
  claim @1 :UInt64;
}

struct AskAnswer {
  flow @0 :Flow;
  holds @1 :Bool;
  granted @2 :Bool;
  claim @3 :UInt64;
  barred @4 :Bool;
}

struct Announce {
  role @0 :Text;
  dataCentre @1 :Text;
  region @2 :Text;
  address @3 :Text;
  controlPort @4 :UInt16;
  metricsPort @5 :UInt16;
  heartbeat @6 :UInt64;
  draining @7 :Bool;
  openFlows @8 :UInt32;
  healthy @9 :Bool;
  load @10 :Load;
}

struct AnnounceAnswer {
  peers @0 :List(Peer);
  heartbeat @1 :UInt64;
}

struct Peer {
  name @0 :Text;
  role @1 :Text;
  dataCentre @2 :Text;
  region @3 :Text;
  address @4 :Text;
  controlPort @5 :UInt16;
  incarnation @6 :UInt64;
}

struct GossipDigest {
  groups @0 :List(UInt64);
  reply @1 :Bool;
}

struct GossipValues {
  values @0 :List(Value);
  partial @1 :Bool;
}

struct Value {
  key @0 :Text;
  version @1 :UInt64;
  writer @2 :Text;
  page @3 :UInt16;
  pages @4 :UInt16;
  data @5 :Data;
  deleted @6 :Bool;
}

struct GossipKeys {
  group @0 :UInt16;
  entries @1 :List(KeyVersion);
  reply @2 :Bool;
}

struct KeyVersion {
  keyHash @0 :UInt64;
  version @1 :UInt64;
}
