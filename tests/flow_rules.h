#ifndef FLOW_RULES_H
#define FLOW_RULES_H

/**
 * @file flow_rules.h
 * What a worker may start beside its runs, by the workflows that were
 * submitted. The simulation asserts it at the start itself, from what the
 * worker runs, whatever the leader has placed there.
 */

#include "flow_world.h"

struct flow_rules *flow_rules_new(void);
void flow_rules_free(struct flow_rules *rules);
/** Adds a workflow; one with an id that is known already is left out. */
void flow_rules_add(struct flow_rules *rules, const char *id,
		    const struct flow_step *steps, uint32_t nr_steps);
/**
 * Asserts that the VM has the step's label, that no more tasks of the step and
 * occurrence run there than the step allows, and that the task fits beside the
 * VM's runs. Runs that are being stopped count. Tasks of workflows that were
 * not added are left out.
 */
void flow_rules_check_start(const struct flow_rules *rules,
			    const struct fw_vm *vm, const char *task);

#endif /* FLOW_RULES_H */
