// Messages between damaskvalve processes, and the records of the replicated log.
// Regenerate with `make thrift`; the generated code is committed.
namespace py damaskvalve_core._gen

// ---- agreement between control hosts ----

struct Member {
  1: string member_id
  2: string address
  3: string data_centre
  // Holds its copy in memory: replicated to, but never a voter.
  4: optional bool memory_only
}

enum EntryKind { NOOP = 0, COMMAND = 1, MEMBERS = 2 }

struct LogEntry {
  1: i64 index
  2: i64 term
  3: EntryKind kind
  4: binary command
  5: list<Member> members
}

struct VoteRequest {
  1: i64 term
  2: string candidate_id
  3: i64 last_index
  4: i64 last_term
  5: bool pre_vote
  // The leader has asked for this election and serves no more.
  6: optional bool handed_over
  // The candidate has heard no leader since its process started.
  7: optional bool fresh_start
}

struct VoteReply {
  1: i64 term
  2: string voter_id
  3: bool granted
  4: bool pre_vote
}

struct AppendRequest {
  1: i64 term
  2: string leader_id
  3: string leader_address
  4: i64 previous_index
  5: i64 previous_term
  6: list<LogEntry> entries
  7: i64 commit_index
  8: double sent_at_s
}

struct AppendReply {
  1: i64 term
  2: string member_id
  3: bool success
  4: i64 match_index
  5: double sent_at_s
  // Of a snapshot in parts: how many bytes of it the member holds.
  6: optional i64 snapshot_bytes
}

struct SnapshotRequest {
  1: i64 term
  2: string leader_id
  3: string leader_address
  4: i64 last_index
  5: i64 last_term
  6: list<Member> members
  7: binary data
  8: double sent_at_s
}

// A part of a snapshot that is too large for one message; ``offset`` counts bytes.
struct SnapshotPartRequest {
  1: i64 term
  2: string leader_id
  3: string leader_address
  4: i64 last_index
  5: i64 last_term
  6: list<Member> members
  7: binary data
  8: double sent_at_s
  9: i64 offset
  10: i64 total_bytes
}

// Asks a voter to take over from a leader that stops.
struct TakeOverRequest { 1: i64 term  2: string leader_id }

struct FoundRequest { 1: list<Member> members }
struct FoundReply { 1: bool founded }

struct HelloRequest { 1: Member member  2: bool empty  3: optional bool leads  4: optional bool stopping }
struct HelloReply { 1: Member member  2: bool empty  3: string leader_address }

// ---- records of the journal and the snapshot file ----

struct HardState { 1: i64 term  2: string voted_for }

struct JournalRecord {
  1: optional LogEntry entry
  2: optional HardState hard_state
  3: optional i64 truncate_from_index
}

struct Row { 1: string table  2: string key  3: optional string value  4: i64 revision }

struct OperationRecord { 1: string operation_id  2: i64 revision  3: string actor }

struct ClaimRecord {
  1: string claim_id
  2: string state
  3: string body_digest
  4: string holder
  5: i64 index
  6: optional StoredAnswer answer
}

struct StoredAnswer {
  1: i32 status
  2: string content_type
  3: binary body
  4: string ran
}

struct JobRecord {
  1: string job_id
  2: string workspace
  3: string path
  4: binary body
  5: i64 index
  6: optional StoredAnswer answer
}

struct CreditRecord { 1: string workspace  2: double level_tokens  3: double outstanding_tokens }
struct FenceRecord { 1: string backend_server  2: i64 number  3: string holder  4: string previous_holder }
struct SuspectRecord {
  1: string fingerprint
  2: i32 crashes
  3: bool quarantined
  // Of gateways: the starts of backend servers that ended under it, and whether it is
  // refused already while it is not proved that all of them have ended.
  4: optional list<string> starts
  5: optional bool refused
  // Of parts of prompts: how many requests were let through since they are refused.
  6: optional i32 trials
}
struct AuditRecord { 1: i64 revision  2: string actor  3: string operation_id  4: string summary  5: double at_s }

struct StateSnapshot {
  1: i64 revision
  2: list<Row> rows
  3: list<OperationRecord> operations
  4: list<ClaimRecord> claims
  5: list<JobRecord> jobs
  6: list<CreditRecord> credits
  7: list<FenceRecord> fences
  8: list<SuspectRecord> suspects
  9: list<AuditRecord> audit
  10: list<Row> recent
  11: list<string> crash_reports
  12: i64 suspects_version
  13: i64 recent_floor
  14: list<DocumentRecord> documents
  15: list<VersionRecord> adapter_versions
  16: list<StreamRecord> streams
  17: list<BaseVersion> base_versions
  18: list<DepartureRecord> departures
  19: optional list<EvacuationRecord> evacuations
}

// A whole configuration under one version number; the highest version is in force.
struct DocumentRecord { 1: string name  2: i64 version  3: binary body }
// The newest version of an adapter that an operator has named.
struct VersionRecord { 1: string adapter  2: i64 version }

// The software version of the backend server that began a stream, by a digest of the id
// of the request that began it.
// ``attempt`` counts the records that a host has made: of two for a stream the later holds.
struct StreamRecord { 1: binary stream  2: string software_version  3: i64 index  4: optional i64 attempt }
// The software version of all streams of a service that have no record.
struct BaseVersion { 1: string service_name  2: string software_version }
// A backend server that has stated that it is leaving, or gone, and its start time.
struct DepartureRecord { 1: string instance_id  2: i64 started_at_ms  3: bool gone  4: i64 index }
// The newest order about a data centre: whether its backend servers get no new work.
// In a command, ``index`` is that of the newest order which the sender knows.
struct EvacuationRecord {
  1: string data_centre
  2: bool in_force
  3: string actor
  4: double ordered_at_s
  5: i64 index
}

struct SnapshotFile {
  1: i64 last_index
  2: i64 last_term
  3: list<Member> members
  4: binary data
}

// ---- commands of the replicated state ----

struct ChangeConfiguration {
  1: string operation_id
  2: i64 expected_revision
  3: string actor
  4: list<Row> rows
  5: double at_s
}

struct ClaimOnce { 1: string claim_id  2: string body_digest  3: string holder }
struct AnswerOnce { 1: string claim_id  2: string holder  3: StoredAnswer answer }
struct ReleaseOnce { 1: string claim_id  2: string holder }
struct ResolveOnce { 1: string claim_id  2: bool ran  3: string actor }
struct SubmitJob { 1: string job_id  2: string workspace  3: string path  4: binary body  5: i32 max_jobs }
struct FinishJob { 1: string job_id  2: StoredAnswer answer }
struct DropJob { 1: string job_id }
struct ReserveCredit { 1: list<CreditRecord> credits }
struct GrantFence { 1: string backend_server  2: string holder }
struct ReportCrash { 1: string fingerprint  2: string report_id  3: bool isolated }
struct ClearSuspect { 1: string fingerprint }
// Each replaces what is known of its request; one without crashes is forgotten.
struct RecordSuspects { 1: list<SuspectRecord> suspects }
struct ExpireClaims { 1: i64 through_index }
struct RecordStreams { 1: list<StreamRecord> streams }
struct ExpireStreams { 1: i64 through_index }

struct Command {
  1: optional ChangeConfiguration change
  2: optional ClaimOnce claim
  3: optional AnswerOnce answer
  4: optional ReleaseOnce release
  5: optional ResolveOnce resolve
  6: optional SubmitJob submit
  7: optional FinishJob finish
  8: optional DropJob drop
  9: optional ReserveCredit reserve
  10: optional GrantFence fence
  11: optional ReportCrash crash
  12: optional ClearSuspect clear
  13: optional ExpireClaims expire
  14: optional DocumentRecord document
  15: optional VersionRecord name_version
  16: optional RecordSuspects record_suspects
  17: optional RecordStreams record_streams
  18: optional ExpireStreams expire_streams
  19: optional BaseVersion base_version
  20: optional DepartureRecord departure
  21: optional EvacuationRecord evacuation
}

struct CommandResult {
  1: bool accepted
  2: string reason
  3: i64 revision
  4: string actor
  5: optional ClaimRecord claim
  6: optional JobRecord job
  7: optional FenceRecord fence
  8: optional SuspectRecord suspect
  9: optional EvacuationRecord evacuation
}

// ---- calls to a control host ----

struct ProposeRequest { 1: Command command }
struct ProposeReply { 1: bool done  2: string leader_address  3: optional CommandResult result  4: string reason }

struct ConfirmRequest { 1: string member_id }
struct ConfirmReply { 1: bool confirmed  2: i64 commit_index  3: string leader_address }

struct BackendReport {
  1: string backend_server
  2: string agent_address
  3: string data_centre
  4: string kind
  5: string serves
  6: string incarnation
  7: i64 sequence
  8: bool leaving
  9: i32 queued
  10: i32 running
  11: i32 max_running
  12: list<string> resident
  13: i32 slots
  14: map<string, double> served
  15: map<string, double> counters
}

struct ReportReply { 1: i64 fence_number  2: string fence_holder  3: bool fence_confirmed  4: double fence_age_s  5: map<string, double> served }

struct PollRequest {
  1: string subscriber
  2: string data_centre
  3: i64 revision
  4: i64 backends_version
  5: i64 suspects_version
  6: double wait_s
  7: string control_id
}

struct PollReply {
  1: bool fresh
  2: double age_s
  3: i64 revision
  4: bool full
  5: list<Row> rows
  6: list<string> evicted_adapters
  7: i64 backends_version
  8: optional list<BackendReport> backends
  9: i64 suspects_version
  10: optional list<SuspectRecord> suspects
  11: string leader_address
  12: string control_id
  13: list<string> removed_backends
}

struct LookupRequest { 1: string table  2: list<string> keys }
struct LookupReply { 1: bool fresh  2: double age_s  3: i64 revision  4: list<Row> rows }

struct CreditReport { 1: i64 grant_id  2: double spent_tokens  3: double returned_tokens }
struct CreditRefund { 1: double tokens  2: double charge_age_s }
struct CreditAsk {
  1: string workspace
  2: double wanted_tokens
  3: list<CreditReport> reports
  4: list<CreditRefund> refunds
}
struct CreditRequest { 1: string entry_id  2: i64 sequence  3: list<CreditAsk> asks }
struct CreditGrant { 1: string workspace  2: i64 grant_id  3: double tokens  4: double retry_after_s }
struct CreditReply { 1: bool done  2: string leader_address  3: list<CreditGrant> grants  4: double lifetime_s }

struct PermitRequest { 1: string agent_id  2: string adapter  3: i32 urgency  4: double wait_s  5: string finished_permit_id  6: double waited_s  7: string workspace  8: double share }
struct PermitReply { 1: bool granted  2: string leader_address  3: string permit_id  4: double retry_after_s  5: double valid_s }

struct LeaseJobRequest { 1: string entry_id  2: i32 max_jobs }
struct LeaseJobReply { 1: string leader_address  2: list<JobRecord> jobs }

struct ReadRequest { 1: string what  2: string key }
struct ReadReply {
  1: bool fresh
  2: i64 revision
  3: list<Row> rows
  4: list<ClaimRecord> claims
  5: list<JobRecord> jobs
  6: list<SuspectRecord> suspects
  7: list<AuditRecord> audit
  8: list<Member> members
  9: list<SubscriberRecord> subscribers
  10: string leader_address
  11: i64 commit_index
  12: i64 last_index
  13: i64 term
  // Where hosts and backend servers are, for "status".
  14: optional list<string> data_centres
}

struct SubscriberRecord { 1: string subscriber  2: string data_centre  3: i64 revision  4: double age_s }

// ---- work handed to an agent ----

struct Header { 1: string name  2: string value }

struct WorkRequest {
  1: string request_id
  2: string workspace
  3: double share
  4: string kind
  5: string model
  6: string adapter
  7: string version
  8: bool once
  9: bool deferred
  10: string method
  11: string target
  12: list<Header> headers
  13: binary body
  14: bool streamed
  15: double cost_units
  16: double deadline_s
  17: string fingerprint
  18: bool isolated
  // Which attempt of the request this is, from 1; names its report of a crash.
  19: i32 attempt
}

struct WorkStarted { 1: string request_id  2: double queued_s  3: double load_s }
struct WorkChunk { 1: string request_id  2: string text  3: i32 tokens }
struct WorkProgress { 1: string request_id }
struct WorkEnd {
  1: string request_id
  2: i32 status
  3: string adapter
  4: string version
  5: string content_type
  6: binary body
  7: i32 prompt_tokens
  8: i32 completion_tokens
  9: string finish_reason
}
struct WorkRefused {
  1: string request_id
  2: string code
  3: string message
  4: string ran
  5: double retry_after_s
  6: bool backend_crashed
  7: i32 delivered_tokens
}

struct Problem { 1: string code  2: string message }
struct Ack { 1: i64 number }

// ---- gateway hosts and the leader ----

// What a backend server last stated about its request limit, bounded by the ages of the
// earliest and the latest moment at which it can have stated it.
struct LimitNotice {
  // Absent if it stated that it has none.
  1: optional double limit_per_s
  // Absent if the moment has no lower bound.
  2: optional double earliest_age_s
  3: double latest_age_s
}
struct BackendNotice {
  1: string instance_id
  2: string service_name
  3: string address
  4: string data_centre
  5: string state
  6: i64 started_at_ms
  7: i64 sequence
  8: double age_s
  // Absent where it is left out: what is known of the adapters stays.
  9: optional list<string> resident
  10: i32 slots
  // Absent if it has never stated a limit.
  11: optional LimitNotice limit
  12: optional string software_version
  // The rest of its cold time; absent if it has stated nothing about that.
  13: optional double cold_left_s
}

struct SyncRequest {
  1: string host_address
  2: string leader_id
  3: i64 seen
  4: list<BackendNotice> notices
  5: list<CrashNotice> crashes
  6: double share
  // Seconds since a run of a suspected request ended well, by fingerprint.
  7: optional map<string, double> served
  // The leader's clock showed at least this when the request was made; absent if this
  // host has not heard the clock of this leader.
  8: optional double composed_after_s
}
struct SyncReply {
  1: string leader_address
  2: string leader_id
  3: i64 seen
  4: list<BackendNotice> notices
  6: double share
  7: double share_s
  8: i32 hosts
  // Seconds since the leader heard of backend servers that it misses, by instance.
  9: optional map<string, double> silent
  // There are more notices than fit: ask again at once.
  10: optional bool more
  11: optional double clock_s
  // The newest committed configuration when the leader, under its lease, replied.
  12: optional i64 configuration_version
  // The fraction of small rates that hosts spend without the leader.
  16: optional double small_fraction
}
// A run that did not end, on one start of a backend server.
struct CrashNotice {
  1: string fingerprint
  2: string instance_id
  3: double age_s
  4: i64 started_at_ms
  // Seconds since the same request last ended well at the host that tells this.
  5: optional double served_age_s
  // It is no sign by itself that the backend server has ended.
  6: optional bool pending
  // For how many seconds the backend server may still be running it.
  7: optional double may_run_s
  // Ids of the parts of its prompt that may have crashed the backend server.
  8: optional list<string> parts
  // Seconds since the answer began that last proved a part sound at the host.
  9: optional map<string, double> proof_ages_s
}

// Asked of any host that lends; tokens below 0 are returned to it.
struct TokensRequest {
  1: string host_address
  2: string workspace
  3: double tokens
  4: string fingerprint
  // Less than all of the tokens helps too.
  5: optional bool partial
}
struct TokensReply {
  1: string leader_address
  2: bool granted
  3: double retry_after_s
  4: optional bool unproven
  // Tokens lent although not all of them were granted.
  5: optional double lent
}

// ---- sends to backend servers that have stated a request limit ----

struct SendGrantAsk {
  1: string instance_id
  2: i64 started_at_ms
  3: LimitNotice limit
  4: i32 wanted
  5: i32 priority
  6: string workspace
  // What it tolerates; absent if it is not cold, as far as this host knows.
  7: optional double cold_per_s
}
// Grants that were not used.
struct SendGrantReturn { 1: string instance_id  2: i64 started_at_ms  3: i32 count }
struct SendGrantsRequest {
  1: string host_address
  2: string leader_id
  3: list<SendGrantAsk> asks
  4: list<SendGrantReturn> returned
  // The process that asks, the number of this call, and that of its last call with a
  // reply.
  5: string process
  6: i64 number
  7: i64 received
  8: optional double composed_after_s
}
struct SendGrant { 1: i32 count  2: double wait_s }
// One grant for each ask, in the same order; none if the host does not lead.
struct SendGrantsReply { 1: string leader_id  2: list<SendGrant> grants  3: double clock_s }

// ---- admission by the agent beside a backend server ----

// What a model, and each of its adapters, takes of an engine's memory for weights.
struct ModelSize { 1: string model  2: double weights_mb  3: double adapter_mb }
struct EngineLimits {
  1: i32 slots
  2: i32 adapter_slots
  3: i32 memory_tokens
  4: optional double model_load_s
  // Memory for the weights of models and adapters together; absent if it is unknown.
  5: optional double weights_mb
  6: optional list<ModelSize> model_sizes
}
struct AdmitRequest {
  1: string request_id
  2: string workspace
  3: string model
  4: string adapter
  5: i64 version
  6: i32 prompt_tokens
  7: i32 output_tokens
  8: i32 priority
  9: double deadline_s
  10: double wait_s
  11: string instance_id
  12: EngineLimits limits
  13: double pause_s
  14: double aim_s
  15: optional bool streams
}
struct AdmitReply {
  1: bool granted
  2: i64 version
  3: double retry_after_s
  4: string reason
  5: double waited_s
  6: optional double backlog_s
  7: optional i32 running
  8: optional bool watched
  // When the engine started, by its newest report; absent if that does not say.
  9: optional i64 started_at_ms
}
struct AdmitEnd {
  1: string request_id
  2: string outcome
  3: optional double interval_s
  // Of a request that waits: the version of its adapter that was named meanwhile.
  4: optional i64 version
}
