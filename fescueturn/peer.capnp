# Messages between entry hosts of one data centre (fescueturn.peer).
@0xe40ae11e3740748b;

struct Task {
  taskId @0 :Text;
  kind @1 :Text;
  payload @2 :Text;
  runMs @3 :UInt32;
  idempotent @4 :Bool;
}

# A job passed to the entry host that owns its idempotency key.
struct ForwardJob {
  requestId @0 :UInt64;
  team @1 :Text;
  jobId @2 :Text;
  key @3 :Text;
  fingerprint @4 :Text;
  deadlineMs @5 :UInt32;
  tasks @6 :List(Task);
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

struct Refusal {
  code @0 :UInt16;
  message @1 :Text;
  retryAfterS @2 :UInt32;
}

# The owner's reply to a ForwardJob with the same requestId.
struct ForwardReply {
  requestId @0 :UInt64;
  union {
    answer @1 :JobAnswer;
    refusal @2 :Refusal;
  }
}
