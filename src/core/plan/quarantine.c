#include "quarantine.h"

#include "decide.h"
#include "result.h"
#include "schema.h"

void quarantine_changed(struct plan *plan, struct plan_vm *vm,
			bool first_record)
{
	bool by_planner = vm->suspect;

	vm->suspect = false;
	vm->nr_failed_jobs = 0;
	g_queue_remove(&plan->suspect_vms, vm);
	g_queue_remove(&plan->quarantined_vms, vm);
	if (!vm->record.quarantined) {
		vm->probation_tasks_left = by_planner ? PLAN_PROBATION_TASKS :
							0;
		return;
	}
	if (!by_planner && !first_record)
		return;
	vm->quarantine_s = CLAMP(vm->quarantine_s * 2, PLAN_QUARANTINE_MIN_S,
				 PLAN_QUARANTINE_MAX_S);
	if (first_record)
		vm->quarantine_s = PLAN_QUARANTINE_MAX_S;
	vm->probation_us = plan->now_us + vm->quarantine_s * 1000000ull;
	g_queue_push_tail(&plan->quarantined_vms, vm);
}

void quarantine_failed(struct plan *plan, struct plan_vm *vm,
		       const struct plan_job *job)
{
	bool repeated = false;

	for (uint32_t i = 0; i < vm->nr_failed_jobs; i++)
		repeated |= vm->failed_jobs[i] == job->record.job_id;
	if (!repeated && vm->nr_failed_jobs < VM_FAILED_JOBS)
		vm->failed_jobs[vm->nr_failed_jobs++] = job->record.job_id;
	if (vm->suspect || vm->record.quarantined ||
	    (vm->nr_failed_jobs < VM_FAILED_JOBS && !vm->probation_tasks_left))
		return;
	/* Failures on many VMs at once point to bad jobs, not to bad VMs. */
	if (plan->quarantined_vms.length + plan->suspect_vms.length >=
	    MAX(plan->vm_list->len / 4, 1))
		return;
	vm->suspect = true;
	g_queue_push_tail(&plan->suspect_vms, vm);
}

void quarantine_withdraw(struct plan_vm *vm, const struct plan_job *job)
{
	uint32_t nr = 0;

	for (uint32_t i = 0; i < vm->nr_failed_jobs; i++)
		if (vm->failed_jobs[i] != job->record.job_id)
			vm->failed_jobs[nr++] = vm->failed_jobs[i];
	vm->nr_failed_jobs = nr;
}

void quarantine_succeeded(struct plan_vm *vm)
{
	vm->nr_failed_jobs = 0;
	if (vm->probation_tasks_left && !--vm->probation_tasks_left)
		vm->quarantine_s = 0;
}

struct plan_vm *quarantine_first(const struct plan *plan)
{
	struct plan_vm *first = NULL;

	for (const GList *link = plan->quarantined_vms.head; link;
	     link = link->next) {
		struct plan_vm *vm = link->data;

		if (!vm->suspect &&
		    (!first || vm->probation_us < first->probation_us))
			first = vm;
	}
	return first;
}

bool quarantine_next(struct plan *plan, struct plan_decision *decision)
{
	const char *why = "failed-jobs";
	struct plan_vm *vm;
	bool set;

	if (plan->now_us < plan->last_undo_us + UNDO_RETRY_US)
		return false;
	vm = g_queue_pop_head(&plan->suspect_vms);
	set = vm != NULL;
	if (!vm) {
		vm = quarantine_first(plan);
		if (!vm || plan->now_us < vm->probation_us)
			return false;
		why = "probation";
		vm->suspect = true; /* the decision is outstanding */
	}
	decide_init(decision, PLAN_QUARANTINE);
	TEXT_SET(decision->vm, vm->record.name);
	decision->quarantined = set;
	g_snprintf(decision->reason, sizeof(decision->reason),
		   "why=%s failed_jobs=%u", why, vm->nr_failed_jobs);
	return true;
}

void quarantine_undo(struct plan *plan, const struct plan_decision *decision)
{
	struct plan_vm *vm = plan_vm(plan, decision->vm);

	if (!vm->suspect)
		return;
	if (decision->quarantined)
		g_queue_push_tail(&plan->suspect_vms, vm);
	else
		vm->suspect = false;
}
