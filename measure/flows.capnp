@0xa96d3e5f17c0b284;

struct FlowRecords {
  # The way not taken: one hash for each displaced flow.
  service @0 :UInt64;
  owner @1 :UInt64;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  leaseMilliseconds @4 :UInt32;
  hashes @5 :List(UInt64);
}
