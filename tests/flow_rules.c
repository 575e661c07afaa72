#include "flow_rules.h"

#include <check.h>
#include <string.h>

/* Bounds of the platform's rules, as its page SYSTEM.md has them. */
#define CANCEL_US 3000000ull
#define DRAIN_US 2000000ull
#define EVACUATE_US 5000000ull
#define CONTACT_US 3000000ull

struct flow_rules {
	GHashTable *steps; /* workflow id -> GArray of struct flow_step */
	GHashTable *attempts; /* task -> struct task_attempts * */
	/* Workflow id, or name of a zone that is out -> uint64_t *, since. */
	GHashTable *cancelled_us;
	GHashTable *out_us;
};

struct task_attempts {
	uint64_t started_us; /* last start of a run */
	uint64_t failed_us; /* last end as failed, 0: none */
	uint32_t settled; /* acknowledged ends as failed */
};

struct flow_rules *flow_rules_new(void)
{
	struct flow_rules *rules = g_new0(struct flow_rules, 1);

	rules->steps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     (GDestroyNotify)g_array_unref);
	rules->attempts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rules->cancelled_us =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rules->out_us =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return rules;
}

void flow_rules_free(struct flow_rules *rules)
{
	if (!rules)
		return;
	g_hash_table_unref(rules->steps);
	g_hash_table_unref(rules->attempts);
	g_hash_table_unref(rules->cancelled_us);
	g_hash_table_unref(rules->out_us);
	g_free(rules);
}

static void step_clear(void *data)
{
	struct flow_step *step = data;

	g_free(step->after);
}

void flow_rules_add(struct flow_rules *rules, const char *id,
		    const struct flow_step *steps, uint32_t nr_steps)
{
	GArray *copy;

	if (g_hash_table_contains(rules->steps, id))
		return;
	copy = g_array_new(FALSE, FALSE, sizeof(struct flow_step));
	g_array_set_clear_func(copy, step_clear);
	for (uint32_t i = 0; i < nr_steps; i++) {
		struct flow_step step = steps[i];

		step.after = g_memdup2(step.after,
				       step.nr_after * sizeof(*step.after));
		g_array_append_val(copy, step);
	}
	g_hash_table_insert(rules->steps, g_strdup(id), copy);
}

/* Returns the step of a task named "ID.OCCURRENCE.STEP.INDEX". */
static const struct flow_step *step_of(const struct flow_rules *rules,
				       const char *task)
{
	char **words = g_strsplit(task, ".", 4);
	const GArray *steps;
	uint64_t nr;

	ck_assert_uint_eq(g_strv_length(words), 4);
	steps = g_hash_table_lookup(rules->steps, words[0]);
	nr = g_ascii_strtoull(words[2], NULL, 10);
	g_strfreev(words);
	ck_assert_msg(steps && nr < steps->len, "%s wasn't submitted", task);
	return &g_array_index(steps, struct flow_step, nr);
}

static struct task_attempts *attempts_of(struct flow_rules *rules,
					 const char *task)
{
	struct task_attempts *attempts =
		g_hash_table_lookup(rules->attempts, task);

	if (!attempts) {
		attempts = g_new0(struct task_attempts, 1);
		g_hash_table_insert(rules->attempts, g_strdup(task), attempts);
	}
	return attempts;
}

/* Returns true if the queue's limit of failed runs holds for the task. */
static bool has_budget(const struct flow_rules *rules, const char *task)
{
	return !step_of(rules, task)->lasting;
}

void flow_rules_failed(struct flow_rules *rules, const char *task,
		       uint64_t now_us)
{
	attempts_of(rules, task)->failed_us = now_us;
}

void flow_rules_failure_settled(struct flow_rules *rules, const char *task)
{
	struct task_attempts *attempts = attempts_of(rules, task);

	attempts->settled++;
	if (!has_budget(rules, task))
		return;
	ck_assert_msg(attempts->settled < FLOW_WORLD_ATTEMPTS ||
			      (attempts->settled == FLOW_WORLD_ATTEMPTS &&
			       attempts->started_us <= attempts->failed_us),
		      "%s was started after it failed %u times", task,
		      FLOW_WORLD_ATTEMPTS);
}

/* Returns true if the tasks belong to one step of one occurrence. */
static bool same_stage(const char *a, const char *b)
{
	size_t length = (size_t)(strrchr(a, '.') - a) + 1;

	return !strncmp(a, b, length);
}

/*
 * A gang ends together, so one end as done represents all of its tasks. An end
 * counts even if it was discarded later, as the leader may have stored it.
 */
static void check_order(const struct flow_rules *rules,
			const struct flow_world *fw, const char *task)
{
	const struct flow_step *step = step_of(rules, task);
	char **words = g_strsplit(task, ".", 4);
	const GArray *steps = g_hash_table_lookup(rules->steps, words[0]);

	for (uint32_t i = 0; i < step->nr_after; i++) {
		const struct flow_step *before =
			&g_array_index(steps, struct flow_step, step->after[i]);
		uint32_t nr_done = 0;

		for (uint32_t j = 0; j < before->count; j++) {
			char *name = g_strdup_printf("%s.%s.%" G_GUINT64_FORMAT
						     ".%u",
						     words[0], words[1],
						     step->after[i], j);

			nr_done += g_hash_table_contains(fw->ended, name);
			g_free(name);
		}
		ck_assert_msg(nr_done >= (before->gang ? 1 : before->count),
			      "%s starts before its step's turn", task);
	}
	g_strfreev(words);
}

static void check_room(const struct flow_rules *rules, const struct fw_vm *vm,
		       const char *task)
{
	const struct flow_step *step = step_of(rules, task);
	uint64_t cpu_millis;
	uint64_t memory_mib;
	uint64_t accelerators;
	uint32_t nr_stage = 1;

	ck_assert_msg(!step->label[0] ||
			      !strcmp(step->label, FLOW_WORLD_KIND) ||
			      !strcmp(step->label, vm->zone),
		      "%s starts at %s without label %s", task, vm->name,
		      step->label);
	cpu_millis = step->filler ? 0 : step->cpu_millis;
	memory_mib = step->memory_mib;
	accelerators = step->accelerators;
	for (guint i = 0; i < vm->worker.runs->len; i++) {
		const struct fw_run *run =
			&g_array_index(vm->worker.runs, struct fw_run, i);
		const struct flow_step *other = step_of(rules, run->task);

		nr_stage += same_stage(task, run->task);
		cpu_millis += other->filler ? 0 : other->cpu_millis;
		memory_mib += other->memory_mib;
		accelerators += other->accelerators;
	}
	ck_assert_msg(!step->max_per_vm || nr_stage <= step->max_per_vm,
		      "%s starts at %s beside %u of its step, limit %u", task,
		      vm->name, nr_stage - 1, step->max_per_vm);
	ck_assert_msg(cpu_millis <= FLOW_WORLD_VM_CPU_MILLIS &&
			      memory_mib <= FLOW_WORLD_VM_MEMORY_MIB &&
			      !accelerators,
		      "%s doesn't fit at %s", task, vm->name);
}

void flow_rules_check_start(struct flow_rules *rules, const struct fw_vm *vm,
			    const char *task)
{
	struct task_attempts *attempts = attempts_of(rules, task);

	attempts->started_us = sim_now_us(vm->world->base->sim);
	ck_assert_msg(!has_budget(rules, task) ||
			      attempts->settled < FLOW_WORLD_ATTEMPTS,
		      "%s starts after it failed %u times", task,
		      attempts->settled);
	check_order(rules, vm->world, task);
	check_room(rules, vm, task);
}

/* Stores the time unless the table has an earlier one. */
static void note_time(GHashTable *table, const char *name, uint64_t now_us)
{
	if (!g_hash_table_contains(table, name))
		g_hash_table_insert(table, g_strdup(name),
				    g_memdup2(&now_us, sizeof(now_us)));
}

void flow_rules_cancelled(struct flow_rules *rules, const char *id,
			  uint64_t now_us)
{
	note_time(rules->cancelled_us, id, now_us);
}

void flow_rules_set_zone(struct flow_rules *rules, const char *zone, bool out,
			 uint64_t now_us)
{
	if (out)
		note_time(rules->out_us, zone, now_us);
	else
		g_hash_table_remove(rules->out_us, zone);
}

/* Returns when the task's workflow was cancelled, NULL if it wasn't. */
static const uint64_t *cancelled_us(const struct flow_rules *rules,
				    const char *task)
{
	char *id = g_strndup(task, strcspn(task, "."));
	const uint64_t *since_us = g_hash_table_lookup(rules->cancelled_us, id);

	g_free(id);
	return since_us;
}

void flow_rules_check_times(const struct flow_rules *rules,
			    const struct fw_vm *vm, const char *task)
{
	uint64_t now_us = sim_now_us(vm->world->base->sim);
	const uint64_t *since_us = cancelled_us(rules, task);

	if (!fw_in_touch(vm))
		return;
	ck_assert_msg(!since_us || now_us <= *since_us + CANCEL_US,
		      "%s starts after its workflow was cancelled", task);
	since_us = g_hash_table_lookup(rules->out_us, vm->zone);
	ck_assert_msg(!since_us || now_us <= *since_us + EVACUATE_US,
		      "%s starts in zone %s, which is out", task, vm->zone);
	ck_assert_msg(!vm->draining_us || now_us <= vm->draining_us + DRAIN_US,
		      "%s starts at %s, which drains", task, vm->name);
}

void flow_rules_check_run(const struct flow_rules *rules,
			  const struct fw_vm *vm, const struct fw_run *run)
{
	const struct flow_world *fw = vm->world;
	uint64_t now_us = sim_now_us(fw->base->sim);
	uint64_t stop_us = fw->stop_ms * 1000ull;
	const uint64_t *since_us = cancelled_us(rules, run->task);
	uint64_t fault_us = MAX(fw->core_disturbed_us,
				MAX(vm->disturbed_us, vm->calls_lost_us));

	if (!since_us || fault_us + CONTACT_US >= *since_us)
		return;
	ck_assert_msg(now_us <= MAX(*since_us, run->started_us + CONTACT_US) +
					CANCEL_US + stop_us,
		      "%s still runs at %s after its workflow was cancelled",
		      run->task, vm->name);
}

bool fw_in_touch(const struct fw_vm *vm)
{
	uint64_t fault_us = MAX(vm->world->core_disturbed_us, vm->disturbed_us);

	return sim_now_us(vm->world->base->sim) > fault_us + CONTACT_US;
}
