@0xd1a5c07be3f24896;

struct OwnerRecord {
  # The owner has open flows that its place in the chains does not lead to.
  service @0 :UInt64;        # hash of the service's name
  owner @1 :UInt64;          # agent: IPv4 address, port in the low 16 bits
  incarnation @2 :UInt64;    # grows each time the owner starts
  sequence @3 :UInt64;       # grows with each record of one incarnation
  leaseMilliseconds @4 :UInt32;
  buckets :union {           # buckets of those flows, the shorter form
    sparse @5 :List(UInt16);
    bitmap @6 :Data;
  }
}

struct OwnerQuery {
  # Asks an agent what it knows about owners.
  service @0 :UInt64;        # hash of the service's name
  union {
    flow @1 :Data;           # who owns this flow?
    records @2 :Void;        # send your owner record
  }
  number @3 :UInt64;         # the answer repeats it
  asker @4 :UInt64;          # agent that asks
}

struct OwnerAnswer {
  # Answers a query on one flow.
  service @0 :UInt64;        # hash of the service's name
  flow @1 :Data;
  owner @2 :UInt64;          # 0 if the agent knows none
  number @3 :UInt64;         # that of the query
  agent @4 :UInt64;          # agent that answers
}
