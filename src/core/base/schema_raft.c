#include "msg_raft.h"
#include "schema_tables.h"

static const struct field vote_fields[] = {
	F_U64(vote, term), F_U64(vote, last_index), F_U64(vote, last_term),
	F_BOOL(vote, pre), F_BOOL(vote, transfer),
};
static SCHEMA(vote_schema, "Vote", vote, vote_fields);

static const struct field vote_reply_fields[] = {
	F_U64(vote_reply, term),
	F_BOOL(vote_reply, pre),
	F_BOOL(vote_reply, granted),
};
static SCHEMA(vote_reply_schema, "VoteReply", vote_reply, vote_reply_fields);

static const struct field log_entry_fields[] = {
	F_U64(log_entry, index),
	F_U64(log_entry, term),
	F_RECORD(log_entry, command),
};
static SCHEMA(log_entry_schema, "LogEntry", log_entry, log_entry_fields);

static const struct field append_fields[] = {
	F_U64(append, term),	  F_U64(append, prev_index),
	F_U64(append, prev_term), F_U64(append, commit_index),
	F_U64(append, sent_us),	  F_STRUCTS(append, entries, log_entry_schema),
};
static SCHEMA(append_schema, "Append", append, append_fields);

static const struct field append_reply_fields[] = {
	F_U64(append_reply, term),
	F_BOOL(append_reply, success),
	F_U64(append_reply, match_index),
	F_U64(append_reply, sent_us),
};
static SCHEMA(append_reply_schema, "AppendReply", append_reply,
	      append_reply_fields);

static const struct field snapshot_record_fields[] = {
	F_RECORD(snapshot_record, record),
};
static SCHEMA(snapshot_record_schema, "SnapshotRecord", snapshot_record,
	      snapshot_record_fields);

static const struct field snapshot_page_fields[] = {
	F_U64(snapshot_page, term),
	F_U64(snapshot_page, last_index),
	F_U64(snapshot_page, last_term),
	F_U32(snapshot_page, page),
	F_BOOL(snapshot_page, last),
	F_U64(snapshot_page, sent_us),
	F_STRUCTS(snapshot_page, records, snapshot_record_schema),
};
static SCHEMA(snapshot_page_schema, "SnapshotPage", snapshot_page,
	      snapshot_page_fields);

static const struct field snapshot_reply_fields[] = {
	F_U64(snapshot_reply, term),	F_U64(snapshot_reply, last_index),
	F_U32(snapshot_reply, page),	F_BOOL(snapshot_reply, accepted),
	F_U64(snapshot_reply, sent_us),
};
static SCHEMA(snapshot_reply_schema, "SnapshotReply", snapshot_reply,
	      snapshot_reply_fields);

static const struct field form_fields[] = {
	F_BOOL(form, fresh),  F_U64(form, vote_for),	F_U64(form, sent_us),
	F_U64(form, echo_us), F_BOOL(form, unrecorded),
};
static SCHEMA(form_schema, "Form", form, form_fields);

static const struct field transfer_fields[] = {
	F_U64(transfer, term),
};
static SCHEMA(transfer_schema, "Transfer", transfer, transfer_fields);

static const struct field leave_fields[] = {
	F_BOOL(leave, removed),
};
static SCHEMA(leave_schema, "Leave", leave, leave_fields);

static const struct field hard_state_fields[] = {
	F_U64(hard_state, node_id),
	F_U64(hard_state, term),
	F_U64(hard_state, voted_for),
	F_U64(hard_state, formation),
};
static SCHEMA(hard_state_schema, "HardState", hard_state, hard_state_fields);

static const struct field snapshot_head_fields[] = {
	F_U64(snapshot_head, last_index),
	F_U64(snapshot_head, last_term),
	F_U64(snapshot_head, nr_records),
};
static SCHEMA(snapshot_head_schema, "SnapshotHead", snapshot_head,
	      snapshot_head_fields);

static const struct field member_fields[] = {
	F_U64(member, node_id),
	F_STRING(member, name),
	F_STRING(member, address),
	F_BOOL(member, voter),
};
SCHEMA(member_schema, "Member", member, member_fields);

static const struct field members_fields[] = {
	F_STRUCTS(members, members, member_schema),
	F_BOOL(members, founded),
};
static SCHEMA(members_schema, "Members", members, members_fields);

const struct schema_entry schema_raft[] = {
	{ MSG_VOTE, &vote_schema },
	{ MSG_VOTE_REPLY, &vote_reply_schema },
	{ MSG_APPEND, &append_schema },
	{ MSG_APPEND_REPLY, &append_reply_schema },
	{ MSG_SNAPSHOT_PAGE, &snapshot_page_schema },
	{ MSG_SNAPSHOT_REPLY, &snapshot_reply_schema },
	{ MSG_FORM, &form_schema },
	{ MSG_TRANSFER, &transfer_schema },
	{ MSG_LEAVE, &leave_schema },
	{ REC_HARD_STATE, &hard_state_schema },
	{ REC_LOG_ENTRY, &log_entry_schema },
	{ REC_SNAPSHOT_HEAD, &snapshot_head_schema },
	{ CMD_MEMBERS, &members_schema },
	{ TYPE_NONE, NULL },
};
