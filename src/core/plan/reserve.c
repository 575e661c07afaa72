#include "reserve.h"

#include <glib.h>

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

/*
 * Returns the VM that has enough capacity for the task first, RESERVE_NO_VM if
 * none has within the horizon.
 */
static struct reserve_slot reserve_choose(const struct reserve_input *input,
					  const struct reserve_amount *held,
					  uint32_t task, uint32_t except)
{
	struct reserve_slot best = { .vm = RESERVE_NO_VM, .at_us = UINT64_MAX };

	for (uint32_t i = 0; i < input->nr_vms; i++) {
		uint64_t at_us;

		if (i == except || !input->eligible(input->ctx, task, i))
			continue;
		at_us = reserve_earliest_us(&input->vms[i], &held[i],
					    &input->tasks[task].amount,
					    input->now_us);
		if (at_us >= best.at_us ||
		    at_us > input->now_us + input->horizon_us)
			continue;
		best.vm = i;
		best.at_us = at_us;
	}
	return best;
}

/*
 * Returns true if the task's earlier reservation stays, with @a other as the
 * alternative. Moving it gives up a gap that has grown so far.
 */
static bool reserve_holds(const struct reserve_input *input,
			  const struct reserve_amount *held,
			  const struct reserve_task *task,
			  const struct reserve_slot *other)
{
	uint64_t at_us = reserve_earliest_us(&input->vms[task->kept_vm],
					     &held[task->kept_vm],
					     &task->amount, input->now_us);

	if (input->now_us > task->kept_until_us ||
	    at_us > input->now_us + input->horizon_us)
		return false;
	return at_us <= task->kept_until_us || other->vm == RESERVE_NO_VM ||
	       at_us <= other->at_us + input->margin_us;
}

/* Decides on one task, whatever the number of reservations. */
static struct reserve_slot reserve_decide(const struct reserve_input *input,
					  const struct reserve_amount *held,
					  uint32_t nr)
{
	const struct reserve_task *task = &input->tasks[nr];
	struct reserve_slot slot =
		reserve_choose(input, held, nr, task->kept_vm);

	slot.until_us = slot.at_us + input->margin_us +
			(slot.at_us - input->now_us) / 2;
	if (task->kept_vm == RESERVE_NO_VM)
		return slot;
	if (!reserve_holds(input, held, task, &slot)) {
		slot.drop = RESERVE_LATE;
		return slot;
	}
	slot.vm = task->kept_vm;
	slot.at_us = task->kept_at_us;
	slot.until_us = task->kept_until_us;
	return slot;
}

/* Returns true if the task would not be placed at the time by its rank alone.
 */
static bool reserve_is_needed(const struct reserve_input *input,
			      const struct reserve_task *task,
			      const struct reserve_slot *slot)
{
	return slot->vm != RESERVE_NO_VM && slot->at_us > input->now_us &&
	       !reserve_is_one_run(&input->vms[slot->vm], &task->amount,
				   slot->at_us);
}

void reserve_plan(const struct reserve_input *input, struct reserve_slot *slots)
{
	struct reserve_amount *held =
		g_new0(struct reserve_amount, MAX(input->nr_vms, 1));
	uint32_t nr_slots = 0;

	for (uint32_t i = 0; i < input->nr_tasks; i++) {
		const struct reserve_task *task = &input->tasks[i];
		bool kept = task->kept_vm != RESERVE_NO_VM;
		struct reserve_slot slot = { .vm = RESERVE_NO_VM };

		if (nr_slots < input->max_slots)
			slot = reserve_decide(input, held, i);
		else if (kept)
			slot.drop = RESERVE_OUTRANKED;
		if (slot.vm != RESERVE_NO_VM)
			reserve_add(&held[slot.vm], &task->amount);
		if (!kept || slot.drop)
			slot.vm = reserve_is_needed(input, task, &slot) ?
					  slot.vm :
					  RESERVE_NO_VM;
		nr_slots += slot.vm != RESERVE_NO_VM;
		slots[i] = slot;
	}
	g_free(held);
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
