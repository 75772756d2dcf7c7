@0xb3c8f1a7d2e94c05;

struct ForwardHeader {
  # Goes before a caller's packet on its way along the chain of a flow.
  service @0 :UInt64;        # hash of the service's name
  chain @1 :List(UInt64);    # agents: IPv4 address, port in the low 16 bits
  position @2 :UInt8;        # index of the agent this copy is sent to
  hops @3 :UInt8;            # times the packet has been sent
  placed @4 :Bool;           # an earlier agent chose this one for the flow
  unsettled @5 :Bool;        # an agent on the way may not know the owner yet
}
