@0xe7b1d42f90a35c6b;

struct DeliveryHeader {
  # Goes before a caller's packet from a balancer to an agent.
  service @0 :UInt64;        # hash of the name of the flow's service
  limit @1 :UInt16;          # requests in progress at which an opening packet
                             # is declined; 0 for none
  asksOwner @2 :Bool;        # the balancer does not know whose flow it is
  coldMs @3 :UInt32;         # rest of the host's cold time; 0 if it is warm
  coldPerSecond @4 :UInt16;  # openings a second that it may get meanwhile
}

struct WarmDeliveryHeader {
  # A DeliveryHeader without the last two fields, as it is sent to warm hosts:
  # 8 bytes shorter, and read as a DeliveryHeader.
  service @0 :UInt64;
  limit @1 :UInt16;
  asksOwner @2 :Bool;
}

struct TargetLoad {
  inProgress @0 :UInt16;     # requests, and flows that just opened
  flows @1 :UInt32;          # open flows
  meanInProgress @2 :Float32;  # mean of inProgress over the last seconds
  workMs @3 :Float32;        # mean time of work on a request; 0 if unknown
  failedShare @4 :Float32;   # share of the last requests that failed
}

struct FlowReport {
  # Tells a balancer that the agent's host holds a flow.
  flow @0 :Data;             # five-tuple
  accepted @1 :Bool;         # the host has just accepted it
  sequence @2 :UInt32;       # first sequence number of the host, if accepted
  load @3 :TargetLoad;
}

struct ProbeAnswer {
  # Tells a balancer that an agent runs and that its host is not silent, or
  # that the host has room after it declined a flow.
  load @0 :TargetLoad;
}

struct ReturnHeader {
  # Goes before a packet that an agent gives back to a balancer.
  reason @0 :Reason;
  load @1 :TargetLoad;
  retryMs @2 :UInt32;        # time until a cold host may get another opening
  era @3 :Int64;             # of the notice of an evacuation
  revision @4 :Int64;

  enum Reason {
    notHeld @0;              # the host does not hold the flow
    refused @1;              # the host cannot accept an opening flow
    busy @2;                 # the limit of the delivery is reached
    otherService @3;         # the host belongs to another service; the
                             # header is an OtherServiceHeader
    stopping @4;             # the agent or its host is about to end
    cold @5;                 # the host is cold and at its limit of openings
    evacuated @6;            # the host's failure domain is evacuated
  }
}

struct EvacuationNotice {
  # Tells an agent whether the failure domain of its host is evacuated.
  domain @0 :Text;
  isEvacuated @1 :Bool;
  era @2 :Int64;             # position in the store at which this was known
  revision @3 :Int64;
}

struct OtherServiceHeader {
  # A ReturnHeader with two fields more, which readers of one pass over.
  reason @0 :ReturnHeader.Reason;
  load @1 :TargetLoad;
  retryMs @2 :UInt32;
  era @3 :Int64;
  revision @4 :Int64;
  service @5 :UInt64;        # hash of the name of the host's service
  asked @6 :UInt64;          # that of the delivery
}
