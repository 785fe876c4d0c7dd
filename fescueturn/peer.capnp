# Messages between the entry hosts of one data centre (fescueturn.peercodec).
@0xe40ae11e3740748b;

struct Task {
  taskId @0 :Text;
  kind @1 :Text;
  payload @2 :Text;
  runMs @3 :UInt32;
  idempotent @4 :Bool;
}

struct Job {
  team @0 :Text;
  jobId @1 :Text;
  key @2 :Text;
  fingerprint @3 :Text;
  deadlineMs @4 :UInt32;
  tasks @5 :List(Task);
}

# A job forwarded to another entry host, usually its key's coordinator.
struct ForwardJob {
  job @0 :Job;
  hops @1 :UInt16;
}

struct ForwardCancel {
  team @0 :Text;
  key @1 :Text;
  hops @2 :UInt16;
}

struct TaskAnswer {
  taskId @0 :Text;
  code @1 :UInt16;
  result @2 :Text;
}

struct JobAnswer {
  key @0 :Text;
  jobId @1 :Text;
  code @2 :UInt16;
  retryAfterS @3 :UInt32;
  tasks @4 :List(TaskAnswer);
}

# One process of an entry host; boot differs at every start.
struct Token {
  name @0 :Text;
  boot @1 :Text;
}

struct Claim {
  key @0 :Text;
  fingerprint @1 :Text;
  owner @2 :Token;
  number @3 :UInt64;
  keepMs @4 :UInt32;
  answer @5 :JobAnswer;
}

struct ClaimRequest {
  view @0 :UInt64;
  claim @1 :Claim;
}

struct Release {
  key @0 :Text;
  owner @1 :Token;
  number @2 :UInt64;
}

struct SyncRequest {
  view @0 :UInt64;
  asker @1 :Token;
  departedLease @2 :UInt64;
  partitions @3 :List(UInt16);
}

struct ProbeRequest {
  view @0 :UInt64;
  asker @1 :Token;
}

# A request from one entry host to another. A requestId of 0 makes it one-way.
struct Request {
  requestId @0 :UInt64;
  union {
    forwardJob @1 :ForwardJob;
    forwardCancel @2 :ForwardCancel;
    claim @3 :ClaimRequest;
    release @4 :Release;
    answerCopy @5 :Claim;
    sync @6 :SyncRequest;
    probe @7 :ProbeRequest;
  }
}

struct Refusal {
  code @0 :UInt16;
  message @1 :Text;
  retryAfterS @2 :UInt32;
}

struct ClaimReply {
  verdict @0 :UInt8;
  trusted @1 :Bool;
  held @2 :List(Claim);
}

struct SyncReply {
  ready @0 :Bool;
  claims @1 :List(Claim);
}

# The reply to the Request with the same requestId; boot identifies the process
# that sent it.
struct Reply {
  requestId @0 :UInt64;
  boot @1 :Text;
  union {
    answer @2 :JobAnswer;
    refusal @3 :Refusal;
    claim @4 :ClaimReply;
    sync @5 :SyncReply;
    probeAgrees @6 :Bool;
  }
}
