@0xb3c8f1a7d2e94c05;

struct Forward {
  # A caller's packet on its way along the chain of a flow.
  version @0 :UInt64;        # configuration version that gave the chain
  service @1 :UInt64;        # hash of the service's name
  chain @2 :List(UInt64);    # agents: IPv4 address, port in the low 16 bits
  position @3 :UInt8;        # index of the agent this copy is sent to
  hops @4 :UInt8;            # times the packet has been sent
  placed @5 :Bool;           # an earlier agent chose this one for the flow
  packet @6 :Data;           # the whole IPv4 packet
  unsettled @7 :Bool;        # an agent on the way may not know the owner yet
}
