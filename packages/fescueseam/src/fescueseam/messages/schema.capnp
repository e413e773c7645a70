@0xb7f3c1d2e4a59680;
# Messages between the processes of fescueseam, one sealed message in each UDP datagram.

struct Sealed {
  protocolVersion @0 :UInt16;
  keyId @1 :UInt32;
  tag @2 :Data;
  body @3 :Data;
}

struct Message {
  sender @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  target @3 :Text;
  service @4 :Text;
  className @5 :Text;
  epoch @6 :UInt64;
  configVersion @7 :UInt64;
  body :union {
    carry @8 :Carry;
    place @9 :Place;
    placed @10 :Placed;
    full @11 :Full;
    notHere @12 :Flow;
    ask @13 :Ask;
    askAnswer @14 :AskAnswer;
    release @15 :Flow;
    free @16 :Load;
    announce @17 :Announce;
    announceAnswer @18 :AnnounceAnswer;
    gossipDigest @19 :GossipDigest;
    gossipValues @20 :GossipValues;
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
  packet @0 :Data;
  homed @1 :Bool;
}

struct Place {
  attempt @0 :UInt64;
  packet @1 :Data;
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
}

struct Ask {
  flow @0 :Flow;
  claim @1 :Bool;
}

struct AskAnswer {
  flow @0 :Flow;
  holds @1 :Bool;
  granted @2 :Bool;
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
