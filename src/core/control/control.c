#include "control_impl.h"

#include <string.h>

#include "control_flow_share.h"
#include "tunables.h"

static void control_proposal_free(void *data)
{
	struct control_proposal *proposal = data;

	record_unref(proposal->command);
	g_free(proposal);
}

static void control_log_refused(struct control *control,
				const struct control_proposal *proposal,
				const struct state_outcome *outcome)
{
	const struct schema *schema = schema_of(proposal->type);
	GString *line = logline_new("refused");

	logline_str(line, "command", schema ? schema->name : "unknown");
	logline_u64(line, "type", proposal->type);
	if (proposal->task_id)
		logline_u64(line, "task", proposal->task_id);
	if (*proposal->vm)
		logline_str(line, "vm", proposal->vm);
	logline_str(line, "result", result_name(outcome->result));
	if (outcome->message)
		logline_str(line, "reason", outcome->message);
	node_log(control->node, line);
}

static void control_finish(struct control *control, uint64_t tag,
			   const struct state_outcome *outcome)
{
	struct control_proposal *proposal = NULL;
	gpointer key = NULL;

	if (!g_hash_table_steal_extended(control->proposals, &tag, &key,
					 (gpointer *)&proposal))
		return;
	g_free(key);
	counter_observe(control->node->counters, "commit_ms",
			(control->node->now_us - proposal->proposed_us) / 1000);
	if (outcome->result)
		control_log_refused(control, proposal, outcome);
	if (proposal->done)
		proposal->done(control, proposal, outcome);
	control_proposal_free(proposal);
}

/* ---- the state machine that the log drives ---- */

static void control_apply(void *ctx, const struct log_entry *entry,
			  uint64_t tag)
{
	struct control *control = ctx;
	struct state_outcome outcome =
		state_apply(control->state, entry->command);

	counter_add(control->node->counters, "commands_applied", 1);
	if (outcome.result) {
		counter_add(control->node->counters, "commands_refused", 1);
		counter_inc_label(control->node->counters, "command_refusals",
				  "result", result_name(outcome.result));
	}
	if (tag)
		control_finish(control, tag, &outcome);
}

static struct snapshot_record *control_snapshot(void *ctx, uint32_t *nr_records)
{
	const struct control *control = ctx;

	return state_snapshot(control->state, nr_records);
}

static void control_restore(void *ctx, const struct snapshot_record *records,
			    uint32_t nr_records)
{
	struct control *control = ctx;

	g_assert(!control->leader);
	state_restore(control->state, records, nr_records);
}

static void control_dropped(void *ctx, uint64_t tag)
{
	struct state_outcome outcome = { .result = RESULT_OUTCOME_UNKNOWN };

	outcome.message = "leadership was lost before the commit";
	control_finish(ctx, tag, &outcome);
}

static void control_become_leader(struct control *control)
{
	control->leader_since_us = control->node->now_us;
	control->view_version = 1;
	control_plan_build(control);
	control->flows = control_flow_new(control);
	control_view_announce(control);
	node_timer_ms(control->node, &control->vm_timer, VM_CHECK_MS);
	node_timer_ms(control->node, &control->expire_timer,
		      EXPIRE_INTERVAL_MS);
}

static void control_become_follower(struct control *control)
{
	struct timers *timers = control->node->timers;

	timer_cancel(timers, &control->plan_timer);
	timer_cancel(timers, &control->vm_timer);
	timer_cancel(timers, &control->expire_timer);
	timer_cancel(timers, &control->view_timer);
	control_plan_drop(control);
	g_clear_pointer(&control->flows, control_flow_free);
	g_hash_table_remove_all(control->vms);
	g_hash_table_remove_all(control->tasks);
	g_hash_table_remove_all(control->view_zones);
	g_hash_table_remove_all(control->view_vms);
	g_hash_table_remove_all(control->view_announced);
	control->view_bundle = false;
}

static void control_leader_changed(void *ctx, bool leader)
{
	struct control *control = ctx;
	GString *line = logline_new(leader ? "leading" : "following");

	logline_u64(line, "term", raft_term(control->raft));
	node_log(control->node, line);
	counter_set(control->node->counters, "leader", leader);
	if (control->leader)
		control_become_follower(control);
	control->leader = leader;
	if (leader)
		control_become_leader(control);
}

static const struct raft_machine_ops control_machine = {
	.apply = control_apply,
	.snapshot = control_snapshot,
	.restore = control_restore,
	.leader_changed = control_leader_changed,
	.dropped = control_dropped,
};

/* ---- committed changes; only the leader acts on most of them ---- */

static void control_bundle_changed(void *ctx, const struct bundle *bundle)
{
	struct control *control = ctx;
	GString *line = logline_new("bundle");

	logline_u64(line, "version", bundle->version);
	logline_str(line, "digest", bundle->digest);
	logline_str(line, "signed_by", bundle->signed_by);
	node_log(control->node, line);
	counter_set(control->node->counters, "bundle_version", bundle->version);
	if (!control->leader)
		return;
	control_plan_bundle(control, bundle);
	control_view_bundle(control);
}

static void control_zone_changed(void *ctx, const struct zone_record *zone)
{
	struct control *control = ctx;
	GString *line = logline_new("zone");

	logline_str(line, "zone", zone->name);
	logline_str(line, "state", zone->out ? "out" : "in");
	logline_u64(line, "version", zone->version);
	logline_str(line, "changed_by", zone->changed_by);
	node_log(control->node, line);
	if (!control->leader)
		return;
	plan_set_zone(control->plan, zone, control->node->now_us);
	control_plan_soon(control);
	control_flow_zone_changed(control->flows);
	control_view_zone(control, zone->name);
}

static void control_vm_changed(void *ctx, const struct state_vm *vm)
{
	struct control *control = ctx;

	if (!control->leader)
		return;
	plan_set_vm(control->plan, &vm->record, control->node->now_us);
	control_plan_soon(control);
	control_view_vm(control, vm);
}

static void control_job_changed(void *ctx, const struct state_job *job)
{
	struct control *control = ctx;

	if (!control->leader)
		return;
	plan_set_job(control->plan, &job->record, control->node->now_us);
	control_plan_soon(control);
}

static void control_task_changed(void *ctx, const struct state_task *task,
				 const struct task_record *before)
{
	struct control *control = ctx;

	if (!control->leader)
		return;
	control_plan_task(control, task, before);
	if (task->vm)
		control_task_order(control, task);
	else
		control_task_forget(control, task->record.task_id);
}

static void control_job_dropped(void *ctx, uint64_t job_id)
{
	struct control *control = ctx;

	if (control->leader)
		plan_drop_job(control->plan, job_id);
}

static void control_watch_flow(void *ctx, const struct state_flow *flow)
{
	struct control *control = ctx;

	if (control->leader)
		control_flow_changed(control->flows, flow);
}

static void control_watch_flow_queue(void *ctx, const struct state_flow *flow)
{
	struct control *control = ctx;

	if (control->leader)
		control_flow_queue_changed(control->flows, flow);
}

static void control_watch_flow_task(void *ctx, struct state_flow *flow,
				    uint32_t task, enum flow_end end)
{
	struct control *control = ctx;

	if (control->leader)
		control_flow_task_changed(control->flows, flow, task, end);
}

static void control_watch_share(void *ctx, const struct share_record *record)
{
	struct control *control = ctx;

	if (control->leader)
		control_flow_share_changed(control->flows, record);
}

static const struct state_watch_ops control_watch = {
	.bundle = control_bundle_changed,
	.zone = control_zone_changed,
	.vm = control_vm_changed,
	.job = control_job_changed,
	.task = control_task_changed,
	.job_dropped = control_job_dropped,
	.flow = control_watch_flow,
	.flow_queue = control_watch_flow_queue,
	.flow_task = control_watch_flow_task,
	.share = control_watch_share,
};

static void control_expire(void *data, uint64_t now_us)
{
	struct control *control = data;
	uint64_t now_ms = control_wall_ms(control);
	struct cmd_flow_expire flows = { 0 };
	struct cmd_expire expire = { 0 };

	node_timer_ms(control->node, &control->expire_timer,
		      EXPIRE_INTERVAL_MS);
	expire.claims_before_ms = now_ms - MIN(now_ms, CLAIM_TTL_MS);
	expire.jobs_before_ms = now_ms - MIN(now_ms, JOB_TTL_MS);
	if (state_has_expired(control->state, &expire))
		control_propose(control, CMD_EXPIRE, &expire, NULL);
	flows.before_ms = now_ms - MIN(now_ms, FLOW_TTL_MS);
	if (state_flow_has_expired(control->state, flows.before_ms))
		control_propose(control, CMD_FLOW_EXPIRE, &flows, NULL);
}

/* ---- callbacks of the node ---- */

static void control_start(void *role)
{
	struct control *control = role;

	raft_start(control->raft);
}

static void control_peer_up(void *role, const struct link *link)
{
	struct control *control = role;
	struct control_peer *peer;

	if (link->peer.role == ROLE_CONTROL) {
		raft_peer_up(control->raft, link);
		return;
	}
	peer = g_new0(struct control_peer, 1);
	peer->node_id = link->peer.node_id;
	peer->role = link->peer.role;
	g_hash_table_replace(control->peers, &peer->node_id, peer);
}

static void control_peer_down(void *role, const struct link *link)
{
	struct control *control = role;

	if (link->peer.role == ROLE_CONTROL)
		raft_peer_down(control->raft, link);
	else
		g_hash_table_remove(control->peers, &link->peer.node_id);
}

static void control_link_replaced(void *role, const struct link *link)
{
	struct control *control = role;

	/* Raft resends messages that were lost with the old connection. */
	if (link->peer.role == ROLE_CONTROL)
		raft_peer_up(control->raft, link);
}

static void control_message(void *role, uint64_t from, uint32_t type,
			    const void *body)
{
	struct control *control = role;

	if (raft_message(control->raft, from, type, body))
		return;
	switch (type) {
	case MSG_REPORT:
		control_vm_report(control, from, body);
		break;
	case MSG_TASK_EVENT:
		control_task_event(control, from, body);
		break;
	case MSG_VIEW_QUERY:
		control_view_query(control, from, body);
		break;
	case MSG_FLOW_CALL:
		control_flow_call(control, from, body);
		break;
	case MSG_FLOW_REPORT:
		if (control->leader)
			control_flow_report(control->flows, from, body);
		break;
	case MSG_CLAIM_QUERY:
		control_claim_query(control, from, body);
		break;
	case MSG_CLAIM_DONE:
		control_claim_done(control, body);
		break;
	default:
		counter_add(control->node->counters, "messages_unknown", 1);
	}
}

static void control_shutdown(void *role)
{
	struct control *control = role;

	raft_step_down(control->raft);
}

static bool control_idle(const void *role)
{
	const struct control *control = role;

	return !raft_is_leader(control->raft) &&
	       !raft_is_leaving(control->raft) &&
	       !g_hash_table_size(control->proposals);
}

static void control_free(void *role)
{
	struct control *control = role;

	if (control->leader)
		control_become_follower(control);
	control->leader = false;
	raft_free(control->raft);
	state_free(control->state);
	g_hash_table_unref(control->proposals);
	g_hash_table_unref(control->peers);
	g_hash_table_unref(control->vms);
	g_hash_table_unref(control->tasks);
	g_hash_table_unref(control->view_zones);
	g_hash_table_unref(control->view_vms);
	g_hash_table_unref(control->view_announced);
	g_free(control);
}

static const struct role_ops control_role = {
	.role = ROLE_CONTROL,
	.start = control_start,
	.peer_up = control_peer_up,
	.peer_down = control_peer_down,
	.link_replaced = control_link_replaced,
	.message = control_message,
	.shutdown = control_shutdown,
	.idle = control_idle,
	.free = control_free,
};

static void control_init_timer(struct control *control, struct timer *timer,
			       void (*fn)(void *data, uint64_t now_us))
{
	timer->fn = fn;
	timer->data = control;
}

static GHashTable *control_new_names(GDestroyNotify free_value)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     free_value);
}

struct control *control_new(struct node *node, const struct control_opts *opts)
{
	struct control *control = g_new0(struct control, 1);
	struct raft_opts raft_opts = {
		.store = opts->store,
		.store_ctx = opts->store_ctx,
		.machine = &control_machine,
		.machine_ctx = control,
		.image = opts->image,
		.control_addresses = opts->control_addresses,
		.open = opts->open,
		.losses = opts->losses,
		.no_formation = opts->no_formation,
	};

	control->node = node;
	control->opts = *opts;
	control->proposals = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, control_proposal_free);
	control->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	control->vms =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	control->tasks = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	control->view_zones = control_new_names(NULL);
	control->view_vms = control_new_names(NULL);
	control->view_announced = control_new_names(g_free);
	control_init_timer(control, &control->plan_timer, control_plan_run);
	control_init_timer(control, &control->vm_timer, control_vm_check);
	control_init_timer(control, &control->expire_timer, control_expire);
	control_init_timer(control, &control->view_timer, control_view_flush);
	control->state = state_new();
	state_watch(control->state, &control_watch, control);
	node_set_role(node, &control_role, control);
	control->raft = raft_new(node, &raft_opts);
	return control;
}

void control_operate(struct control *control, uint64_t ticket, uint32_t type,
		     const void *body)
{
	control_op(control, ticket, type, body);
}

void control_set_addresses(struct control *control,
			   const char *const *addresses)
{
	raft_set_addresses(control->raft, addresses);
}

void control_advised(struct control *control, uint64_t call_nr,
		     enum result result, const struct advice *advice,
		     uint32_t nr_advice)
{
	if (control->flows)
		control_flow_advised(control->flows, call_nr, result, advice,
				     nr_advice);
}

void control_synced(struct control *control, uint64_t sync_nr,
		    enum result result)
{
	raft_synced(control->raft, sync_nr, result);
}

void control_store_full(struct control *control, bool full)
{
	raft_store_full(control->raft, full);
}

uint64_t control_wall_ms(const struct control *control)
{
	uint64_t now_ms = control->opts.host->wall_ms(control->opts.host_ctx);

	return MAX(now_ms, control->state->counters.clock_ms);
}

enum result control_check_leader(const struct control *control)
{
	if (!control->leader || !raft_is_leader(control->raft))
		return RESULT_NOT_LEADER;
	return raft_may_grant(control->raft) ? RESULT_OK : RESULT_NO_QUORUM;
}

enum result control_propose(struct control *control, uint32_t type,
			    const void *body,
			    const struct control_proposal *proposal)
{
	struct control_proposal *copy = g_new0(struct control_proposal, 1);
	uint64_t tag = ++control->next_tag;
	enum result result;

	if (proposal)
		*copy = *proposal;
	copy->type = type;
	copy->proposed_us = control->node->now_us;
	copy->command.type = type;
	copy->command.body = schema_dup(type, body);
	/* The command may be committed within raft_propose(). */
	g_hash_table_insert(control->proposals, g_memdup2(&tag, sizeof(tag)),
			    copy);
	result = raft_propose(control->raft, copy->command, tag);
	if (result) {
		g_hash_table_remove(control->proposals, &tag);
		counter_add(control->node->counters, "proposals_refused", 1);
		counter_inc_label(control->node->counters, "proposal_refusals",
				  "result", result_name(result));
	}
	return result;
}
