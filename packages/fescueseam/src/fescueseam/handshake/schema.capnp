@0xd29c64f0ab8e1735;
# Notices between balancers and agents, for flows that open with a handshake.

struct Notice {
  sender @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  body :union {
    report @3 :Report;
    locate @4 :Locate;
    located @5 :Located;
    locateBatch @6 :LocateBatch;
    locatedBatch @7 :List(Located);
    homeHandover @8 :List(Located);
  }
}

struct Identity {
  name @0 :Text;
  role @1 :Text;
  address @2 :UInt32;
  dataCentre @3 :Text;
  service @4 :Text;
  incarnation @5 :UInt64;
}

struct Load {
  availability @0 :Text;
  busy @1 :UInt32;
  flows @2 :UInt32;
  slots @3 :UInt32;
  utilisation @4 :Float32;
  serviceTimeS @5 :Float32;
  cold @6 :Bool;
  leaving @7 :Bool;
  failing @8 :Float32;
  heldAddresses @9 :List(UInt64);
  hasUnknownFlows @10 :Bool;
  work @11 :List(RouteWork);
  slowness @12 :Float32;
}

struct RouteWork {
  address @0 :UInt64;
  meanS @1 :Float32;
  deviationS @2 :Float32;
  requestsPerFlow @3 :Float32;
  flows @4 :UInt32;
  busyShare @5 :Float32;
}

struct ColdBound {
  service @0 :Text;
  openingsPerS @1 :Float32;
}

struct Report {
  identity @0 :Identity;
  load @1 :Load;
  rulesVersion @2 :UInt64;
  outageRevision @3 :UInt64;
  dataCentresOut @4 :List(Text);
  coldBounds @5 :List(ColdBound);
  others @6 :List(Identity);
  asksBack @7 :Bool;
  asksMembers @8 :Bool;
  storeEra @9 :UInt64;
  heldDataCentres @10 :List(Text);
  heldForMs @11 :UInt32;
  memberCount @12 :UInt32;
  capacity @13 :Float32;
  flowBytes @14 :Float32;
  lagging @15 :Bool;
  resting @16 :Bool;
}

struct Flow {
  caller @0 :UInt32;
  callerPort @1 :UInt16;
  service @2 :UInt32;
  servicePort @3 :UInt16;
}

struct Locate {
  flow @0 :Flow;
  service @1 :Text;
}

struct LocateBatch {
  flows @0 :List(Flow);
  service @1 :Text;
}

struct Located {
  flow @0 :Flow;
  holding @1 :UInt8;
  agent @2 :Text;
}
