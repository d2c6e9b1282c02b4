@0xb1f8a3d0c94e6a27;
# Messages between the gateways of dottereltally.

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

# A request that may crash endpoints.
struct Mark {
  fingerprint @0 :UInt64;
  validMs @1 :UInt64;
}

# What a node that can't reach the key-value service asks of another one.
interface Directory {
  # Returns what the node knows, as JSON; empty if it knows nothing.
  read @0 () -> (snapshot :Data);
}
