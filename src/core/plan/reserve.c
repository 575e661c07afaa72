#include "reserve.h"

#include <glib.h>
#include <string.h>

#include "tunables.h"

void reserve_add(struct reserve_amount *sum,
		 const struct reserve_amount *amount)
{
	sum->cpu_millis += amount->cpu_millis;
	sum->memory_mib += amount->memory_mib;
	sum->accelerators += amount->accelerators;
}

static void reserve_subtract(struct reserve_amount *sum,
			     const struct reserve_amount *amount)
{
	sum->cpu_millis -= MIN(amount->cpu_millis, sum->cpu_millis);
	sum->memory_mib -= MIN(amount->memory_mib, sum->memory_mib);
	sum->accelerators -= MIN(amount->accelerators, sum->accelerators);
}

/* A resource that the task doesn't use may be overcommitted by others. */
static bool reserve_fits_one(uint64_t capacity, uint64_t used, uint64_t amount)
{
	return !amount || used + amount <= capacity;
}

static bool reserve_fits(const struct reserve_amount *capacity,
			 const struct reserve_amount *used,
			 const struct reserve_amount *held,
			 const struct reserve_amount *amount)
{
	return reserve_fits_one(capacity->cpu_millis,
				used->cpu_millis + held->cpu_millis,
				amount->cpu_millis) &&
	       reserve_fits_one(capacity->memory_mib,
				used->memory_mib + held->memory_mib,
				amount->memory_mib) &&
	       reserve_fits_one(capacity->accelerators,
				used->accelerators + held->accelerators,
				amount->accelerators);
}

struct reserve_amount reserve_used_at(const struct reserve_vm *vm,
				      uint64_t at_us)
{
	struct reserve_amount used = vm->used;

	for (uint32_t i = 0; i < vm->nr_runs && vm->runs[i].end_us <= at_us;
	     i++)
		reserve_subtract(&used, &vm->runs[i].amount);
	return used;
}

/*
 * Returns true if the VM has the amount free as soon as one of its runs ends,
 * and not by what is free before. No reservation is needed then: the task is
 * the first in order at that time, however small the gaps are until then.
 */
static bool reserve_is_one_run(const struct reserve_vm *vm,
			       const struct reserve_amount *amount,
			       uint64_t at_us)
{
	static const struct reserve_amount none;

	for (uint32_t i = 0; i < vm->nr_runs && vm->runs[i].end_us <= at_us;
	     i++)
		if (reserve_fits(&vm->runs[i].amount, &none, &none, amount))
			return true;
	return false;
}

uint64_t reserve_earliest_us(const struct reserve_vm *vm,
			     const struct reserve_amount *held,
			     const struct reserve_amount *amount,
			     uint64_t now_us)
{
	struct reserve_amount used = vm->used;
	uint64_t at_us = now_us;

	for (uint32_t i = 0; !reserve_fits(&vm->capacity, &used, held, amount);
	     i++) {
		if (i == vm->nr_runs || vm->runs[i].end_us == UINT64_MAX)
			return UINT64_MAX;
		reserve_subtract(&used, &vm->runs[i].amount);
		at_us = MAX(now_us, vm->runs[i].end_us);
	}
	return at_us;
}

/* A plan while it is made. */
struct reserve_work {
	const struct reserve_input *input;
	struct reserve_amount *held; /* of each VM, for tasks decided so far */
	uint32_t nr_slots; /* reservations decided so far */
};

/*
 * Returns the VM that has enough capacity for the task first, RESERVE_NO_VM if
 * none has within the horizon.
 */
static struct reserve_slot reserve_choose(const struct reserve_work *work,
					  uint32_t nr)
{
	const struct reserve_input *input = work->input;
	const struct reserve_task *task = &input->tasks[nr];
	struct reserve_slot best = { .vm = RESERVE_NO_VM, .at_us = UINT64_MAX };

	for (uint32_t i = 0; i < input->nr_vms; i++) {
		uint64_t at_us;

		if (i == task->kept_vm || !input->eligible(input->ctx, nr, i))
			continue;
		at_us = reserve_earliest_us(&input->vms[i], &work->held[i],
					    &task->amount, input->now_us);
		if (at_us >= best.at_us ||
		    at_us > input->now_us + input->horizon_us)
			continue;
		best.vm = i;
		best.at_us = at_us;
		best.until_us =
			at_us + input->margin_us + (at_us - input->now_us) / 2;
	}
	return best;
}

/*
 * Returns why the task's earlier reservation ends. Moving it gives up a gap
 * that has grown so far.
 */
static enum reserve_drop reserve_check(const struct reserve_work *work,
				       uint32_t nr)
{
	const struct reserve_input *input = work->input;
	const struct reserve_task *task = &input->tasks[nr];
	struct reserve_slot other;
	uint64_t at_us;

	if (work->nr_slots == input->max_slots)
		return RESERVE_OUTRANKED;
	at_us = reserve_earliest_us(&input->vms[task->kept_vm],
				    &work->held[task->kept_vm], &task->amount,
				    input->now_us);
	if (input->now_us > task->kept_until_us ||
	    at_us > input->now_us + input->horizon_us)
		return RESERVE_LATE;
	if (at_us <= task->kept_until_us)
		return RESERVE_KEPT;
	other = reserve_choose(work, nr);
	return other.vm != RESERVE_NO_VM &&
			       at_us > other.at_us + input->margin_us ?
		       RESERVE_LATE :
		       RESERVE_KEPT;
}

/* Decides whether the task's earlier reservation stays. */
static void reserve_keep(struct reserve_work *work, uint32_t nr,
			 struct reserve_slot *slot)
{
	const struct reserve_task *task = &work->input->tasks[nr];

	slot->vm = RESERVE_NO_VM;
	if (task->kept_vm == RESERVE_NO_VM)
		return;
	slot->drop = reserve_check(work, nr);
	if (slot->drop)
		return;
	slot->vm = task->kept_vm;
	slot->at_us = task->kept_at_us;
	slot->until_us = task->kept_until_us;
	reserve_add(&work->held[slot->vm], &task->amount);
	work->nr_slots++;
}

/* Returns true if the task would not be placed at the time by its rank alone.
 */
static bool reserve_is_needed(const struct reserve_input *input,
			      const struct reserve_task *task,
			      const struct reserve_slot *slot)
{
	return slot->at_us > input->now_us &&
	       !reserve_is_one_run(&input->vms[slot->vm], &task->amount,
				   slot->at_us);
}

/* Decides on a new reservation for a task that has kept none. */
static void reserve_make(struct reserve_work *work, uint32_t nr,
			 struct reserve_slot *slot)
{
	const struct reserve_task *task = &work->input->tasks[nr];
	struct reserve_slot made;

	if (work->nr_slots == work->input->max_slots)
		return;
	made = reserve_choose(work, nr);
	if (made.vm == RESERVE_NO_VM)
		return;
	reserve_add(&work->held[made.vm], &task->amount);
	if (!reserve_is_needed(work->input, task, &made))
		return;
	made.drop = slot->drop;
	*slot = made;
	work->nr_slots++;
}

/*
 * Returns true if the task gets no reservation because the one before it, which
 * requires the same, got none. With many small tasks this saves most of the
 * work of a plan.
 */
static bool reserve_is_skipped(const struct reserve_input *input,
			       const struct reserve_slot *slots, uint32_t nr)
{
	return nr && input->tasks[nr].same_step &&
	       slots[nr - 1].vm == RESERVE_NO_VM;
}

void reserve_plan(const struct reserve_input *input, struct reserve_slot *slots)
{
	struct reserve_work work = { .input = input };
	uint32_t end;

	work.held = g_new0(struct reserve_amount, MAX(input->nr_vms, 1));
	memset(slots, 0, input->nr_tasks * sizeof(*slots));
	for (uint32_t first = 0; first < input->nr_tasks; first = end) {
		uint32_t priority = input->tasks[first].priority;

		for (end = first; end < input->nr_tasks &&
				  input->tasks[end].priority == priority;
		     end++)
			reserve_keep(&work, end, &slots[end]);
		for (uint32_t i = first; i < end; i++)
			if (slots[i].vm == RESERVE_NO_VM &&
			    !reserve_is_skipped(input, slots, i))
				reserve_make(&work, i, &slots[i]);
	}
	g_free(work.held);
}

uint64_t reserve_safe_end_us(uint64_t now_us, uint64_t run_ms)
{
	uint64_t safe_ms;

	if (run_ms >= FLOW_RESERVE_HORIZON_MS)
		return UINT64_MAX;
	safe_ms = run_ms + run_ms * FLOW_RESERVE_MARGIN_PERMILLE / 1000 +
		  FLOW_RESERVE_START_MS;
	return now_us + safe_ms * 1000;
}

bool reserve_admits(const struct reserve_amount *capacity,
		    const struct reserve_amount *used_at,
		    const struct reserve_amount *held, uint64_t at_us,
		    const struct reserve_amount *amount, uint64_t end_us)
{
	return end_us <= at_us || reserve_fits(capacity, used_at, held, amount);
}
