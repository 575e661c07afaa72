/**
 * @file stub_roles.c
 * Placeholders for the roles until they are in the core.
 */

#include <string.h>

#include "agent.h"
#include "control.h"
#include "entry.h"

struct entry {
	struct entry_opts opts;
};

struct agent {
	struct agent_opts opts;
};

struct control {
	struct control_opts opts;
	struct node *node;
	struct bundle *bundle;
	char signed_by[NAME_BYTES];
	GHashTable *zones; /* char * -> struct zone_record * */
	GHashTable *jobs; /* char *key -> uint64_t * */
};

static const struct role_ops stub_entry_ops = { .role = ROLE_ENTRY,
						.free = g_free };
static const struct role_ops stub_agent_ops = { .role = ROLE_AGENT,
						.free = g_free };

struct entry *entry_new(struct node *node, const struct entry_opts *opts)
{
	struct entry *entry = g_new0(struct entry, 1);

	entry->opts = *opts;
	node_set_role(node, &stub_entry_ops, entry);
	return entry;
}

void entry_submit(struct entry *entry, uint64_t ticket,
		  const struct request *request)
{
	struct response response = { 0 };

	response.run = RUN_NOT_RUN;
	response.result = RESULT_NO_BUNDLE;
	entry->opts.host->respond(entry->opts.host_ctx, ticket, &response);
}

void entry_abandon(struct entry *entry, uint64_t ticket)
{
}

bool entry_ready(const struct entry *entry)
{
	return false;
}

struct agent *agent_new(struct node *node, const struct agent_opts *opts)
{
	struct agent *agent = g_new0(struct agent, 1);

	agent->opts = *opts;
	node_set_role(node, &stub_agent_ops, agent);
	return agent;
}

enum result agent_announce(struct agent *agent,
			   const struct platform_announce *announce)
{
	return announce->slots ? RESULT_OK : RESULT_OUT_OF_RANGE;
}

void agent_withdraw(struct agent *agent, const char *upstream_id)
{
}

void agent_upstream_done(struct agent *agent, uint64_t call_nr,
			 const struct upstream_result *result)
{
}

void agent_platform_done(struct agent *agent, uint64_t call_nr, uint32_t type,
			 const void *body)
{
}

static void stub_control_free(void *role)
{
	struct control *control = role;

	record_unref((struct record){ CMD_BUNDLE_SUBMIT, control->bundle });
	g_hash_table_unref(control->zones);
	g_hash_table_unref(control->jobs);
	g_free(control);
}

static const struct role_ops stub_control_ops = { .role = ROLE_CONTROL,
						  .free = stub_control_free };

struct control *control_new(struct node *node, const struct control_opts *opts)
{
	struct control *control = g_new0(struct control, 1);

	control->opts = *opts;
	control->node = node;
	control->zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	control->jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	node_set_role(node, &stub_control_ops, control);
	return control;
}

static void stub_bundle(struct control *control, uint32_t type,
			const void *body, struct op_reply *reply)
{
	const struct bundle *bundle = body;
	const struct cmd_bundle_sign *sign = body;

	if (type == OP_BUNDLE_SIGN) {
		if (!control->bundle ||
		    control->bundle->version != sign->version)
			reply->result = RESULT_UNKNOWN_OBJECT;
		else if (strcmp(control->bundle->digest, sign->digest))
			reply->result = RESULT_CONFLICT;
		else
			TEXT_SET(control->signed_by, sign->signed_by);
		return;
	}
	reply->version = bundle->version;
	if (control->bundle && bundle->version < control->bundle->version)
		reply->result = RESULT_STALE;
	else if (control->bundle &&
		 bundle->version == control->bundle->version &&
		 strcmp(bundle->digest, control->bundle->digest))
		reply->result = RESULT_CONFLICT;
	if (type == OP_BUNDLE_CHECK || reply->result)
		return;
	record_unref((struct record){ CMD_BUNDLE_SUBMIT, control->bundle });
	control->bundle = schema_dup(CMD_BUNDLE_SUBMIT, bundle);
}

static void stub_zone_set(struct control *control,
			  const struct cmd_zone_set *set,
			  struct op_reply *reply)
{
	struct zone_record *zone =
		g_hash_table_lookup(control->zones, set->name);

	if (!zone) {
		zone = g_new0(struct zone_record, 1);
		TEXT_SET(zone->name, set->name);
		g_hash_table_insert(control->zones, zone->name, zone);
	}
	if (zone->version != set->expected_version) {
		reply->result = RESULT_STALE;
	} else {
		zone->version++;
		zone->out = set->out;
		TEXT_SET(zone->changed_by, set->changed_by);
	}
	reply->version = zone->version;
}

static void stub_job_submit(struct control *control,
			    const struct job_record *job,
			    struct op_reply *reply)
{
	uint64_t *id = g_hash_table_lookup(control->jobs, job->key);

	if (!id) {
		id = g_new0(uint64_t, 1);
		*id = g_hash_table_size(control->jobs) + 1;
		g_hash_table_insert(control->jobs, g_strdup(job->key), id);
	}
	reply->id = *id;
}

static void stub_zone_list(struct control *control, uint64_t ticket,
			   const struct op_query *query)
{
	struct op_zones zones = { 0 };
	GHashTableIter iter;
	void *value;

	zones.zones =
		g_new0(struct op_zone, g_hash_table_size(control->zones) + 1);
	g_hash_table_iter_init(&iter, control->zones);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct zone_record *zone = value;

		if (strcmp(zone->name, query->after_name) > 0)
			zones.zones[zones.nr_zones++].zone = *zone;
	}
	control->opts.host->operator_respond(control->opts.host_ctx, ticket,
					     OP_ZONES, &zones);
	g_free(zones.zones);
}

static void stub_status(struct control *control, uint64_t ticket)
{
	struct op_status status = { 0 };

	status.node_id = control->node->self.node_id;
	status.leader = true;
	status.bundle_version = control->bundle ? control->bundle->version : 0;
	TEXT_SET(status.leader_address, control->node->self.address);
	control->opts.host->operator_respond(control->opts.host_ctx, ticket,
					     OP_STATUS_REPLY, &status);
}

static void stub_bundle_status(struct control *control, uint64_t ticket)
{
	struct op_bundle_status status = { 0 };

	if (control->bundle && control->signed_by[0]) {
		status.in_force = control->bundle->version;
		TEXT_SET(status.digest, control->bundle->digest);
		TEXT_SET(status.signed_by, control->signed_by);
	} else if (control->bundle) {
		status.submitted = control->bundle->version;
		TEXT_SET(status.submitted_digest, control->bundle->digest);
	}
	control->opts.host->operator_respond(control->opts.host_ctx, ticket,
					     OP_BUNDLE_STATUS_REPLY, &status);
}

void control_operate(struct control *control, uint64_t ticket, uint32_t type,
		     const void *body)
{
	struct op_reply reply = { 0 };
	static const char empty[256] = { 0 };

	switch (type) {
	case OP_STATUS:
		stub_status(control, ticket);
		return;
	case OP_BUNDLE_STATUS:
		stub_bundle_status(control, ticket);
		return;
	case OP_ZONE_LIST:
		stub_zone_list(control, ticket, body);
		return;
	case OP_VM_LIST:
	case OP_JOB_LIST:
	case OP_TASK_LIST:
		control->opts.host->operator_respond(
			control->opts.host_ctx, ticket,
			type == OP_VM_LIST  ? OP_VMS :
			type == OP_JOB_LIST ? OP_JOBS :
					      OP_TASKS,
			empty);
		return;
	case OP_ZONE_SET:
		stub_zone_set(control, body, &reply);
		break;
	case OP_JOB_SUBMIT:
		stub_job_submit(control, body, &reply);
		break;
	case OP_BUNDLE_CHECK:
	case OP_BUNDLE_SUBMIT:
	case OP_BUNDLE_SIGN:
		stub_bundle(control, type, body, &reply);
		break;
	default:
		break;
	}
	control->opts.host->operator_respond(control->opts.host_ctx, ticket,
					     OP_REPLY, &reply);
}

void control_synced(struct control *control, uint64_t sync_nr,
		    enum result result)
{
}
