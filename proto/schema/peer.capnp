@0xd3a1f0c45b7e2961;
# Messages between the nodes of dottereltally.

interface Peer {
  # Exchanges what both nodes know of the system; sent to a few random peers
  # each period.
  exchange @0 (beat :Beat) -> (beat :Beat);

  # Returns the configuration, if its generation is above the given one.
  configuration @1 (above :UInt64) -> (record :Configuration);

  # Asks the holder of a claim for the answer of its attempt.
  answer @2 (claim :Text, token :Text) -> (answer :Answer);

  # Delivers a message of the admission protocol.
  admission @3 (sender :Text, message :Admission) -> ();
}

struct Beat {
  node @0 :Text;
  dataCentre @1 :Text;
  # Differs between two processes of the same node.
  incarnation @2 :UInt64;
  generation @3 :UInt64;
  leaving @4 :Bool;
  suspects @5 :List(Suspect);
  # Raised by the node itself to contradict a suspicion.
  version @6 :UInt32;
  # Where peers reach the node, `ip:port`.
  address @7 :Text;
  # Hash over the live members that the sender knows.
  digest @8 :UInt64;
  # Whether `members` holds everything that the sender knows.
  whole @9 :Bool;
  # News of other nodes.
  members @10 :List(Member);
}

struct Member {
  node @0 :Text;
  dataCentre @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  version @4 :UInt32;
  state @5 :State;

  enum State {
    alive @0;
    suspect @1;
    left @2;
    dropped @3;
  }
}

struct Suspect {
  fingerprint @0 :UInt64;
  validMs @1 :UInt64;
}

struct Configuration {
  generation @0 :UInt64;
  text @1 :Text;
  author @2 :Text;
  time @3 :Text;
  token @4 :Text;
}

struct Answer {
  union {
    # The node does not know the attempt.
    unknown @0 :Void;
    # The attempt has not ended.
    running @1 :Void;
    # The attempt has ended; its answer follows.
    done @2 :Response;
    # The attempt was given up before anything was handed over.
    notRun @3 :Void;
    # The attempt may have run and its answer is not known.
    lost @4 :Void;
  }
}

struct Response {
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Data;
}

struct Admission {
  union {
    demand @0 :List(Demand);
    granted @1 :List(Grant);
    returned @2 :List(Grant);
  }
}

struct Demand {
  service @0 :Text;
  tier @1 :UInt8;
  tokens @2 :UInt64;
  requests @3 :UInt32;
}

struct Grant {
  endpoint @0 :Text;
  tier @1 :UInt8;
  tokens @2 :UInt64;
  validMs @3 :UInt32;
}
