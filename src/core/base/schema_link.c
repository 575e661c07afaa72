#include "msg_link.h"
#include "schema_tables.h"

static const struct field hello_fields[] = {
	F_U32(hello, protocol_version),
	F_U64(hello, node_id),
	F_U32(hello, role),
	F_STRING(hello, name),
	F_STRING(hello, zone),
	F_STRING(hello, address),
};
static SCHEMA(hello_schema, "Hello", hello, hello_fields);

static const struct field ping_fields[] = {
	F_U64(ping, seq),
	F_U64(ping, sent_us),
};
static SCHEMA(ping_schema, "Ping", ping, ping_fields);

static const struct field pong_fields[] = {
	F_U64(pong, seq),
	F_U64(pong, sent_us),
};
static SCHEMA(pong_schema, "Pong", pong, pong_fields);

const struct schema_entry schema_link[] = {
	{ MSG_HELLO, &hello_schema },
	{ MSG_PING, &ping_schema },
	{ MSG_PONG, &pong_schema },
	{ TYPE_NONE, NULL },
};
