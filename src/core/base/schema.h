#ifndef SCHEMA_H
#define SCHEMA_H

/**
 * @file schema.h
 * Schemas (field tables) of the core's plain structs. Every struct that is sent
 * to another process, stored or shown to operators has a schema, by which
 * bodies (instances of the struct) are freed, copied, and encoded as protobuf
 * and JSON. The fields of a schema are in the order of the protobuf message.
 */

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/** Types of structs that a frame, a record or a log entry can contain. */
enum schema_type {
	TYPE_NONE = 0,
	/* messages that open and monitor links, msg_link.h */
	MSG_HELLO = 1,
	MSG_PING = 2,
	MSG_PONG = 3,
	/* requests between entries and agents, msg_request.h */
	MSG_REQUEST = 20,
	MSG_RESPONSE = 21,
	MSG_CANCEL = 22,
	MSG_OUTCOME_QUERY = 23,
	MSG_LOAD = 24,
	/* between control, agents and entries, msg_control.h */
	MSG_REPORT = 40,
	MSG_GRANT = 41,
	MSG_TASK_ORDER = 42,
	MSG_TASK_EVENT = 43,
	MSG_VIEW_QUERY = 44,
	MSG_VIEW = 45,
	MSG_CLAIM_QUERY = 46,
	MSG_CLAIM_REPLY = 47,
	MSG_CLAIM_DONE = 48,
	/* workflows, flow.h */
	MSG_FLOW_CALL = 49,
	MSG_FLOW_REPLY = 50,
	MSG_FLOW_REPORT = 51,
	MSG_FLOW_GRANT = 52,
	MSG_FLOW_ORDERS = 53,
	MSG_PEERS = 54, /* msg_control.h */
	/* replicated log, msg_raft.h */
	MSG_VOTE = 60,
	MSG_VOTE_REPLY = 61,
	MSG_APPEND = 62,
	MSG_APPEND_REPLY = 63,
	MSG_SNAPSHOT_PAGE = 64,
	MSG_SNAPSHOT_REPLY = 65,
	MSG_FORM = 66,
	MSG_TRANSFER = 67,
	MSG_LEAVE = 68,
	REC_HARD_STATE = 70,
	REC_LOG_ENTRY = 71,
	REC_SNAPSHOT_HEAD = 72,
	/* commands of the state machine, command.h and flow.h */
	CMD_NOOP = 100,
	CMD_MEMBERS = 101, /* msg_raft.h */
	CMD_BUNDLE_SUBMIT = 102,
	CMD_BUNDLE_SIGN = 103,
	CMD_ZONE_SET = 104,
	CMD_VM_SET = 105,
	CMD_VM_LOST = 106,
	CMD_VM_QUARANTINE = 107,
	CMD_JOB_SUBMIT = 108,
	CMD_JOB_CANCEL = 109,
	CMD_TASK_PLACE = 110,
	CMD_TASK_SET = 111,
	CMD_CLAIM = 112,
	CMD_CLAIM_DONE = 113,
	CMD_EXPIRE = 114,
	CMD_BUNDLE_PUT = 115,
	CMD_FLOW_SUBMIT = 116,
	CMD_FLOW_CANCEL = 117,
	CMD_FLOW_CHANGE = 118,
	CMD_FLOW_EXPIRE = 119,
	CMD_PRESSURE = 120,
	CMD_FLOW_WORKERS = 121,
	CMD_SHARE_WEIGHT = 122,
	CMD_SHARE_USES = 123,
	/* records of its snapshots, command.h and flow.h */
	REC_BUNDLE = 150,
	REC_ZONE = 151,
	REC_VM = 152,
	REC_JOB = 153,
	REC_TASK = 154,
	REC_CLAIM = 155,
	REC_COUNTERS = 156,
	REC_FLOW = 157,
	REC_PRESSURE = 158,
	REC_FLOW_WORKER = 159,
	REC_SHARE = 160,
	/* enum op_type: operators' requests and replies, op.h */
	OP_FIRST = 200,
	OP_LAST = 249,
	/* calls and replies between agents and workers, platform.h */
	PLATFORM_START = 250,
	PLATFORM_STOP = 251,
	PLATFORM_CHECKPOINT = 252,
	PLATFORM_THROTTLE = 253,
	PLATFORM_LEASE = 254,
	PLATFORM_LIST = 255,
	PLATFORM_TASKS = 256,
	PLATFORM_REPLY = 257,
	PLATFORM_ANNOUNCE = 258,
};

enum field_kind {
	FIELD_BOOL, /* bool */
	FIELD_U32, /* uint32_t */
	FIELD_U64, /* uint64_t */
	FIELD_STRING, /* char[capacity], NUL-terminated */
	FIELD_BYTES, /* GBytes *, a reference owned by the struct, or NULL */
	FIELD_STRUCT, /* embedded struct */
	FIELD_STRUCTS, /* struct array on the heap, count in a uint32_t */
	FIELD_U64S, /* uint64_t array on the heap, count in a uint32_t */
	FIELD_RECORD, /* struct record */
};

struct schema;

struct field {
	const char *name;
	enum field_kind kind;
	uint32_t offset;
	uint32_t nr_offset; /* offset of an array's count, else 0 */
	uint32_t capacity; /* FIELD_STRING: size of the array in bytes */
	const struct schema *schema; /* FIELD_STRUCT(S): of the struct(s) */
};

struct schema {
	const char *name; /* of the protobuf message */
	uint32_t size; /* of the struct in bytes */
	uint32_t nr_fields;
	const struct field *fields;
};

/** A reference to a typed body on the heap, which is immutable once shared. */
struct record {
	uint32_t type; /* enum schema_type or enum op_type */
	void *body; /* from schema_alloc(), or NULL */
};

struct schema_entry {
	uint32_t type;
	const struct schema *schema;
};

#define FIELD_SCALAR(kind, strct, member)                                 \
	{                                                                 \
#member, kind, offsetof(struct strct, member), 0, 0, NULL \
	}
#define F_BOOL(strct, member) FIELD_SCALAR(FIELD_BOOL, strct, member)
#define F_U32(strct, member) FIELD_SCALAR(FIELD_U32, strct, member)
#define F_U64(strct, member) FIELD_SCALAR(FIELD_U64, strct, member)
#define F_BYTES(strct, member) FIELD_SCALAR(FIELD_BYTES, strct, member)
#define F_RECORD(strct, member) FIELD_SCALAR(FIELD_RECORD, strct, member)
#define F_STRING(strct, member)                                           \
	{                                                                 \
#member, FIELD_STRING, offsetof(struct strct, member), 0, \
			sizeof(((struct strct *)0)->member), NULL         \
	}
#define F_STRUCT(strct, member, schema)                                      \
	{                                                                    \
#member, FIELD_STRUCT, offsetof(struct strct, member), 0, 0, \
			&(schema)                                            \
	}
/* The member nr_MEMBER has to hold the number of items of the array MEMBER. */
#define F_STRUCTS(strct, member, schema)                                  \
	{                                                                 \
#member, FIELD_STRUCTS, offsetof(struct strct, member),   \
			offsetof(struct strct, nr_##member), 0, &(schema) \
	}
#define F_U64S(strct, member)                                        \
	{                                                            \
#member, FIELD_U64S, offsetof(struct strct, member), \
			offsetof(struct strct, nr_##member), 0, NULL \
	}
#define SCHEMA(var, proto_name, strct, table)                         \
	const struct schema var = { proto_name, sizeof(struct strct), \
				    G_N_ELEMENTS(table), table }

/** Returns the schema of @a type, or NULL if the type is unknown. */
const struct schema *schema_of(uint32_t type);

/** Releases the arrays and references of @a body, and sets it to zeros. */
void schema_clear(const struct schema *schema, void *body);

/** Makes @a dst an independent copy of @a src; @a dst is overwritten. */
void schema_copy(const struct schema *schema, void *dst, const void *src);

/** Returns a new body of @a type with one reference; all members are zero. */
void *schema_alloc(uint32_t type);

/** Returns a new copy of @a body with one reference. */
void *schema_dup(uint32_t type, const void *body);

/** Adds a reference to the body and returns the record. */
struct record record_ref(struct record record);

/** Drops a reference. Does nothing for a record without a body. */
void record_unref(struct record record);

/** Copies up to @a capacity - 1 bytes of @a src to @a dst; NULL is "". */
void text_set(char *dst, size_t capacity, const char *src);
#define TEXT_SET(array, src) text_set((array), sizeof(array), (src))

#endif /* SCHEMA_H */
