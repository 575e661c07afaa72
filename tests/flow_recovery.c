#include "flow_recovery.h"

#include <check.h>
#include <string.h>

#include "control_flow_impl.h"

#define STEP_MS 10 /* resolution of the measured times */
#define TASKS_PER_FLOW 8
#define TASKS_PER_VM 2 /* on average; a VM has room for 8 */
#define LOAD_MS 5000
/* Time in which calls go unanswered before the first loss. */
#define UNANSWERED_MS 10000
#define RUNS_MAX 8 /* by the processors of a VM */

/** A run of a lost VM. */
struct lost_run {
	char task[NAME_BYTES];
	uint32_t run;
	uint32_t placed_ms; /* 0: not placed elsewhere yet */
	uint32_t started_ms; /* 0: not started elsewhere yet */
};

const struct flow_loss flow_loss_worker = {
	.name = "worker",
	/* The poll in flight waits for an end of a run, then for an answer. */
	.notice_ms = POLL_WAIT_MS + FLOW_WORLD_CALL_LIMIT_MS,
	.lose = fw_crash_worker,
};

const struct flow_loss flow_loss_agent = {
	.name = "agent",
	.lose = fw_kill_agent,
};

struct flow_world *flow_recovery_world(uint64_t seed)
{
	struct flow_world *fw = flow_world_new(seed);
	struct flow_step step = { .count = TASKS_PER_FLOW,
				  .cpu_millis = 1000,
				  .memory_mib = 500,
				  .lasting = true,
				  .max_per_vm = 1 };
	uint32_t nr_flows = FLOW_WORLD_VMS * TASKS_PER_VM / TASKS_PER_FLOW;
	uint32_t nr_tasks = nr_flows * TASKS_PER_FLOW;

	fw->lasting = "s";
	for (uint32_t i = 0; i < nr_flows; i++) {
		char id[NAME_BYTES];

		g_snprintf(id, sizeof(id), "s%u", i);
		ck_assert_int_eq(flow_world_submit(fw, id, &step, 1),
				 RESULT_OK);
	}
	flow_world_run_ms(fw, LOAD_MS);
	ck_assert_uint_eq(fw_running(fw), nr_tasks);
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		fw->vms[i].lose_ppm = FLOW_RECOVERY_LOSE_PPM;
	flow_world_run_ms(fw, UNANSWERED_MS);
	return fw;
}

struct fw_vm *flow_recovery_vm(struct flow_world *fw)
{
	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++) {
		struct fw_vm *vm = &fw->vms[i];

		if (vm->runner && vm->worker.up &&
		    vm->worker.runs->len >= TASKS_PER_VM)
			return vm;
	}
	ck_abort_msg("no VM with %u runs", TASKS_PER_VM);
}

/* Returns the task's placement on another VM than @a vm, NULL if none. */
static const struct flow_placement *
placement_elsewhere(const struct fw_vm *vm, const struct lost_run *lost)
{
	const struct control *leader = world_leader(vm->world->base);
	const struct flow_placement *placed;

	if (!leader)
		return NULL;
	placed = g_hash_table_lookup(leader->flows->runs, lost->task);
	return placed && placed->committed &&
			       strcmp(placed->vm->name, vm->name) != 0 ?
		       placed :
		       NULL;
}

static bool started_elsewhere(const struct fw_vm *vm,
			      const struct lost_run *lost)
{
	const struct flow_world *fw = vm->world;

	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		if (&fw->vms[i] != vm && fw_runs(&fw->vms[i], lost->task))
			return true;
	return false;
}

/* Notes what has happened to the run; returns true once it runs elsewhere. */
static bool lost_run_look(struct lost_run *lost, const struct fw_vm *vm,
			  uint32_t age_ms)
{
	if (lost->started_ms)
		return true;
	if (!lost->placed_ms && placement_elsewhere(vm, lost))
		lost->placed_ms = age_ms;
	if (started_elsewhere(vm, lost))
		lost->started_ms = age_ms;
	return lost->started_ms;
}

/* Returns true if a start of the task after the lost run got no answer. */
static bool start_was_unanswered(const struct lost_run *lost,
				 const struct fw_vm *vm)
{
	char pattern[2 * NAME_BYTES];

	g_snprintf(pattern, sizeof(pattern),
		   "event=call-unanswered kind=start task=%s run=%u *"
		   " outcome=no-answer *",
		   lost->task, lost->run + 1);
	return sim_log_has(vm->world->base->sim, pattern);
}

static struct flow_recovery recovery_of(const struct fw_vm *vm,
					const struct lost_run *lost, guint nr,
					uint32_t limit_ms)
{
	struct flow_recovery recovery = { .nr_runs = nr };

	for (guint i = 0; i < nr; i++) {
		uint32_t placed_ms = lost[i].placed_ms;
		uint32_t started_ms = lost[i].started_ms;

		recovery.nr_unplaced += !placed_ms;
		recovery.nr_unstarted += !started_ms;
		placed_ms = placed_ms ? placed_ms : limit_ms;
		started_ms = started_ms ? started_ms : limit_ms;
		recovery.placed_ms = MAX(recovery.placed_ms, placed_ms);
		recovery.started_ms = MAX(recovery.started_ms, started_ms);
		if (start_was_unanswered(&lost[i], vm))
			recovery.nr_unanswered++;
		else
			recovery.answered_ms =
				MAX(recovery.answered_ms, started_ms);
	}
	return recovery;
}

struct flow_recovery flow_recovery_measure(struct fw_vm *vm,
					   const struct flow_loss *loss,
					   uint32_t limit_ms)
{
	struct lost_run lost[RUNS_MAX] = { 0 };
	guint nr = vm->worker.runs->len;
	guint nr_started = 0;

	ck_assert_uint_le(nr, RUNS_MAX);
	for (guint i = 0; i < nr; i++) {
		const struct fw_run *run =
			&g_array_index(vm->worker.runs, struct fw_run, i);

		TEXT_SET(lost[i].task, run->task);
		lost[i].run = run->run;
	}
	loss->lose(vm);
	for (uint32_t age_ms = STEP_MS; age_ms <= limit_ms && nr_started < nr;
	     age_ms += STEP_MS) {
		flow_world_run_ms(vm->world, STEP_MS);
		nr_started = 0;
		for (guint i = 0; i < nr; i++)
			nr_started += lost_run_look(&lost[i], vm, age_ms);
	}
	return recovery_of(vm, lost, nr, limit_ms);
}

uint64_t flow_recovery_unanswered(const struct flow_world *fw)
{
	uint64_t nr = 0;

	for (uint32_t i = 0; i < FLOW_WORLD_VMS; i++)
		if (fw->vms[i].runner)
			nr += counter_get(
				sim_node(fw->vms[i].machine)->counters,
				"calls_unanswered");
	return nr;
}
