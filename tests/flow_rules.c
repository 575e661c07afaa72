#include "flow_rules.h"

#include <check.h>
#include <string.h>

struct flow_rules {
	GHashTable *steps; /* workflow id -> GArray of struct flow_step */
};

struct flow_rules *flow_rules_new(void)
{
	struct flow_rules *rules = g_new0(struct flow_rules, 1);

	rules->steps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     (GDestroyNotify)g_array_unref);
	return rules;
}

void flow_rules_free(struct flow_rules *rules)
{
	if (!rules)
		return;
	g_hash_table_unref(rules->steps);
	g_free(rules);
}

void flow_rules_add(struct flow_rules *rules, const char *id,
		    const struct flow_step *steps, uint32_t nr_steps)
{
	GArray *copy;

	if (g_hash_table_contains(rules->steps, id))
		return;
	copy = g_array_new(FALSE, FALSE, sizeof(struct flow_step));
	g_array_append_vals(copy, steps, nr_steps);
	g_hash_table_insert(rules->steps, g_strdup(id), copy);
}

/* Returns the step of a task named "ID.OCCURRENCE.STEP.INDEX", or NULL. */
static const struct flow_step *step_of(const struct flow_rules *rules,
				       const char *task)
{
	char **words = g_strsplit(task, ".", 4);
	const struct flow_step *step = NULL;
	const GArray *steps;

	ck_assert_uint_eq(g_strv_length(words), 4);
	steps = g_hash_table_lookup(rules->steps, words[0]);
	if (steps)
		step = &g_array_index(steps, struct flow_step,
				      g_ascii_strtoull(words[2], NULL, 10));
	g_strfreev(words);
	return step;
}

/* Returns true if the tasks belong to one step of one occurrence. */
static bool same_stage(const char *a, const char *b)
{
	size_t length = (size_t)(strrchr(a, '.') - a) + 1;

	return !strncmp(a, b, length);
}

void flow_rules_check_start(const struct flow_rules *rules,
			    const struct fw_vm *vm, const char *task)
{
	const struct flow_step *step = step_of(rules, task);
	uint64_t cpu_millis;
	uint64_t memory_mib;
	uint64_t accelerators;
	uint32_t nr_stage = 1;

	if (!step)
		return;
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
		if (!other)
			continue;
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
