// Messages between leadhollow's own processes. Each frame is a 4-byte length, a Header and a body,
// both in the compact protocol. Times are milliseconds, sizes bytes, unless a name says otherwise.
namespace py leadhollow.wire.generated

struct Header { 1: i32 kind; 2: i64 call_id; 3: i32 body_type; 4: optional i32 code; 5: optional string detail }
struct Hello { 1: string vm; 2: string failure_domain; 3: string token; 4: i32 protocol_version }
struct Done { }

// Replicated log.
struct LogEntry { 1: i64 index; 2: i64 term; 3: binary command }
struct VoteRequest { 1: i64 term; 2: string candidate; 3: i64 last_index; 4: i64 last_term; 5: bool pre_vote; 6: optional bool transfer; 7: optional string voter }
struct VoteReply { 1: i64 term; 2: bool granted }
struct AppendRequest { 1: i64 term; 2: string leader; 3: i64 previous_index; 4: i64 previous_term; 5: list<LogEntry> entries; 6: i64 commit_index; 7: optional string replica }
struct AppendReply { 1: i64 term; 2: bool success; 3: i64 match_index; 4: optional i64 received_bytes }
struct SnapshotRequest { 1: i64 term; 2: string leader; 3: i64 last_index; 4: i64 last_term; 5: binary data; 6: optional binary voters; 7: optional string replica }
// Part of a request between replicas that is too large for one frame; the reply is an AppendReply.
struct RequestPart { 1: i64 term; 2: string leader; 3: string replica; 4: i64 transfer; 5: i32 body_type; 6: i64 offset; 7: i64 size; 8: binary data }
struct StandNow { 1: i64 term; 2: string leader }
struct JoinRequest { 1: string replica; 2: string address; 3: string failure_domain }
struct JoinReply { 1: string leader_address; 2: list<string> addresses; 3: bool voter }
struct ReadIndexRequest { 1: string replica }
struct ReadIndexReply { 1: i64 index }
struct StateProbe { 1: string vm }
struct StateProbeReply { 1: bool blank; 2: i64 term; 3: string leader; 4: i64 last_index }
struct LeaseRenewal { 1: string name; 2: string holder; 3: i64 fence }
struct LeaseRenewalReply { 1: bool renewed; 2: i32 ttl_ms; 3: i64 fence }
struct ProposeRequest { 1: binary command }
struct ProposeReply { 1: i32 code; 2: string detail; 3: binary answer; 4: i64 index; 5: string leader }

// Catalog: table rows, versions, leases, drains.
struct CatalogWatch { 1: i64 from_revision; 2: bool takes_whole }
// Items of a whole view replace the catalog: what is not among them is removed. One in parts has its revision in the last.
struct CatalogUpdate { 1: i64 revision; 2: list<binary> items; 3: bool whole }
struct AppliedReport { 1: string vm; 2: string failure_domain; 3: i64 revision; 4: string role }

// Membership.
struct ServingVersion { 1: string model; 2: string version; 3: string root }
struct Announcement { 1: string server; 2: i64 incarnation; 3: string address; 4: string failure_domain; 5: string kind; 6: string service_name; 7: i32 slots; 8: i32 in_flight; 9: i32 waiting; 10: bool draining; 11: list<ServingVersion> serving; 12: list<string> complete_roots; 13: i64 applied_revision; 14: i64 origin_bytes; 15: string vm; 16: bool leaving; 17: bool engine_lost }
struct Heartbeat { 1: i32 in_flight; 2: i64 applied_revision }
struct MemberView { 1: string server; 2: i64 incarnation; 3: string address; 4: string failure_domain; 5: string kind; 6: string service_name; 7: i32 slots; 8: i32 in_flight; 9: bool draining; 10: list<ServingVersion> serving; 11: i32 handle }
struct CapacityLine { 1: string kind; 2: string model; 3: string root; 4: i32 total_slots; 5: i32 free_slots; 6: list<MemberView> candidates }
struct DomainSummary { 1: string failure_domain; 2: i64 sequence; 3: list<CapacityLine> lines; 4: i32 members; 5: string sender; 6: i64 epoch; 7: bool unchanged }
struct DomainApplied { 1: string failure_domain; 2: i64 revision; 3: i32 daemons; 4: list<string> behind; 5: string reporter; 6: list<CapacityLine> lines; 7: i64 origin_bytes }
struct ViewWatch { 1: string vm }
struct ViewUpdate { 1: bool snapshot; 2: list<MemberView> members; 3: list<string> removed; 4: list<DomainSummary> summaries; 5: list<i32> load_handles; 6: list<i32> load_in_flight }

// Control feed: catalog, backend servers that announce themselves, their loads.
struct ServedModel { 1: string model; 2: i64 version; 3: i32 first_layer; 4: i32 end_layer }
struct InstanceRecord { 1: string instance; 2: string service_name; 3: string address; 4: string failure_domain; 5: i64 sequence; 6: i32 state; 7: i32 slots; 8: list<ServedModel> models; 9: i32 heard_age_ms; 10: i32 cold_ms; 11: i64 born_ms }
struct LoadRecord { 1: string address; 2: i32 active; 3: i32 queued; 4: i64 kv_used; 5: i64 kv_total; 6: i32 pace_permille; 7: list<ServedModel> models; 8: bool switching; 9: i32 age_ms; 10: i64 staged_version; 11: i32 staged_pieces; 12: i32 path_delay_ms; 13: i64 born_ms }
// What entries have at an engine, told at once so that they do not choose the same one unseen. The
// engine is a place in the list of addresses of the message; a feed goes on counting from update to update.
struct EngineUse { 1: i32 engine; 2: i32 requests; 3: i32 unread_tokens }
// New requests for a service that were decided on lately, in thousandths, and those refused of them. The urgency is
// left out for the most urgent requests, and so where the table gives a service only one.
struct ServiceDecisions { 1: string name; 2: i32 made_milli; 3: i32 refused_milli; 4: i32 urgency }
struct UseReport { 1: list<string> engines; 2: list<EngineUse> uses; 3: bool whole; 4: list<ServiceDecisions> decisions }
struct UseTotals { 1: string address; 2: list<string> engines; 3: list<EngineUse> uses; 4: bool whole; 5: list<ServiceDecisions> decisions }
// A life of a backend server that ended, the fingerprints of requests that ran there, and those of them that
// ended well elsewhere. A verdict is a request that is sent no more, or one that was let go again.
struct ServerEnd { 1: string life; 2: list<binary> ran; 3: list<binary> cleared; 4: i64 age_ms; 5: bool alive }
struct Verdict { 1: binary fingerprint; 2: i32 number; 3: bool released; 4: list<string> lives; 5: i64 age_ms }
struct SuspectNews { 1: string address; 2: i64 mark; 3: list<ServerEnd> ends; 4: list<Verdict> verdicts }
// An entry asks a replica for its table of suspects and each later change of it.
struct SuspectWatch { 1: string vm }
// An operator asks a control replica for its table of suspects, or lets a request go.
struct SuspectQuery { 1: string operator }
struct SuspectRelease { 1: binary fingerprint; 2: string operator }
// What a life of a backend server said of the requests a second that it takes from all entries. A negative age
// stands for never.
struct LimitRecord { 1: string life; 2: double per_s; 3: i64 named_age_ms; 4: i64 lifted_age_ms }
// An entry asks for shares of limits; asked_ms is of its own clock, and comes back with the lease.
struct ServiceRate { 1: string service_name; 2: double per_s }
struct ShareRequest { 1: string vm; 2: string failure_domain; 3: i64 asked_ms; 4: list<ServiceRate> demand }
struct LimitNews { 1: string address; 2: i64 mark; 3: list<LimitRecord> limits; 4: list<ShareRequest> requests }
struct LimitShare { 1: string life; 2: double share }
struct LimitLease { 1: string vm; 2: i64 asked_ms; 3: list<LimitShare> shares }
struct LimitLeases { 1: i64 term; 2: list<LimitLease> leases }
// What lives of backend servers said of themselves in answers: that they leave, or the rest that they want of a
// VM, as what is left of it. The address is that of a replica that passes it on, empty of an entry; told_by is the VM
// that heard it, empty where that sends the message. Fields 1 and 2 are not sent any more.
struct ServerWord { 3: bool leaving; 4: i32 rest_ms; 5: string life; 6: string told_by }
struct ServerWords { 1: string address; 2: list<ServerWord> words }
// An operator asks a control replica how backend servers stand. Times are ages; a limit below 0 stands for none.
struct StandingQuery { 1: string operator }
struct ServerStanding { 1: InstanceRecord instance; 2: i64 leaving_age_ms; 3: string leaving_told_by; 4: i32 rest_ms; 5: string rest_told_by; 6: double limit_per_s }
struct ServerStandings { 1: list<ServerStanding> servers }
// An operator evacuates or restores a failure domain, or asks for all of them. Age and revision are 0 of one that is
// not evacuated. Entries are those that follow the replica that answers; running requests are those at all engines.
struct DomainOrder { 1: string failure_domain; 2: bool evacuated; 3: string operator }
struct DomainQuery { 1: string operator }
struct DomainStanding { 1: string failure_domain; 2: bool evacuated; 3: i64 age_ms; 4: i64 revision; 5: i32 entries; 6: i32 told_entries; 7: i32 engines; 8: i32 running }
struct DomainStandings { 1: list<DomainStanding> domains }
// takes_packed: items may come as packed_items, msgpack compressed by zlib.
// How long ago a version of weights was named, by steady clocks only: the time of day may jump.
struct VersionAge { 1: string model; 2: i64 version; 3: i64 age_ms }
// `named` is what the subscriber knows: a replica that has just started may know nothing.
struct FeedWatch { 1: string vm; 2: string role; 3: string failure_domain; 4: i64 from_revision; 5: bool takes_packed; 6: optional list<VersionAge> named; 7: bool takes_whole_catalog }
// Field 10 is not sent any more; packed_uses says the same in three bytes an engine. With whole_catalog the items replace
// the catalog: what is not among them is removed.
struct FeedUpdate { 1: i64 revision; 2: list<binary> items; 3: i32 confirmed_age_ms; 4: list<InstanceRecord> instances; 5: list<LoadRecord> loads; 6: list<string> replicas; 7: i32 entries; 8: bool whole; 9: list<string> engines; 10: list<EngineUse> uses; 11: list<VersionAge> named; 12: list<ServiceDecisions> decisions; 13: list<string> silent; 14: binary packed_uses; 15: SuspectNews suspects; 16: binary packed_items; 17: LimitNews limits; 18: LimitLease limit_lease; 19: list<ServerWord> rests; 20: bool whole_catalog }
struct FeedProbe { 1: string vm }
struct FeedProbeReply { 1: i32 confirmed_age_ms; 2: i64 revision; 3: list<string> replicas }
struct RegistryPush { 1: string address; 2: list<InstanceRecord> instances; 3: list<LoadRecord> loads; 4: i32 entries; 5: bool whole; 6: list<VersionAge> named; 7: list<string> heard }
struct LoadReport { 1: list<LoadRecord> loads }

// Pieces between stagers.
struct PieceWatch { 1: string model; 2: i64 version; 3: string address; 4: string failure_domain }
struct PieceNews { 1: binary held; 2: list<i32> added }
struct SliceRequest { 1: string model; 2: i64 version; 3: i32 piece; 4: i32 offset; 5: i32 size_bytes; 6: string failure_domain; 7: i32 turn; 8: i32 patience_ms }
struct SliceReply { 1: binary data; 2: i32 waited_ms }

// Placement and share of capacity.
struct Order { 1: i64 fence; 2: string holder; 3: string model; 4: string version; 5: string root; 6: bool activate; 7: i64 size_bytes; 8: string origin_url; 9: i64 revision; 10: bool hedge }
struct GroupDemand { 1: string group; 2: i32 waiting; 3: i32 running; 4: i64 tokens_used }
struct DemandReport { 1: string vm; 2: list<GroupDemand> groups; 3: i64 applied_revision }
struct GroupShare { 1: string group; 2: double slots; 3: double tokens_per_s }
struct ShareLease { 1: list<GroupShare> groups; 2: i32 valid_ms; 3: i32 entries }

// Requests.
struct Dispatch { 1: string request_id; 2: i32 attempt; 3: i64 incarnation; 4: string group; 5: string model; 6: string root; 7: bool repeatable; 8: i64 deadline_ms; 9: string method; 10: string path; 11: map<string,string> headers; 12: binary body; 13: i32 priority; 14: bool model_call }
struct Output { 1: i64 sequence; 2: binary data; 3: i32 status; 4: map<string,string> headers; 5: bool last; 6: i32 prompt_tokens; 7: i32 generated_tokens; 8: string finish_reason }
struct Tombstone { 1: string request_id; 2: i32 attempt; 3: i64 incarnation }
struct TombstoneReply { 1: bool placed; 2: string progress }

// Weights.
struct SwarmJoin { 1: string root; 2: string server; 3: string address; 4: string failure_domain; 5: i32 chunks_held }
struct Neighbour { 1: string server; 2: string address; 3: string failure_domain }
struct SwarmNeighbours { 1: list<Neighbour> neighbours }
struct OriginLeaseRequest { 1: string root; 2: string server; 3: binary held; 4: i32 window; 5: i32 chunk_count; 6: list<i32> done; 7: list<i32> stuck; 8: bool hedge }
struct OriginLease { 1: list<i32> chunks; 2: i32 valid_ms; 3: i32 remaining; 4: i32 retry_ms; 5: i32 window; 6: list<i32> revoked }
struct HaveWatch { 1: string root; 2: string server }
struct HaveUpdate { 1: binary bitmap; 2: list<i32> added }
struct ChunkRequest { 1: string root; 2: i32 index }
struct ChunkReply { 1: binary data }
