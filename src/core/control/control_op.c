#include "control_op.h"

#include <string.h>

#include "control_impl.h"
#include "control_list.h"
#include "evict.h"
#include "place.h"
#include "route.h"

static void control_op_send(struct control *control, uint64_t ticket,
			    const struct op_reply *reply)
{
	control->opts.host->operator_respond(control->opts.host_ctx, ticket,
					     OP_REPLY, reply);
}

void control_op_reply(struct control *control, uint64_t ticket,
		      enum result result, const char *message)
{
	struct op_reply reply = { 0 };
	GString *line;

	if (result && result != RESULT_NOT_LEADER) {
		line = logline_new("refused");
		logline_u64(line, "ticket", ticket);
		logline_str(line, "result", result_name(result));
		if (message)
			logline_str(line, "reason", message);
		node_log(control->node, line);
		counter_add(control->node->counters, "operations_refused", 1);
	}
	reply.result = result;
	TEXT_SET(reply.message, message ? message : result_summary(result));
	if (result == RESULT_NOT_LEADER)
		TEXT_SET(reply.leader, raft_leader_address(control->raft));
	control_op_send(control, ticket, &reply);
}

static void control_op_log(struct control *control, const char *event,
			   const struct control_proposal *proposal,
			   const struct state_outcome *outcome)
{
	const struct schema *schema = schema_of(proposal->type);
	uint64_t waited_us = control->node->now_us - proposal->proposed_us;
	GString *line = logline_new(event);

	logline_u64(line, "ticket", proposal->ticket);
	logline_str(line, "command", schema ? schema->name : "unknown");
	logline_u64(line, "term", raft_term(control->raft));
	if (outcome) {
		logline_str(line, "result", result_name(outcome->result));
		logline_u64(line, "version", outcome->version);
		logline_u64(line, "commit_ms", waited_us / 1000);
	}
	node_log(control->node, line);
}

static void control_op_committed(struct control *control,
				 const struct control_proposal *proposal,
				 const struct state_outcome *outcome)
{
	struct op_reply reply = { 0 };

	control_op_log(control, "operation-committed", proposal, outcome);
	reply.result = outcome->result;
	TEXT_SET(reply.message, outcome->message ?
					outcome->message :
					result_summary(outcome->result));
	reply.id = outcome->id;
	reply.version = outcome->version;
	control_op_send(control, proposal->ticket, &reply);
}

static void control_op_propose(struct control *control, uint64_t ticket,
			       uint32_t type, const void *body)
{
	struct control_proposal proposal = { .done = control_op_committed };
	enum result result;

	proposal.ticket = ticket;
	proposal.type = type;
	proposal.proposed_us = control->node->now_us;
	control_op_log(control, "operation-proposed", &proposal, NULL);
	result = control_propose(control, type, body, &proposal);
	if (result)
		control_op_reply(control, ticket, result, NULL);
}

/*
 * The state machine accepts any name of a policy, as replicas of two releases
 * may know different policies. The leader refuses a bundle with a policy that
 * it doesn't know.
 */
static enum result control_op_check_bundle(const struct bundle *bundle,
					   const char **message)
{
	enum result result = state_bundle_check(bundle, message);

	if (result)
		return result;
	if (*bundle->route_policy && !route_find(bundle->route_policy))
		*message = "no such routing policy";
	else if (*bundle->place_policy && !place_find(bundle->place_policy))
		*message = "no such placement policy";
	else if (*bundle->evict_policy && !evict_find(bundle->evict_policy))
		*message = "no such eviction policy";
	else
		return RESULT_OK;
	return RESULT_UNKNOWN_OBJECT;
}

static void control_op_bundle_check(struct control *control, uint64_t ticket,
				    const void *body)
{
	const struct bundle *bundle = body;
	const char *message = NULL;
	enum result result = control_op_check_bundle(bundle, &message);

	if (!result)
		result = state_bundle_compare(&control->state->bundles,
					      bundle->version, bundle->digest);
	control_op_reply(control, ticket, result, message);
}

static void control_op_bundle_submit(struct control *control, uint64_t ticket,
				     const void *body)
{
	const char *message = NULL;
	enum result result = control_op_check_bundle(body, &message);

	if (result)
		control_op_reply(control, ticket, result, message);
	else
		control_op_propose(control, ticket, CMD_BUNDLE_SUBMIT, body);
}

static void control_op_bundle_sign(struct control *control, uint64_t ticket,
				   const void *body)
{
	control_op_propose(control, ticket, CMD_BUNDLE_SIGN, body);
}

static void control_op_bundle_put(struct control *control, uint64_t ticket,
				  const void *body)
{
	const struct bundle *in_force = control->state->bundles.in_force;
	const struct bundle *bundle = body;
	const char *message = NULL;
	enum result result = control_op_check_bundle(bundle, &message);

	if (result || (in_force && bundle->version <= in_force->version))
		control_op_reply(control, ticket, result, message);
	else
		control_op_propose(control, ticket, CMD_BUNDLE_PUT, body);
}

static void control_op_bundle_show(struct control *control, uint64_t ticket,
				   const void *body)
{
	const struct bundle *in_force = control->state->bundles.in_force;

	if (in_force)
		control->opts.host->operator_respond(
			control->opts.host_ctx, ticket, OP_BUNDLE, in_force);
	else
		control_op_reply(control, ticket, RESULT_NO_BUNDLE, NULL);
}

static void control_op_zone_put(struct control *control, uint64_t ticket,
				const void *body)
{
	struct cmd_zone_set set = *(const struct cmd_zone_set *)body;

	set.any_version = true;
	control_op_propose(control, ticket, CMD_ZONE_SET, &set);
}

static void control_op_zone_set(struct control *control, uint64_t ticket,
				const void *body)
{
	control_op_propose(control, ticket, CMD_ZONE_SET, body);
}

static void control_op_vm_set(struct control *control, uint64_t ticket,
			      const void *body)
{
	control_op_propose(control, ticket, CMD_VM_QUARANTINE, body);
}

static void control_op_share_set(struct control *control, uint64_t ticket,
				 const void *body)
{
	const char *message = NULL;
	enum result result = state_share_check(control->state, body, &message);

	if (result)
		control_op_reply(control, ticket, result, message);
	else
		control_op_propose(control, ticket, CMD_SHARE_WEIGHT, body);
}

static void control_op_job_submit(struct control *control, uint64_t ticket,
				  const void *body)
{
	struct job_record record = *(const struct job_record *)body;
	const char *message = NULL;
	enum result result = state_job_check(&record, &message);

	/*
	 * A resent submission finds its job even if a new one would be refused.
	 */
	if (!result &&
	    !(*record.key &&
	      g_hash_table_contains(control->state->job_keys, record.key)))
		result = plan_check_job(control->plan, &record);
	if (result) {
		control_op_reply(control, ticket, result, message);
		return;
	}
	record.submitted_ms = control_wall_ms(control);
	control_op_propose(control, ticket, CMD_JOB_SUBMIT, &record);
}

static void control_op_job_cancel(struct control *control, uint64_t ticket,
				  const void *body)
{
	struct cmd_job_cancel cancel = *(const struct cmd_job_cancel *)body;

	/*
	 * Operators only cancel jobs; the leader itself marks jobs as failed.
	 */
	cancel.result = RESULT_CANCELLED;
	cancel.now_ms = control_wall_ms(control);
	control_op_propose(control, ticket, CMD_JOB_CANCEL, &cancel);
}

static void control_op_propose_members(struct control *control, uint64_t ticket,
				       GArray *members)
{
	struct members body = { 0 };

	body.nr_members = members->len;
	body.members = (struct member *)(void *)members->data;
	control_op_propose(control, ticket, CMD_MEMBERS, &body);
}

static GArray *control_op_members(struct control *control, uint64_t without)
{
	const struct members *now = raft_members(control->raft);
	GArray *members = g_array_new(FALSE, TRUE, sizeof(struct member));

	for (uint32_t i = 0; i < now->nr_members; i++)
		if (now->members[i].node_id != without)
			g_array_append_val(members, now->members[i]);
	return members;
}

/*
 * Returns true after refusing a change of the members because another one is
 * not committed yet. That one may be an earlier copy of the same change, which
 * must be neither acknowledged nor refused before its outcome is known.
 */
static bool control_op_members_wait(struct control *control, uint64_t ticket)
{
	if (!raft_change_is_pending(control->raft))
		return false;
	control_op_reply(control, ticket, RESULT_IN_PROGRESS, NULL);
	return true;
}

static void control_op_member_add(struct control *control, uint64_t ticket,
				  const void *body)
{
	struct member member = *(const struct member *)body;
	GArray *members;

	if (control_op_members_wait(control, ticket))
		return;
	members = control_op_members(control, member.node_id);
	/* Raft makes the new member a voter once its log has caught up. */
	member.voter = false;
	if (!member.node_id || !*member.address) {
		control_op_reply(control, ticket, RESULT_MALFORMED,
				 "a member needs a node_id and an address");
	} else if (members->len < raft_members(control->raft)->nr_members) {
		control_op_reply(control, ticket, RESULT_OK,
				 "the node is already a member");
	} else if (members->len >= CONTROL_MAX_MEMBERS) {
		control_op_reply(
			control, ticket, RESULT_OUT_OF_RANGE,
			"the group already has the largest number of members");
	} else {
		g_array_append_val(members, member);
		control_op_propose_members(control, ticket, members);
	}
	g_array_unref(members);
}

static void control_op_member_remove(struct control *control, uint64_t ticket,
				     const void *body)
{
	const struct member *member = body;
	GArray *members;

	if (control_op_members_wait(control, ticket))
		return;
	members = control_op_members(control, member->node_id);
	if (members->len == raft_members(control->raft)->nr_members)
		control_op_reply(control, ticket, RESULT_UNKNOWN_OBJECT, NULL);
	else if (!members->len)
		control_op_reply(control, ticket, RESULT_OUT_OF_RANGE,
				 "the last member can't be removed");
	else
		control_op_propose_members(control, ticket, members);
	g_array_unref(members);
}

static const struct control_op_entry {
	uint32_t type;
	bool any_replica; /* false: only the leader answers it */
	void (*handle)(struct control *control, uint64_t ticket,
		       const void *body);
} control_ops[] = {
	{ OP_BUNDLE_CHECK, false, control_op_bundle_check },
	{ OP_BUNDLE_SUBMIT, false, control_op_bundle_submit },
	{ OP_BUNDLE_SIGN, false, control_op_bundle_sign },
	{ OP_BUNDLE_STATUS, false, control_list_bundle },
	{ OP_ZONE_SET, false, control_op_zone_set },
	{ OP_ZONE_LIST, false, control_list_zones },
	{ OP_VM_LIST, false, control_list_vms },
	{ OP_VM_SET, false, control_op_vm_set },
	{ OP_JOB_SUBMIT, false, control_op_job_submit },
	{ OP_JOB_CANCEL, false, control_op_job_cancel },
	{ OP_JOB_LIST, false, control_list_jobs },
	{ OP_TASK_LIST, false, control_list_tasks },
	{ OP_FLOW_LIST, false, control_list_flows },
	{ OP_STATUS, true, control_list_status },
	{ OP_BUNDLE_PUT, false, control_op_bundle_put },
	{ OP_BUNDLE_SHOW, false, control_op_bundle_show },
	{ OP_ZONE_PUT, false, control_op_zone_put },
	{ OP_SHARE_LIST, false, control_list_shares },
	{ OP_SHARE_SET, false, control_op_share_set },
	{ OP_MEMBER_ADD, false, control_op_member_add },
	{ OP_MEMBER_REMOVE, false, control_op_member_remove },
};

void control_op(struct control *control, uint64_t ticket, uint32_t type,
		const void *body)
{
	enum result result = control_check_leader(control);

	counter_add(control->node->counters, "operator_requests", 1);
	for (size_t i = 0; i < G_N_ELEMENTS(control_ops); i++) {
		if (control_ops[i].type != type)
			continue;
		if (result && !control_ops[i].any_replica)
			control_op_reply(control, ticket, result, NULL);
		else
			control_ops[i].handle(control, ticket, body);
		return;
	}
	control_op_reply(control, ticket, RESULT_MALFORMED, "no such request");
}
