@0xd0c1f3a95b7e4a21;
# Messages between a coordinator and the holder of a shard. The coordinator
# opens the connection and sends hello first; then both ends send at any time.

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
  kept @7 :Bool;
  priority @8 :UInt16;
}

struct Pending {
  queue @0 :Text;
  jobs @1 :UInt32;
}

# A holder that is suspected to have failed.
struct Doubt {
  dataCentre @0 :Text;
  shard @1 :UInt16;
  fence @2 :UInt64;
}

struct Endpoint {
  id @0 :Text;
  host @1 :Text;
  port @2 :UInt16;
  service @3 :Text;
  dataCentre @4 :Text;
  slots @5 :UInt32;
  draining @6 :Bool;
  cpu @7 :UInt32;
  memMb @8 :UInt32;
  gpu @9 :UInt32;
  labels @10 :List(Text);
}

# The free capacity and the waiting work of one service at a holder.
struct ServiceRoom {
  service @0 :Text;
  stepCpu @1 :UInt32;
  # The number of endpoints by free CPU in steps of stepCpu.
  endpointsByRoom @2 :List(UInt16);
  freeSlots @3 :UInt16;
  running @4 :UInt16;
  remainingMs @5 :UInt32;
  # The work of the waiting tasks by priority.
  waitingMs @6 :List(UInt32);
  slownessPercent @7 :UInt16;
}

struct RoomReport {
  services @0 :List(ServiceRoom);
}

struct Message {
  dataCentre @0 :Text;
  shard @1 :UInt16;
  jobId @2 :Text;
  number @16 :UInt16;
  # In a ping or an offer, the sender's clock in seconds; the pong echoes it.
  at @24 :Float64;
  # Version of the holder's roster: in a ping, the version that the sender has;
  # in a pong, the current version.
  roster @25 :UInt32;

  union {
    hello :group {
      host @3 :Text;
      boot @4 :Text;
    }
    ping :group {
      canHold @5 :Bool;
      # Holders that the sender suspects.
      doubts @29 :List(Doubt);
      draining @31 :Bool;
      # How long the sender's process has run; 0 if it doesn't say.
      uptimeMs @32 :UInt32;
      # One more than the version of the holder's list of endpoints that the
      # sender has; 0 to request no list.
      listRequest @33 :UInt32;
      # True to get a room message after the pong.
      wantsRoom @50 :Bool;
      # A time on the holder's clock that had passed when the sender's clock
      # showed at, like sentMs of a pong; 0 if it isn't known.
      holderMs @54 :UInt32;
      # True if holderMs is told as soon as it is known.
      tellsHolderMs @56 :Bool;
    }
    offered :group {
      job @6 :Job;
      # Time since the job reached its coordinator.
      ageS @7 :Float64;
      # How much longer the caller waits.
      leftS @8 :Float64;
      resumed @9 :Bool;
      # True to decline the job if one of its tasks would have to wait.
      atOnce @17 :Bool;
      # With atOnce: the longest wait for which the job is taken all the same.
      maxWaitMs @53 :UInt32;
    }
    withdrawn @10 :Void;
    pong :group {
      holding @11 :Bool;
      pending @20 :List(Pending);
      # True if the holder hasn't read the kept jobs yet; pending is then empty.
      pendingUnknown @57 :Bool;
      # True if endpoints contains the roster, which is sent only if the ping's
      # version differs.
      hasEndpoints @26 :Bool;
      endpoints @27 :List(Text);
      # Holders that enough hosts suspect.
      agreed @30 :List(Doubt);
      # Version of the holder's list of endpoints, and its age.
      listVersion @34 :UInt32;
      listAgeMs @35 :UInt32;
      # True if the receiver should claim the shard once it is free.
      successor @36 :Bool;
      # The sender's clock, modulo 2^32 ms; 0 if it doesn't say.
      sentMs @55 :UInt32;
    }
    accepted @12 :Void;
    declined :group {
      waitMs @13 :UInt32;
      inTime @18 :Bool;
      why @19 :Text;
      # The holder's room; null if it isn't known.
      room @51 :RoomReport;
    }
    ended :group {
      outcome @14 :Outcome;
      reason @15 :Text;
    }
    # A query about a kept job, or a request to cancel it.
    asked :group {
      cancel @21 :Bool;
    }
    # The holder's reply to asked.
    told :group {
      cancel @22 :Bool;
      state @23 :KeptState;
    }
    returned :group {
      # True if a task of the job may have run.
      ran @28 :Bool;
    }
    # The holder hands its shard over without the store; sent only to a host
    # that requests its list of endpoints.
    granted :group {
      fence @40 :UInt64;
      limit @41 :UInt64;
    }
    # A host tells the holder that granted it the shard that it has taken it.
    taken :group {
      host @42 :Text;
      boot @43 :Text;
      peer @44 :Text;
      fence @45 :UInt64;
    }
    # That holder tells coordinators who follows it; sent only to those whose
    # pings give their uptime.
    moved :group {
      host @46 :Text;
      boot @47 :Text;
      peer @48 :Text;
      fence @49 :UInt64;
    }
    # The holder's list of endpoints; sent only to a host that requests it.
    listed :group {
      version @37 :UInt32;
      ageMs @38 :UInt32;
      rows @39 :List(Endpoint);
    }
    # Follows a pong, if the ping wants it; at is that of the ping.
    room @52 :RoomReport;
  }

  enum KeptState {
    unknown @0;
    open @1;
    done @2;
    failed @3;
    cancelled @4;
  }

  enum Outcome {
    done @0;
    failed @1;
    notRun @2;
    unknown @3;
    kept @4;
    cancelled @5;
  }
}
