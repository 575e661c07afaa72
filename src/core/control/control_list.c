#include "control_list.h"

#include <string.h>

#include "control_impl.h"

static uint32_t control_list_limit(const struct op_query *query)
{
	return query->max_items ? MIN(query->max_items, LIST_MAX_ITEMS) :
				  LIST_MAX_ITEMS;
}

static void control_list_send(struct control *control, uint64_t ticket,
			      uint32_t type, const void *body)
{
	control->opts.host->operator_respond(control->opts.host_ctx, ticket,
					     type, body);
}

static GTreeNode *control_list_after_name(GTree *tree,
					  const struct op_query *query)
{
	return *query->after_name ?
		       g_tree_upper_bound(tree, query->after_name) :
		       g_tree_node_first(tree);
}

static void control_list_count_zone(const struct control *control,
				    struct op_zone *item)
{
	for (GTreeNode *node = g_tree_node_first(control->state->vms); node;
	     node = g_tree_node_next(node)) {
		const struct state_vm *vm = g_tree_node_value(node);

		if (strcmp(vm->record.zone, item->zone.name) != 0)
			continue;
		item->vms_live += vm->record.state == VM_LIVE;
		item->tasks_running += (uint32_t)g_tree_nnodes(vm->tasks);
	}
}

void control_list_zones(struct control *control, uint64_t ticket,
			const void *body)
{
	const struct op_query *query = body;
	uint32_t limit = control_list_limit(query);
	GArray *items = g_array_new(FALSE, TRUE, sizeof(struct op_zone));
	struct op_zones zones = { 0 };

	for (GTreeNode *node =
		     control_list_after_name(control->state->zones, query);
	     node && items->len < limit; node = g_tree_node_next(node)) {
		struct op_zone item = { 0 };

		item.zone = *(struct zone_record *)g_tree_node_value(node);
		control_list_count_zone(control, &item);
		g_array_append_val(items, item);
	}
	zones.nr_zones = items->len;
	zones.zones = (struct op_zone *)(void *)items->data;
	control_list_send(control, ticket, OP_ZONES, &zones);
	g_array_unref(items);
}

void control_list_vms(struct control *control, uint64_t ticket,
		      const void *body)
{
	const struct op_query *query = body;
	uint32_t limit = control_list_limit(query);
	GArray *items = g_array_new(FALSE, TRUE, sizeof(struct op_vm));
	struct op_vms vms = { 0 };

	for (GTreeNode *node =
		     control_list_after_name(control->state->vms, query);
	     node && items->len < limit; node = g_tree_node_next(node)) {
		const struct state_vm *vm = g_tree_node_value(node);
		struct op_vm item = { 0 };

		item.vm = vm->record;
		item.committed_cpu_millis = vm->used_cpu_millis;
		item.committed_memory_mib = vm->used_memory_mib;
		item.committed_accelerators = vm->used_accelerators;
		item.tasks = (uint32_t)g_tree_nnodes(vm->tasks);
		g_array_append_val(items, item);
	}
	vms.nr_vms = items->len;
	vms.vms = (struct op_vm *)(void *)items->data;
	control_list_send(control, ticket, OP_VMS, &vms);
	g_array_unref(items);
}

static void control_list_fill_job(struct op_job *item,
				  const struct state_job *job)
{
	item->job = job->record;
	item->pending = job->nr_in_state[TASK_PENDING];
	item->running = job->nr_in_state[TASK_PLACED] +
			job->nr_in_state[TASK_RUNNING] +
			job->nr_in_state[TASK_STOPPING];
	item->done = job->nr_in_state[TASK_DONE];
	item->failed = job->nr_in_state[TASK_FAILED];
	item->evictions = job->nr_evictions;
}

void control_list_jobs(struct control *control, uint64_t ticket,
		       const void *body)
{
	const struct op_query *query = body;
	uint32_t limit = control_list_limit(query);
	GArray *items = g_array_new(FALSE, TRUE, sizeof(struct op_job));
	struct op_jobs jobs = { 0 };
	GTreeNode *node;

	node = g_tree_upper_bound(control->state->jobs, &query->after_id);
	/* A job_id selects a single job. */
	if (query->job_id)
		node = g_tree_lookup_node(control->state->jobs, &query->job_id);
	for (; node && items->len < limit; node = g_tree_node_next(node)) {
		struct op_job item = { 0 };

		control_list_fill_job(&item, g_tree_node_value(node));
		g_array_append_val(items, item);
		if (query->job_id)
			break;
	}
	jobs.nr_jobs = items->len;
	jobs.jobs = (struct op_job *)(void *)items->data;
	control_list_send(control, ticket, OP_JOBS, &jobs);
	g_array_unref(items);
}

void control_list_tasks(struct control *control, uint64_t ticket,
			const void *body)
{
	const struct op_query *query = body;
	uint32_t limit = control_list_limit(query);
	GArray *items = g_array_new(FALSE, TRUE, sizeof(struct task_record));
	const struct state_job *job =
		state_job_find(control->state, query->job_id);
	struct op_tasks tasks = { 0 };
	GTree *tree = query->job_id ? (job ? job->tasks : NULL) :
				      control->state->tasks;

	for (GTreeNode *node =
		     tree ? g_tree_upper_bound(tree, &query->after_id) : NULL;
	     node && items->len < limit; node = g_tree_node_next(node)) {
		const struct state_task *task = g_tree_node_value(node);

		g_array_append_val(items, task->record);
	}
	tasks.nr_tasks = items->len;
	tasks.tasks = (struct task_record *)(void *)items->data;
	control_list_send(control, ticket, OP_TASKS, &tasks);
	g_array_unref(items);
}

void control_list_bundle(struct control *control, uint64_t ticket,
			 const void *body)
{
	const struct bundle *in_force = control->state->bundles.in_force;
	const struct bundle *submitted = control->state->bundles.submitted;
	struct op_bundle_status status = { 0 };
	GHashTableIter iter;
	void *value;

	if (in_force) {
		status.in_force = in_force->version;
		TEXT_SET(status.digest, in_force->digest);
		TEXT_SET(status.signed_by, in_force->signed_by);
	}
	if (submitted) {
		status.submitted = submitted->version;
		TEXT_SET(status.submitted_digest, submitted->digest);
	}
	g_hash_table_iter_init(&iter, control->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct control_peer *peer = value;

		status.processes_known++;
		status.processes_in_force +=
			in_force && peer->bundle_version >= in_force->version;
	}
	control_list_send(control, ticket, OP_BUNDLE_STATUS_REPLY, &status);
}

static void control_list_count(const struct control *control,
			       struct op_status *status)
{
	const struct state *state = control->state;

	for (GTreeNode *node = g_tree_node_first(state->vms); node;
	     node = g_tree_node_next(node)) {
		const struct state_vm *vm = g_tree_node_value(node);

		status->vms_live += vm->record.state == VM_LIVE;
		status->vms_lost += vm->record.state == VM_LOST;
		status->tasks_running += (uint32_t)g_tree_nnodes(vm->tasks);
	}
	for (GTreeNode *node = g_tree_node_first(state->jobs); node;
	     node = g_tree_node_next(node)) {
		const struct state_job *job = g_tree_node_value(node);

		status->jobs_active += job->record.state == JOB_ACTIVE;
		status->tasks_pending += job->nr_in_state[TASK_PENDING];
		status->evictions += job->nr_evictions;
	}
}

void control_list_status(struct control *control, uint64_t ticket,
			 const void *body)
{
	const struct bundle *in_force = control->state->bundles.in_force;
	const struct members *members = raft_members(control->raft);
	GArray *items = g_array_new(FALSE, TRUE, sizeof(struct op_member));
	uint64_t leader_id = raft_leader_id(control->raft);
	struct op_status status = { 0 };

	for (uint32_t i = 0; i < members->nr_members; i++) {
		const struct member *member = &members->members[i];
		struct op_member item = { 0 };

		item.node_id = member->node_id;
		TEXT_SET(item.name, member->name);
		TEXT_SET(item.address, member->address);
		item.voter = member->voter;
		item.leader = member->node_id == leader_id;
		item.match_index =
			raft_match_index(control->raft, member->node_id);
		g_array_append_val(items, item);
	}
	status.node_id = control->node->self.node_id;
	status.leader = control->leader;
	TEXT_SET(status.leader_address, raft_leader_address(control->raft));
	status.term = raft_term(control->raft);
	status.commit_index = raft_commit_index(control->raft);
	status.bundle_version = in_force ? in_force->version : 0;
	control_list_count(control, &status);
	status.nr_members = items->len;
	status.members = (struct op_member *)(void *)items->data;
	control_list_send(control, ticket, OP_STATUS_REPLY, &status);
	g_array_unref(items);
}
