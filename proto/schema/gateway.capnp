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
  limits @8 :List(Limit);
  # Whether the node passes connections to endpoints on for others.
  carries @9 :Bool;
  notices @10 :List(Notice);
  # Version of the exchange that the sender understands; zero from nodes that send
  # heartbeats to all others and know no other scope than themselves.
  exchange @11 :UInt16;
  # Whose usage is reported: 0 that of the sender, 1 that of the nodes of its data
  # centre, 2 that of all nodes but the receiver.
  scope @12 :UInt8;
  # Names of nodes that pass connections on, with a scope beyond the sender.
  carriers @13 :List(Text);
  # What the sender last read from the platform's store; zeros if nothing.
  view @14 :View;
  # What the sender knows of endpoints that left lately.
  listings @15 :List(Listing);
  # What the sender knows of the speed of endpoints, and of those that warm up.
  speeds @16 :List(Speed);
  # What the sender knows of the roll-outs that run.
  rollouts @17 :List(Rollout);
}

# How fast an endpoint works, and how many requests it may get while it warms up.
struct Speed {
  endpoint @0 :Text;
  # Unix milliseconds of the start of its process; zero if unknown.
  startedMs @1 :UInt64;
  # Time that work takes now relative to its usual time, as the endpoint stated it; zero
  # if it stated nothing.
  stated @2 :Float32;
  # Time since that statement.
  statedAgeMs @3 :UInt32;
  # Answers that the endpoint gave since it started or recovered, as the sender counts
  # them; without meaning if the next is zero.
  answers @4 :UInt32;
  # Requests that it may hold at once while it warms up; zero if it does not.
  window @5 :Float32;
  # Time since the window last changed.
  windowAgeMs @6 :UInt32;
}

# A roll-out as the sender knows it. Counts are totals since the order, over the nodes
# of the scope of the heartbeat.
struct Rollout {
  service @0 :Text;
  # Revision of the order in the store, and its era as in Listing.
  order @1 :Int64;
  orderEra @2 :UInt64;
  orderEraFalls @3 :UInt32;
  # Lowest step of the roll-out that is in force at all nodes of the scope.
  step @4 :UInt32;
  # Nodes of the scope, and requests that these still run at endpoints of other versions.
  nodes @5 :UInt32;
  running @6 :UInt32;
  # Names of nodes at which a lower step is in force than in the record; at most 16.
  behind @7 :List(Text);
  counts @8 :List(RolloutCount);
}

# Requests of one route to the endpoints of the old or the new version.
struct RolloutCount {
  route @0 :Text;
  isTarget @1 :Bool;
  sent @2 :UInt32;
  answered @3 :UInt32;
  failed @4 :UInt32;
  # Answers that took several times as long as expected of an endpoint of that speed.
  slow @5 :UInt32;
}

# Whether the directory listed an endpoint at a revision.
struct Listing {
  endpoint @0 :Text;
  # Unix milliseconds of the start of its process; zero if unknown.
  startedMs @1 :UInt64;
  # Revision of the directory.
  revision @2 :Int64;
  # Whether it takes requests, by what was read.
  isListed @3 :Bool;
  # Time since that was read.
  ageMs @4 :UInt32;
  # Era of the revision, as the store announced it; zero if it announced none, or from
  # nodes that know no eras.
  era @5 :UInt64;
  # Number of times that the store's revision fell in that era.
  eraFalls @6 :UInt32;
  # Number of its last description, counted by the process; zero if unknown.
  sequence @7 :UInt64;
}

# What a node read from the platform's store.
struct View {
  # Hash of what matters of the directory.
  digest @0 :UInt64;
  # Number of the last read, counted by the process.
  number @1 :UInt64;
  # Time since that read was sent.
  ageMs @2 :UInt32;
  # Era of the store in that read, and the number of falls in it, as in Listing.
  era @3 :UInt64;
  eraFalls @4 :UInt32;
}

# What an endpoint said about itself in an answer.
struct Notice {
  endpoint @0 :Text;
  # Unix milliseconds of the start of its process; zero if unknown.
  startedMs @1 :UInt64;
  isLeaving @2 :Bool;
  # Time since it said that it leaves.
  leavingAgeMs @3 :UInt32;
  # Rejections in a second that it bears; without meaning if the next is false.
  brittle @4 :UInt32;
  isBrittle @5 :Bool;
  brittleAgeMs @6 :UInt32;
  # Requests at once that it is taken to hold; zero if the sender doesn't know.
  held @7 :Float32;
  # Time since its last rejection.
  heldAgeMs @8 :UInt32;
  # Rejections in the last second that the sender knows of.
  recent @9 :UInt32;
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

# What nodes tell and ask each other about where streams began, one datagram
# each; a stream's key is a hash of the id of the attempt that began it.
struct OriginMessage {
  union {
    told @0 :List(Told);
    question @1 :Question;
    reply @2 :Reply;
  }
}

# Where a stream began.
struct Told {
  keyHigh @0 :UInt64;
  keyLow @1 :UInt64;
  version @2 :Text;
  endpoint @3 :Text;
}

struct Question {
  # Repeated by the reply.
  number @0 :UInt64;
  keyHigh @1 :UInt64;
  keyLow @2 :UInt64;
  service @3 :Text;
  # The only version that the node which asks has seen of the service; empty if
  # there is none.
  sole @4 :Text;
}

struct Reply {
  number @0 :UInt64;
  keyHigh @1 :UInt64;
  keyLow @2 :UInt64;
  # The node that replies.
  node @3 :Text;
  # 0: the stream is unknown; 1: it began as told below; 2: reports about it
  # contradict each other.
  knowledge @4 :UInt8;
  version @5 :Text;
  endpoint @6 :Text;
  # Whether the node has seen another version of the service than the sole one
  # of the question.
  others @7 :Bool;
}

# What nodes ask of each other.
interface Directory {
  # Returns what the node knows, as JSON; empty if it knows nothing.
  read @0 () -> (snapshot :Data);
  # Has the node decide for the caller of this method, which has these requests
  # at endpoints. Fails if the node is not ready.
  open @1 (node :Text, held :List(Held)) -> (desk :Desk);
}

# Decides where the requests of one other node go; closing the connection gives
# every place back.
interface Desk {
  # Waits for an endpoint; the node that asks chooses the number.
  admit @0 (request :UInt64, ask :Ask) -> (decision :Decision);
  # Tells of the first byte of an answer.
  start @1 (request :UInt64);
  # Gives a place back, or takes back what still waits.
  end @2 (request :UInt64, outcome :Outcome, events :UInt64, pauseMicros :UInt64);
  ping @3 ();
}

# A request that needs an endpoint; times are what is left.
struct Ask {
  service @0 :Text;
  tier @1 :UInt8;
  class @2 :UInt8;
  prompt @3 :UInt64;
  output @4 :UInt64;
  # Longest pause between two events; zero if there is no limit.
  pauseMicros @5 :UInt64;
  dueMicros @6 :UInt64;
  firstByMicros @7 :UInt64;
  deadlineMicros @8 :UInt64;
  avoid @9 :List(Text);
  # Software version that must serve it; empty if any may.
  version @10 :Text;
  # Whether its stream may be resumed at another endpoint of the same version.
  resumable @11 :Bool;
  # Its route; empty from nodes that send none.
  route @12 :Text;
  # Its workspace; empty if it has none.
  workspace @13 :Text;
  # Hash that is equal when the same caller sends the same request again; zero if unknown.
  fingerprint @14 :UInt64;
  # While a roll-out runs: a version that alone may serve it, or that must not.
  onlyVersion @15 :Text;
  notVersion @16 :Text;
}

struct Decision {
  union {
    choice @0 :Choice;
    refusal @1 :Refusal;
  }
}

struct Choice {
  endpoint @0 :Text;
  address @1 :Text;
  dataCentre @2 :Text;
  own @3 :UInt32;
  others @4 :UInt32;
  places @5 :UInt32;
  firstMicros @6 :UInt64;
  waiting @7 :UInt64;
  # Software version of the endpoint; empty if unknown.
  version @8 :Text;
}

struct Refusal {
  reason @0 :Reason;
  retryMicros @1 :UInt64;
}

enum Reason {
  overload @0;
  deadline @1;
  noEndpoint @2;
  limit @3;
  quarantine @4;
  shutdown @5;
}

enum Outcome {
  answered @0;
  cancelled @1;
  failed @2;
  rejected @3;
  misdirected @4;
  unreachable @5;
  broken @6;
}
