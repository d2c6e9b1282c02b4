@0xb1f8a3d0c94e6a28;
# Heartbeats as commit 4588bab had them, for tests of both versions beside each other.

# What one node tells the others several times a second, one datagram each.
struct Beat {
  node @0 :Text;
  # Differs between two processes of the same node.
  incarnation @1 :UInt64;
  # Counts the beats of a process; an older one is left out.
  sequence @2 :UInt64;
  dataCentre @3 :Text;
  # Generation of the plan in force.
  generation @4 :UInt64;
  held @5 :List(Held);
  usage @6 :List(Usage);
  marks @7 :List(Mark);
  limits @8 :List(Limit);
  # Whether the node passes connections to endpoints on for others.
  carries @9 :Bool;
}

# What an endpoint said last about the requests a second that it takes.
struct Limit {
  endpoint @0 :Text;
  # Requests a second; without meaning if the limit was lifted.
  perSecond @1 :Float64;
  isLifted @2 :Bool;
  # Time since the endpoint said so.
  ageMs @3 :UInt32;
  # Requests a second for its service that the sender decides on.
  demand @4 :Float32;
}

# Requests of the node at one endpoint.
struct Held {
  endpoint @0 :Text;
  requests @1 :UInt32;
  # Prompt tokens without a first event yet.
  pending @2 :UInt64;
  # Mean time between two events of the streams that ended since the last
  # beat, microseconds; zero if none did.
  paceMicros @3 :UInt32;
}

# Use of one workspace's quota at the node.
struct Usage {
  workspace @0 :Text;
  # Units since the process started.
  admitted @1 :Float64;
  # Units asked for a second.
  demand @2 :Float64;
}

# A request that may crash endpoints, at the death of one of them.
struct Mark {
  fingerprint @0 :UInt64;
  validMs @1 :UInt64;
  # Process of that endpoint.
  incarnation @2 :UInt64;
  # 1: it fell silent; 2: it died; 3: the suspicion is withdrawn. Zero comes from
  # nodes that know no kinds, and is left out.
  kind @3 :UInt8;
}

