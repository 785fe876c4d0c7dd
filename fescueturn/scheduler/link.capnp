@0xd0c1f3a95b7e4a21;
# Messages between a coordinator and the holder of a shard. The coordinator
# opens the connection and begins with hello; both sides then send at any time.

struct Step {
  count @0 :UInt32;
  cpu @1 :UInt32;
  memMb @2 :UInt32;
  gpu @3 :UInt32;
  estimateMs @4 :UInt32;
  after @5 :List(UInt16);
  requires @6 :Text;
  near @7 :Text;
  mostPerEndpoint @8 :UInt32;
}

struct Job {
  service @0 :Text;
  spec @1 :Text;
  steps @2 :List(Step);
  attempts @3 :UInt32;
  stretch @4 :Float64;
  sloMs @5 :UInt32;
  queue @6 :Text;
}

struct Message {
  dataCentre @0 :Text;
  shard @1 :UInt16;
  jobId @2 :Text;
  number @16 :UInt16;

  union {
    hello :group {
      host @3 :Text;
      boot @4 :Text;
    }
    ping @5 :Void;
    offered :group {
      job @6 :Job;
      ageS @7 :Float64;
      leftS @8 :Float64;
      resumed @9 :Bool;
      atOnce @17 :Bool;
    }
    withdrawn @10 :Void;
    pong :group {
      holding @11 :Bool;
    }
    accepted @12 :Void;
    declined :group {
      waitMs @13 :UInt32;
      inTime @18 :Bool;
    }
    ended :group {
      outcome @14 :Outcome;
      reason @15 :Text;
    }
  }

  enum Outcome {
    done @0;
    failed @1;
    notRun @2;
    unknown @3;
  }
}
