#include "platform.h"
#include "schema_tables.h"

static const struct field start_fields[] = {
	F_U64(platform_start, task_id),
	F_U64(platform_start, epoch),
	F_STRING(platform_start, job),
	F_STRING(platform_start, kind),
	F_STRING(platform_start, payload),
	F_U32(platform_start, cpu_millis),
	F_U32(platform_start, memory_mib),
	F_U32(platform_start, accelerators),
	F_STRING(platform_start, checkpoint),
	F_U32(platform_start, lease_ms),
	F_U32(platform_start, start_within_ms),
	F_U64(platform_start, sent_us),
};
SCHEMA(platform_start_schema, "PlatformStart", platform_start, start_fields);

static const struct field stop_fields[] = {
	F_U64(platform_stop, task_id),
	F_U64(platform_stop, epoch),
};
static SCHEMA(stop_schema, "PlatformStop", platform_stop, stop_fields);

static const struct field checkpoint_fields[] = {
	F_U64(platform_checkpoint, task_id),
	F_U64(platform_checkpoint, epoch),
};
static SCHEMA(checkpoint_schema, "PlatformCheckpoint", platform_checkpoint,
	      checkpoint_fields);

static const struct field throttle_fields[] = {
	F_U64(platform_throttle, task_id),
	F_U64(platform_throttle, epoch),
	F_U32(platform_throttle, cpu_ppm),
};
static SCHEMA(throttle_schema, "PlatformThrottle", platform_throttle,
	      throttle_fields);

static const struct field lease_item_fields[] = {
	F_U64(platform_lease_item, task_id),
	F_U64(platform_lease_item, epoch),
};
static SCHEMA(lease_item_schema, "PlatformLeaseItem", platform_lease_item,
	      lease_item_fields);

static const struct field lease_fields[] = {
	F_U32(platform_lease, lease_ms),
	F_STRUCTS(platform_lease, tasks, lease_item_schema),
	F_U64(platform_lease, sent_us),
};
static SCHEMA(lease_schema, "PlatformLease", platform_lease, lease_fields);

static const struct field list_fields[] = {
	F_BOOL(platform_list, with_finished),
};
static SCHEMA(list_schema, "PlatformList", platform_list, list_fields);

static const struct field task_fields[] = {
	F_U64(platform_task, task_id),
	F_U64(platform_task, epoch),
	F_U32(platform_task, run),
	F_U32(platform_task, progress_ppm),
	F_STRING(platform_task, checkpoint),
	F_U32(platform_task, age_ms),
	F_U32(platform_task, cpu_used_millis),
	F_U32(platform_task, memory_used_mib),
	F_U32(platform_task, rate_ppm),
	F_U32(platform_task, service_time_us),
};
SCHEMA(platform_task_schema, "PlatformTask", platform_task, task_fields);

static const struct field tasks_fields[] = {
	F_STRUCTS(platform_tasks, tasks, platform_task_schema),
};
static SCHEMA(tasks_schema, "PlatformTasks", platform_tasks, tasks_fields);

static const struct field reply_fields[] = {
	F_U32(platform_reply, result),
	F_STRING(platform_reply, checkpoint),
	F_U32(platform_reply, progress_ppm),
};
static SCHEMA(reply_schema, "PlatformReply", platform_reply, reply_fields);

static const struct field announce_fields[] = {
	F_STRING(platform_announce, id),
	F_STRING(platform_announce, service),
	F_STRING(platform_announce, address),
	F_U32(platform_announce, slots),
	F_U32(platform_announce, connections),
	F_BOOL(platform_announce, leaving),
};
static SCHEMA(announce_schema, "PlatformAnnounce", platform_announce,
	      announce_fields);

const struct schema_entry schema_platform[] = {
	{ PLATFORM_START, &platform_start_schema },
	{ PLATFORM_STOP, &stop_schema },
	{ PLATFORM_CHECKPOINT, &checkpoint_schema },
	{ PLATFORM_THROTTLE, &throttle_schema },
	{ PLATFORM_LEASE, &lease_schema },
	{ PLATFORM_LIST, &list_schema },
	{ PLATFORM_TASKS, &tasks_schema },
	{ PLATFORM_REPLY, &reply_schema },
	{ PLATFORM_ANNOUNCE, &announce_schema },
	{ TYPE_NONE, NULL },
};
