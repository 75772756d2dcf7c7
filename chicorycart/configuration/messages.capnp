@0xd1f4a2c96b07e853;

struct ServiceValue {
  name @0 :Text;
  body @1 :Data;            # the value as it was published
}

struct Delta {
  # What turns any version from base on into a later version.
  base @0 :UInt64;          # 0 for a whole version
  version @1 :UInt64;
  fingerprint @2 :UInt64;   # checksum of the whole later version
  changed @3 :List(ServiceValue);
  removed @4 :List(Text);
}

struct Rumour {
  # Tells a peer of a version; its delta comes with it if it is small.
  version @0 :UInt64;
  delta @1 :Data;           # compressed Delta, empty if it is too large
}

struct Digest {
  # What one process has in force, for comparison.
  version @0 :UInt64;
  fingerprint @1 :UInt64;
  wantsReply @2 :Bool;
}

struct Subscription {
  # An agent asks a balancer for changes of its own service.
  service @0 :Text;
  version @1 :UInt64;
  digest @2 :Text;          # of the state in force, empty for none
}

struct ServiceUpdate {
  # The state of one service at a version.
  version @0 :UInt64;
  digest @1 :Text;          # empty if the version has no such service
  body @2 :Data;            # compressed value; empty if it is not sent along
}
