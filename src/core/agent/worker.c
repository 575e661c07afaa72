#include "worker.h"

#include <string.h>

#include "logline.h"
#include "schema.h"
#include "state.h"

#define WORKER_CHECKPOINT_CALLS 3 /* then stops a run without checkpoint */

struct worker_call {
	uint32_t type;
	uint64_t task_id;
	uint64_t epoch;
	uint64_t sent_us;
};

static uint64_t worker_call(struct worker *worker, uint32_t type,
			    uint64_t task_id, uint64_t epoch, const void *body)
{
	struct worker_call *call = g_new0(struct worker_call, 1);
	uint64_t call_nr = ++worker->call_nr;

	call->type = type;
	call->task_id = task_id;
	call->epoch = epoch;
	call->sent_us = worker->node->now_us;
	g_hash_table_insert(worker->calls, g_memdup2(&call_nr, sizeof(call_nr)),
			    call);
	if (type != PLATFORM_LIST)
		worker->nr_calls++;
	worker->opts.host->platform_call(worker->opts.host_ctx, call_nr, type,
					 body);
	return call_nr;
}

static struct worker_run *worker_add_run(struct worker *worker,
					 uint64_t task_id, uint64_t epoch)
{
	struct worker_run *run = g_new0(struct worker_run, 1);

	run->task_id = task_id;
	run->epoch = epoch;
	run->seen.task_id = task_id;
	run->seen.epoch = epoch;
	run->seen_us = worker->node->now_us;
	g_tree_replace(worker->runs, &run->task_id, run);
	return run;
}

static void worker_set_phase(struct worker *worker, struct worker_run *run,
			     enum run_phase phase)
{
	run->phase = phase;
	run->reported_seq = 0;
	/* Lists requested before now don't show this phase. */
	run->phase_call_nr = worker->call_nr;
}

static void worker_end_run(struct worker *worker, struct worker_run *run,
			   uint32_t end, uint32_t result)
{
	GString *line = logline_new("task-end");

	worker_set_phase(worker, run, PHASE_ENDED);
	run->call_pending = false;
	run->end = end;
	run->result = result;
	run->seen.run = end;
	logline_u64(line, "task", run->task_id);
	logline_u64(line, "epoch", run->epoch);
	logline_u64(line, "run", end);
	logline_str(line, "result", result_name(result));
	logline_str(line, "checkpoint", run->seen.checkpoint);
	node_log(worker->node, line);
	counter_add(worker->node->counters, "task_runs_ended", 1);
	worker->opts.ops->ended(worker->opts.ctx, run);
}

static void worker_call_stop(struct worker *worker, struct worker_run *run)
{
	struct platform_stop stop = { run->task_id, run->epoch };

	worker_set_phase(worker, run, PHASE_STOPPING);
	run->call_pending = true;
	worker_call(worker, PLATFORM_STOP, run->task_id, run->epoch, &stop);
}

static void worker_call_checkpoint(struct worker *worker,
				   struct worker_run *run)
{
	struct platform_checkpoint checkpoint = { run->task_id, run->epoch };

	worker_set_phase(worker, run, PHASE_CHECKPOINTING);
	run->call_pending = true;
	run->checkpoint_calls++;
	worker_call(worker, PLATFORM_CHECKPOINT, run->task_id, run->epoch,
		    &checkpoint);
}

/* Makes the call that is due next for a run that the worker still runs. */
static void worker_continue_run(struct worker *worker, struct worker_run *run)
{
	if (run->call_pending)
		return;
	switch (run->phase) {
	case PHASE_STARTING:
		worker_set_phase(worker, run, PHASE_RUNNING);
		if (run->stop_after_start)
			worker_stop(worker, run, false);
		break;
	case PHASE_CHECKPOINTING:
		if (run->checkpoint_calls < WORKER_CHECKPOINT_CALLS)
			worker_call_checkpoint(worker, run);
		else
			worker_call_stop(worker, run);
		break;
	case PHASE_STOPPING:
	case PHASE_ENDED:
		worker_call_stop(worker, run);
		break;
	default:
		break;
	}
}

/* Handles a run that is missing in a list requested in its current phase. */
static void worker_not_listed(struct worker *worker, struct worker_run *run,
			      const struct worker_call *call)
{
	uint64_t tombstone_us = TASK_TOMBSTONE_MS * 1000ull;

	if (run->call_pending)
		return;
	switch (run->phase) {
	case PHASE_STARTING:
		/* The worker may carry out the start until start_until_us,
		 * so only a list requested after that time decides. */
		if (call->sent_us > run->start_until_us)
			worker_end_run(worker, run, TASK_RUN_STOPPED,
				       RESULT_NO_PERMIT);
		break;
	case PHASE_ENDED:
		if (run->end_acked_us &&
		    worker->node->now_us > run->end_acked_us + tombstone_us)
			g_tree_remove(worker->runs, &run->task_id);
		break;
	default:
		worker_end_run(worker, run, TASK_RUN_STOPPED, RESULT_OK);
	}
}

static void worker_update_run(struct worker *worker, struct worker_run *run,
			      const struct platform_task *seen)
{
	run->seen = *seen;
	run->seen_us = worker->node->now_us;
	if (seen->run == TASK_RUN_RUNNING) {
		worker_continue_run(worker, run);
	} else if (seen->run != TASK_RUN_NONE && run->phase != PHASE_ENDED &&
		   !run->call_pending) {
		worker_end_run(worker, run, seen->run,
			       seen->run == TASK_RUN_FAILED ?
				       RESULT_UPSTREAM_FAILED :
				       RESULT_OK);
	}
}

static void worker_adopt(struct worker *worker,
			 const struct platform_task *seen)
{
	struct worker_run *run =
		worker_add_run(worker, seen->task_id, seen->epoch);

	counter_add(worker->node->counters, "tasks_adopted", 1);
	worker_set_phase(worker, run, PHASE_RUNNING);
	/* The worker enforces its own lease, whose end isn't known here. This
	 * one only limits how long the agent waits for the next grant. */
	lease_renew(&run->lease, worker->node->now_us, LEASE_TTL_MS);
	worker_update_run(worker, run, seen);
}

/*
 * Applies one row of the worker's list. If it is for an earlier epoch than the
 * one that this agent has recorded, stops that run and returns false.
 */
static bool worker_apply_listed(struct worker *worker, uint64_t call_nr,
				const struct platform_task *seen)
{
	struct worker_run *run = worker_find(worker, seen->task_id);
	struct platform_stop stop = { seen->task_id, seen->epoch };

	if (!run || run->epoch < seen->epoch) {
		worker_adopt(worker, seen);
	} else if (run->epoch > seen->epoch) {
		if (seen->run == TASK_RUN_RUNNING)
			worker_call(worker, PLATFORM_STOP, seen->task_id,
				    seen->epoch, &stop);
		return false;
	} else if (call_nr > run->phase_call_nr) {
		worker_update_run(worker, run, seen);
	}
	return true;
}

static gboolean worker_append_run(gpointer key, gpointer value, gpointer data)
{
	g_ptr_array_add(data, value);
	return FALSE;
}

static void worker_apply_list(struct worker *worker, uint64_t call_nr,
			      const struct worker_call *call,
			      const struct platform_tasks *tasks)
{
	GHashTable *listed = g_hash_table_new(g_int64_hash, g_int64_equal);
	GPtrArray *runs = g_ptr_array_new();

	for (uint32_t i = 0; i < tasks->nr_tasks; i++) {
		if (worker_apply_listed(worker, call_nr, &tasks->tasks[i]))
			g_hash_table_add(listed, &tasks->tasks[i].task_id);
	}
	g_tree_foreach(worker->runs, worker_append_run, runs);
	for (uint32_t i = 0; i < runs->len; i++) {
		struct worker_run *run = g_ptr_array_index(runs, i);

		if (!g_hash_table_contains(listed, &run->task_id) &&
		    call_nr > run->phase_call_nr)
			worker_not_listed(worker, run, call);
	}
	g_ptr_array_unref(runs);
	g_hash_table_unref(listed);
	worker->listed = true;
	worker->listed_us = call->sent_us;
	worker->opts.ops->listed(worker->opts.ctx);
}

static void worker_record_progress(struct worker_run *run,
				   const struct platform_reply *reply)
{
	if (!*reply->checkpoint)
		return;
	TEXT_SET(run->seen.checkpoint, reply->checkpoint);
	run->seen.progress_ppm = reply->progress_ppm;
}

static void worker_start_done(struct worker *worker, struct worker_run *run,
			      const struct platform_reply *reply, bool resent)
{
	bool late;

	if (!reply)
		return; /* the next list shows if the run started */
	if (reply->result == RESULT_OK) {
		run->seen.run = TASK_RUN_RUNNING;
		worker_continue_run(worker, run);
		return;
	}
	/* The worker refused the second copy of the call. It may still carry
	 * out the first one, so the next list decides here, too. */
	if (resent) {
		counter_add(worker->node->counters, "worker_calls_unknown", 1);
		return;
	}
	late = reply->result == RESULT_NO_PERMIT ||
	       reply->result == RESULT_LEASE_EXPIRED ||
	       reply->result == RESULT_STALE;
	worker_end_run(worker, run, late ? TASK_RUN_STOPPED : TASK_RUN_FAILED,
		       reply->result);
}

static void worker_checkpoint_done(struct worker *worker,
				   struct worker_run *run,
				   const struct platform_reply *reply)
{
	if (reply && reply->result == RESULT_OK)
		worker_record_progress(run, reply);
	if (run->phase == PHASE_RUNNING) {
		if (reply && reply->result == RESULT_OK)
			worker->opts.ops->checkpointed(worker->opts.ctx, run);
	} else if (run->phase == PHASE_CHECKPOINTING && reply) {
		/* If the checkpoint failed, the run is stopped with the last
		 * checkpoint that was recorded. */
		worker_call_stop(worker, run);
	}
}

static void worker_run_done(struct worker *worker, struct worker_run *run,
			    const struct worker_call *call,
			    const struct platform_answer *answer)
{
	const struct platform_reply *reply =
		answer->type == PLATFORM_REPLY ? answer->body : NULL;

	/* A reply to a call of an earlier phase leaves call_pending as is. */
	if ((call->type == PLATFORM_START && run->phase == PHASE_STARTING) ||
	    (call->type == PLATFORM_STOP && run->phase == PHASE_STOPPING) ||
	    (call->type == PLATFORM_CHECKPOINT &&
	     run->phase == PHASE_CHECKPOINTING)) {
		run->call_pending = false;
		run->phase_call_nr = worker->call_nr;
	}
	switch (call->type) {
	case PLATFORM_START:
		if (run->phase == PHASE_STARTING)
			worker_start_done(worker, run, reply, answer->resent);
		break;
	case PLATFORM_CHECKPOINT:
		worker_checkpoint_done(worker, run, reply);
		break;
	case PLATFORM_STOP:
		/* A list shows whether the task was stopped or had finished
		 * before the stop. */
		worker_list(worker);
		break;
	default:
		break;
	}
}

struct worker *worker_new(struct node *node, const struct worker_opts *opts)
{
	struct worker *worker = g_new0(struct worker, 1);

	worker->node = node;
	worker->opts = *opts;
	worker->runs = g_tree_new_full(state_compare_ids, NULL, NULL, g_free);
	worker->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	return worker;
}

void worker_free(struct worker *worker)
{
	if (!worker)
		return;
	g_hash_table_unref(worker->calls);
	g_tree_unref(worker->runs);
	g_free(worker);
}

struct worker_run *worker_find(const struct worker *worker, uint64_t task_id)
{
	return g_tree_lookup(worker->runs, &task_id);
}

void worker_list(struct worker *worker)
{
	struct platform_list list = { .with_finished = true };

	if (worker->listing) {
		worker->list_again = true;
		return;
	}
	worker->listing = true;
	worker->list_again = false;
	worker_call(worker, PLATFORM_LIST, 0, 0, &list);
}

void worker_start(struct worker *worker, const struct platform_start *start)
{
	uint64_t now_us = worker->node->now_us;
	struct worker_run *run =
		worker_add_run(worker, start->task_id, start->epoch);

	TEXT_SET(run->seen.checkpoint, start->checkpoint);
	lease_renew(&run->lease, now_us, start->lease_ms);
	run->start_until_us = now_us + start->start_within_ms * 1000ull;
	worker_set_phase(worker, run, PHASE_STARTING);
	run->call_pending = true;
	worker_call(worker, PLATFORM_START, start->task_id, start->epoch,
		    start);
}

void worker_stop(struct worker *worker, struct worker_run *run, bool checkpoint)
{
	switch (run->phase) {
	case PHASE_STARTING:
		run->stop_after_start = true;
		break;
	case PHASE_RUNNING:
		if (checkpoint)
			worker_call_checkpoint(worker, run);
		else
			worker_call_stop(worker, run);
		break;
	case PHASE_CHECKPOINTING:
		if (!checkpoint)
			worker_call_stop(worker, run);
		break;
	default:
		break;
	}
}

void worker_checkpoint(struct worker *worker, const struct worker_run *run)
{
	struct platform_checkpoint checkpoint = { run->task_id, run->epoch };

	if (run->phase == PHASE_RUNNING)
		worker_call(worker, PLATFORM_CHECKPOINT, run->task_id,
			    run->epoch, &checkpoint);
}

void worker_throttle(struct worker *worker, const struct worker_run *run,
		     uint32_t cpu_ppm)
{
	struct platform_throttle throttle = { run->task_id, run->epoch,
					      cpu_ppm };

	if (run->phase == PHASE_RUNNING)
		worker_call(worker, PLATFORM_THROTTLE, run->task_id, run->epoch,
			    &throttle);
}

void worker_renew_leases(struct worker *worker, uint32_t lease_ms,
			 const struct platform_lease_item *items,
			 uint32_t nr_items)
{
	struct platform_lease lease = { 0 };

	lease.lease_ms = lease_ms;
	lease.sent_us = worker->node->now_us;
	lease.nr_tasks = nr_items;
	lease.tasks = (struct platform_lease_item *)items;
	if (nr_items && lease_ms)
		worker_call(worker, PLATFORM_LEASE, 0, 0, &lease);
}

void worker_call_done(struct worker *worker, uint64_t call_nr,
		      const struct platform_answer *answer)
{
	struct worker_call *call;
	struct worker_run *run;
	gpointer key = NULL;

	if (!g_hash_table_steal_extended(worker->calls, &call_nr, &key,
					 (gpointer *)&call))
		return;
	g_free(key);
	if (answer->type == TYPE_NONE)
		counter_add(worker->node->counters, "worker_calls_unknown", 1);
	if (call->type == PLATFORM_LIST) {
		worker->listing = false;
		if (answer->type == PLATFORM_TASKS)
			worker_apply_list(worker, call_nr, call, answer->body);
		if (worker->list_again)
			worker_list(worker);
	} else {
		worker->nr_calls--;
		run = worker_find(worker, call->task_id);
		if (run && run->epoch == call->epoch)
			worker_run_done(worker, run, call, answer);
	}
	g_free(call);
}
