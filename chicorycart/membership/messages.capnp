@0xd1f4b83a6c70e592;

struct Heartbeat {
  # Tells that a process is alive and how busy its target is.
  sender @0 :UInt64;        # IPv4 address, port in the low 16 bits
  service @1 :UInt64;       # hash of the service's name, 0 for a balancer
  incarnation @2 :UInt64;   # start in ms, refutations in the low 16 bits
  sequence @3 :UInt64;      # grows by one with each heartbeat
  version @4 :UInt64;       # configuration version in force
  strength @5 :Float32;     # work done a second when busy
  inProgress @6 :UInt32;
  queued @7 :UInt32;
  takesNewWork @8 :Bool;
  wantsAnswer @9 :Bool;     # the receiver answers with its own heartbeat
}

struct SuspicionRecord {
  suspect @0 :UInt64;       # packed address of the agent
  incarnation @1 :UInt64;   # the one that is suspected, or seen alive
  renewal @2 :UInt32;       # later records of an incarnation have more
  remaining @3 :UInt16;     # tenths of a second until it lapses
  isSuspected @4 :Bool;     # false: the suspicion is refuted
}

struct Suspicions {
  # Suspicions that an agent reports, or that balancers pass on.
  sender @0 :UInt64;
  isReport @1 :Bool;        # the sender's own observation
  records @2 :List(SuspicionRecord);
}
