@0xc1f0a4d29b7e6353;

# Frames between daemons. Field names match the dataclasses of
# gypsumvane_core.messages in camel case.

struct Hello {
  vmId @0 :Text;
  incarnation @1 :Text;
  failureDomain @2 :Text;
  cluster @3 :Text;
  protocolVersion @4 :Int64;
}

struct UpstreamBrief {
  leafId @0 :Text;
  state @1 :Text;
  limit @2 :Int64;
  queued @3 :Int64;
  latencyMs @4 :Float64;
  snapshots @5 :List(Int64);
  version @6 :Text;
  bootId @7 :Text;
  sequence @8 :Int64;
}

struct MoveFact {
  moveId @0 :Text;
  takenBack @1 :Bool;
  reason @2 :Text;
  appliedShare @3 :Float64;
}

struct MoveEvidence {
  moveId @0 :Text;
  route @1 :Text;
  incarnation @2 :Text;
  oldAnswers @3 :Int64;
  oldFailures @4 :Int64;
  oldSlow @5 :Int64;
  newAnswers @6 :Int64;
  newFailures @7 :Int64;
  newSlow @8 :Int64;
}

struct Heartbeat {
  epoch @0 :Int64;
  acknowledgedEpoch @1 :Int64;
  confirmationAgeMs @2 :Int64;
  promise @3 :Bool;
  documentDigest @4 :UInt64;
  leavingForMs @5 :Int64;
  ready @6 :Bool;
  gone @7 :List(Text);
  moveFacts @8 :List(MoveFact);
  evidence @9 :List(MoveEvidence);
  briefs @10 :List(UpstreamBrief);
  incarnation @11 :Text;
  settled @12 :Bool;
}

struct Beat {
  epoch @0 :UInt32;
  acknowledgedEpoch @1 :UInt32;
  confirmationAgeMs @2 :UInt32;
  leavingForMs @3 :UInt32;
  promise @4 :Bool;
  ready @5 :Bool;
  settled @6 :Bool;
  storeConfirmed @7 :Bool;
  leaving @8 :Bool;
  unchanged @9 :UInt16;
  documentDigest @10 :UInt64;
  incarnation @11 :Text;
  gone @12 :List(Text);
  moveFacts @13 :List(MoveFact);
  evidence @14 :List(MoveEvidence);
  briefs @15 :List(UpstreamBrief);
}

struct Member {
  vmId @0 :Text;
  incarnation @1 :Text;
  failureDomain @2 :Text;
  peerAddress @3 :Text;
  callerAddress @4 :Text;
  operatorAddress @5 :Text;
  leaving @6 :Bool;
  joinedEpoch @7 :Int64;
}

struct ViewUpdate {
  epoch @0 :Int64;
  members @1 :List(Member);
  writer @2 :Text;
  former @3 :List(Member);
  outDomains @4 :List(Text);
}

struct ViewRequest {
}

struct JoinRequest {
  member @0 :Member;
}

struct JoinReply {
  accepted @0 :Bool;
  epoch @1 :Int64;
  reason @2 :Text;
}

struct DocumentRevision {
  name @0 :Text;
  revision @1 :Int64;
  changeId @2 :Text;
  inForceSinceUnixMs @3 :Int64;
}

struct Document {
  name @0 :Text;
  revision @1 :Int64;
  changeId @2 :Text;
  author @3 :Text;
  reason @4 :Text;
  acceptedUnixMs @5 :Int64;
  body @6 :Data;
}

struct DocumentsRequest {
  known @0 :List(DocumentRevision);
}

struct DocumentsReply {
  documents @0 :List(Document);
  ready @1 :Bool;
  more @2 :Bool;
}

struct DocumentPush {
  documents @0 :List(Document);
}

struct DocumentPushReply {
  known @0 :List(DocumentRevision);
}

struct PartialRequest {
  attemptId @0 :Int64;
  service @1 :Text;
  leafId @2 :Text;
}

struct PartialBatch {
  queryId @0 :Text;
  index @1 :Text;
  route @2 :Text;
  snapshot @3 :Int64;
  deadlineLeftMs @4 :Int64;
  priority @5 :Int64;
  callerId @6 :Text;
  query @7 :Data;
  requests @8 :List(PartialRequest);
}

struct PartialResult {
  queryId @0 :Text;
  attemptId @1 :Int64;
  service @2 :Text;
  leafId @3 :Text;
  kind @4 :Text;
  verdict @5 :Text;
  reason @6 :Text;
  snapshot @7 :Int64;
  body @8 :Data;
  latencyMs @9 :Float64;
}

struct PartialResults {
  results @0 :List(PartialResult);
  briefs @1 :List(UpstreamBrief);
}

struct Cancel {
  queryId @0 :Text;
  attemptIds @1 :List(Int64);
}

struct BookingRequest {
  key @0 :Text;
  fingerprint @1 :Text;
  index @2 :Text;
  route @3 :Text;
  service @4 :Text;
  deadlineLeftMs @5 :Int64;
  callerId @6 :Text;
  body @7 :Data;
}

struct BookingReply {
  kind @0 :Text;
  verdict @1 :Text;
  reason @2 :Text;
  status @3 :Int64;
  replayed @4 :Bool;
  body @5 :Data;
}

struct LeafRunRequest {
  key @0 :Text;
  index @1 :Text;
  route @2 :Text;
  service @3 :Text;
  leafId @4 :Text;
  deadlineLeftMs @5 :Int64;
  callerId @6 :Text;
  body @7 :Data;
}

struct ClaimLease {
  bucket @0 :Int64;
  version @1 :Int64;
}

struct ClaimLeaseRequest {
  leases @0 :List(ClaimLease);
}

struct ClaimLeaseReply {
  buckets @0 :List(Int64);
  incarnation @1 :Text;
}

struct Frame {
  requestId @0 :UInt64;
  # Zero unless the frame is a reply.
  inReplyTo @1 :UInt64;
  final @2 :Bool;
  body :union {
    hello @3 :Hello;
    heartbeat @4 :Heartbeat;
    heartbeatReply @5 :Heartbeat;
    viewUpdate @6 :ViewUpdate;
    viewRequest @7 :ViewRequest;
    joinRequest @8 :JoinRequest;
    joinReply @9 :JoinReply;
    documentsRequest @10 :DocumentsRequest;
    documentsReply @11 :DocumentsReply;
    documentPush @12 :DocumentPush;
    documentPushReply @13 :DocumentPushReply;
    partialBatch @14 :PartialBatch;
    partialResults @15 :PartialResults;
    cancel @16 :Cancel;
    bookingRequest @17 :BookingRequest;
    bookingReply @18 :BookingReply;
    leafRunRequest @19 :LeafRunRequest;
    leafRunReply @20 :BookingReply;
    claimLeaseRequest @21 :ClaimLeaseRequest;
    claimLeaseReply @22 :ClaimLeaseReply;
    beat @23 :Beat;
    beatReply @24 :Beat;
  }
}

